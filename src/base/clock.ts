/** Time as the product sees it; decisions take one of these and never read the system clock. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  getMonotonicMs (): number
  /** Milliseconds since the Unix epoch, for times shown to people or sent to other processes. */
  getWallMs (): number
}

/** The clock of this machine. */
export const systemClock: Clock = {
  getMonotonicMs: () => performance.now(),
  getWallMs: () => Date.now()
}

/**
 * A clock that moves only when told to, for tests and simulations.
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
