import type { Clock } from '../base/clock'

/** Offsets of the wall clock that are kept: half a minute of samples, so that a jump that ends within 15 s changes nothing. */
const MAX_SAMPLES = 75

/**
 * Estimates the time of day by the steady clock of this process and the median of the recent offsets of its wall clock.
 * A wall clock that jumps and comes back does not move it; one that is set for good is followed after some seconds.
 *
 * @example
 * const trueTime = new TrueTime(systemClock)
 * trueTime.sample()
 * trueTime.getMs() // Unix milliseconds
 */
export class TrueTime {
  readonly #clock: Clock
  readonly #offsets: number[] = []
  #offsetMs = 0

  constructor (clock: Clock) {
    this.#clock = clock
    this.sample()
  }

  /** Compares the wall clock with the steady clock; called at a steady pace. */
  sample (): void {
    this.#offsets.push(this.#clock.getWallMs() - this.#clock.getMonotonicMs())
    if (this.#offsets.length > MAX_SAMPLES) this.#offsets.shift()
    const sorted = [...this.#offsets].sort((one, other) => one - other)
    this.#offsetMs = sorted[Math.floor(sorted.length / 2)]!
  }

  /** Returns the estimated Unix milliseconds at a time of the steady clock, by default now. */
  getMs (monotonicMs = this.#clock.getMonotonicMs()): number {
    return monotonicMs + this.#offsetMs
  }
}
