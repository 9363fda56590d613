import type { ReadableTime } from './readableTime'

/** Source of time. Decisions read a `Clock` that is passed in, never the system clock, so that tests control time. */
export interface Clock {
  /** Returns milliseconds since an arbitrary start; the value never decreases. */
  getMonotonicMs (): number
  /** Returns milliseconds since the Unix epoch, for times shown to people or sent to other processes. */
  getWallMs (): number
  /** Which of its monotonic milliseconds count when others are judged by their silence; all where it is absent. */
  readonly readable?: ReadableTime
}

/** Returns the milliseconds of a clock's monotonic time in which this process could read its input; only differences have a meaning. */
export function toReadableMs (clock: Clock, monotonicMs: number): number {
  return clock.readable === undefined ? monotonicMs : clock.readable.toReadableMs(monotonicMs)
}

/** Returns the milliseconds since a time of the clock in which this process could read its input. */
export function computeReadableElapsedMs (clock: Clock, sinceMs: number): number {
  return toReadableMs(clock, clock.getMonotonicMs()) - toReadableMs(clock, sinceMs)
}

/** The clock of this machine. */
export const systemClock: Clock = {
  getMonotonicMs: () => performance.now(),
  getWallMs: () => Date.now()
}

/**
 * A clock that moves only when `advance` is called, for tests and simulations.
 *
 * @example
 * const clock = new ManualClock()
 * clock.advance(250)
 * clock.getMonotonicMs() // 250
 */
export class ManualClock implements Clock {
  #nowMs: number

  constructor (startMs = 0) {
    this.#nowMs = startMs
  }

  getMonotonicMs (): number {
    return this.#nowMs
  }

  getWallMs (): number {
    return this.#nowMs
  }

  /** Moves the clock forward by `milliseconds`. */
  advance (milliseconds: number): void {
    this.#nowMs += milliseconds
  }
}
