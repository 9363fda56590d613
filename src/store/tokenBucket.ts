import type { Clock } from '../base/clock'

export interface TokenBucketOptions {
  /** Tokens added per second. */
  ratePerSecond: number
  /** Largest number of tokens that may be acquired at once after an idle time. */
  burst: number
  clock: Clock
}

/** Result of a reservation: proceed after `waitMs`, or retry after `retryAfterMs`. */
export type Reservation =
  | { kind: 'granted', waitMs: number }
  | { kind: 'refused', retryAfterMs: number }

/**
 * A token bucket whose tokens may be reserved ahead of time.
 *
 * @example
 * const bucket = new TokenBucket({ ratePerSecond: 5, burst: 10, clock: systemClock })
 * const reservation = bucket.acquire(200)
 */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #updatedMs: number

  constructor (options: TokenBucketOptions) {
    this.#options = options
    this.#tokens = options.burst
    this.#updatedMs = options.clock.getMonotonicMs()
  }

  /** Acquires one token, now or up to `maxWaitMs` ahead. A refusal consumes no token. */
  acquire (maxWaitMs: number): Reservation {
    this.#advance()
    const waitMs = Math.max(0, (1 - this.#tokens) * 1_000 / this.#options.ratePerSecond)
    if (waitMs > maxWaitMs) return { kind: 'refused', retryAfterMs: waitMs }
    this.#tokens -= 1
    return { kind: 'granted', waitMs }
  }

  #advance (): void {
    const { burst, clock, ratePerSecond } = this.#options
    const nowMs = clock.getMonotonicMs()
    this.#tokens = Math.min(burst, this.#tokens + (nowMs - this.#updatedMs) * ratePerSecond / 1_000)
    this.#updatedMs = nowMs
  }
}
