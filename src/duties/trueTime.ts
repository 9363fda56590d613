import { BoundedMap } from '../base/boundedMap'

import type { Clock } from '../base/clock'

/** Offsets of the wall clock that are kept: half a minute of samples, so that a jump that ends within 15 s changes nothing. */
const MAX_SAMPLES = 75
/** Milliseconds for which a gateway's word on the time is used. */
const WORD_VALID_MS = 5_000
/** Milliseconds up to which this process keeps to its own time against that of the others: the way of a message takes time as well. */
const MAX_AGREED_MS = 250
const MAX_PEERS = 1_000

/** By how much another gateway is ahead, and when it said so. */
interface PeerWord {
  aheadMs: number
  atMs: number
}

/**
 * Estimates the time of day by the steady clock of this process and the median of the recent offsets of its wall clock.
 * A wall clock that jumps and comes back does not move it; one that is set for good is followed after some seconds. Where
 * most of the gateways that tell their time have another one, theirs is used: this process may have started while its
 * wall clock was wrong.
 *
 * @example
 * const trueTime = new TrueTime(systemClock)
 * trueTime.sample()
 * trueTime.getMs() // Unix milliseconds
 */
export class TrueTime {
  readonly #clock: Clock
  readonly #offsets: number[] = []
  readonly #peers = new BoundedMap<string, PeerWord>(MAX_PEERS)
  /** Word of the gateway that sums the counts of this one; null before the first. */
  #reader: PeerWord | null = null
  #offsetMs = 0
  #shiftMs = 0

  constructor (clock: Clock) {
    this.#clock = clock
    this.sample()
  }

  /** Compares the clocks; called at a steady pace. */
  sample (): void {
    this.#offsets.push(this.#clock.getWallMs() - this.#clock.getMonotonicMs())
    if (this.#offsets.length > MAX_SAMPLES) this.#offsets.shift()
    this.#offsetMs = findMedian(this.#offsets)
    this.#shiftMs = this.#computeShiftMs()
  }

  /** Returns the estimated Unix milliseconds at a time of the steady clock, by default now. */
  getMs (monotonicMs = this.#clock.getMonotonicMs()): number {
    return monotonicMs + this.#offsetMs + this.#shiftMs
  }

  /** Returns the Unix milliseconds by the clocks of this instance alone, which it tells others. */
  getOwnMs (): number {
    return this.#clock.getMonotonicMs() + this.#offsetMs
  }

  /** Records the own time of a process that tells its counts. */
  recordPeer (process: string, ownMs: number): void {
    this.#peers.set(process, { aheadMs: ownMs - this.getOwnMs(), atMs: this.#clock.getMonotonicMs() })
  }

  /** Records the time of the gateway that sums the counts of this one. */
  recordReader (trueMs: number): void {
    this.#reader = { aheadMs: trueMs - this.getOwnMs(), atMs: this.#clock.getMonotonicMs() }
  }

  #computeShiftMs (): number {
    const words = [...this.#peers.values()].filter(word => this.#isValid(word))
    const aheadMs = words.length > 0 ? findMedian([0, ...words.map(word => word.aheadMs)]) : this.#reader !== null && this.#isValid(this.#reader) ? this.#reader.aheadMs : 0
    return Math.abs(aheadMs) > MAX_AGREED_MS ? aheadMs : 0
  }

  #isValid ({ atMs }: PeerWord): boolean {
    return this.#clock.getMonotonicMs() - atMs <= WORD_VALID_MS
  }
}

function findMedian (values: readonly number[]): number {
  return [...values].sort((one, other) => one - other)[Math.floor(values.length / 2)]!
}
