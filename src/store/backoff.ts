export interface BackoffOptions {
  /** Shortest delay in milliseconds. */
  baseMs: number
  /** Longest delay in milliseconds. */
  capMs: number
  /** Returns uniform random numbers from 0 to 1. */
  getRandom?: () => number
}

const MAX_DOUBLINGS = 30

/**
 * Computes jittered exponential backoff. Each delay is uniform between `baseMs` and a ceiling. The
 * ceiling doubles with every failure, up to `capMs`. The jitter spreads the retries of clients that
 * failed at the same time.
 *
 * @example
 * const backoff = new Backoff({ baseMs: 100, capMs: 10_000 })
 * await waitFor(backoff.advance())
 */
export class Backoff {
  readonly #options: BackoffOptions
  #failureCount = 0

  constructor (options: BackoffOptions) {
    this.#options = options
  }

  /** Counts one more failure and returns the milliseconds to wait before the next attempt. */
  advance (): number {
    this.#failureCount = Math.min(this.#failureCount + 1, MAX_DOUBLINGS)
    const { baseMs, capMs } = this.#options
    const ceilingMs = Math.min(capMs, baseMs * 2 ** this.#failureCount)
    return baseMs + this.#getRandom() * (ceilingMs - baseMs)
  }

  /** Resets the failure count, so that the next delay is short again. */
  reset (): void {
    this.#failureCount = 0
  }

  #getRandom (): number {
    return (this.#options.getRandom ?? Math.random)()
  }
}

/**
 * Adds jitter to a period: returns a uniform value between 0.8 and 1.2 times `periodMs`.
 *
 * @example
 * addJitter(10_000, Math.random) // between 8,000 and 12,000 ms
 */
export function addJitter (periodMs: number, getRandom: () => number): number {
  return periodMs * (0.8 + 0.4 * getRandom())
}
