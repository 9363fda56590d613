import type { Clock } from '../../src/base/clock'

export interface TokenBucketOptions {
  ratePerSecond: number
  /** Calls that may come at once after a pause. */
  burst: number
  clock: Clock
}

/** Rate limit that lets `burst` calls through at once and `ratePerSecond` over time. */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #updatedMs: number

  constructor (options: TokenBucketOptions) {
    this.#options = options
    this.#tokens = options.burst
    this.#updatedMs = options.clock.getMonotonicMs()
  }

  /** Takes one call's worth; false when the limit is reached. */
  take (): boolean {
    const nowMs = this.#options.clock.getMonotonicMs()
    const gained = (nowMs - this.#updatedMs) / 1000 * this.#options.ratePerSecond
    this.#tokens = Math.min(this.#options.burst, this.#tokens + gained)
    this.#updatedMs = nowMs
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
