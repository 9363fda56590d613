export interface BackoffOptions {
  /** Shortest delay in milliseconds. */
  baseMs: number
  /** Longest delay in milliseconds. */
  capMs: number
  /** Uniform random numbers from 0 to 1. */
  getRandom?: () => number
}

const MAX_DOUBLINGS = 30

/**
 * Jittered exponential back-off. Each delay is uniform between `baseMs` and a ceiling that doubles
 * with every failure up to `capMs`, so that many clients that failed together come back spread.
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

  /** Counts one more failure and returns the milliseconds to wait before the next try. */
  advance (): number {
    this.#failureCount = Math.min(this.#failureCount + 1, MAX_DOUBLINGS)
    const { baseMs, capMs } = this.#options
    const ceilingMs = Math.min(capMs, baseMs * 2 ** this.#failureCount)
    return baseMs + this.#getRandom() * (ceilingMs - baseMs)
  }

  /** Forgets the failures. */
  reset (): void {
    this.#failureCount = 0
  }

  #getRandom (): number {
    return (this.#options.getRandom ?? Math.random)()
  }
}

/**
 * Spreads a period: a value uniform between 0.8 and 1.2 times `periodMs`.
 *
 * @example
 * spreadPeriod(10_000, Math.random) // between 8,000 and 12,000 ms
 */
export function addJitter (periodMs: number, getRandom: () => number): number {
  return periodMs * (0.8 + 0.4 * getRandom())
}
