/** Settings of a `ReleaseRate`. */
export interface ReleaseRateOptions {
  /** Milliseconds between two slot releases, assumed until the first release is observed. */
  initialIntervalMs: number
}

const SMOOTHING_FACTOR = 0.04
const GAP_TOLERANCE_FACTOR = 3

/**
 * Estimates how long a busy endpoint takes to release a number of slots. The lengths of answers are
 * unknown, so the estimate uses only the mean and the variance of the interval between releases.
 *
 * @example
 * const rate = new ReleaseRate({ initialIntervalMs: 100 })
 * rate.estimateWaitMs(5, 0, 0) // 500
 */
export class ReleaseRate {
  #meanMs: number
  #varianceMs2: number
  #lastReleaseMs: number | undefined

  constructor (options: ReleaseRateOptions) {
    this.#meanMs = options.initialIntervalMs
    this.#varianceMs2 = options.initialIntervalMs ** 2
  }

  /** Records that a request ended at `nowMs` after `ranForMs`, on an endpoint that runs `slots` requests concurrently. */
  recordRelease (ranForMs: number, slots: number, nowMs: number): void {
    const deviation = ranForMs / slots - this.#meanMs
    this.#meanMs += SMOOTHING_FACTOR * deviation
    this.#varianceMs2 += SMOOTHING_FACTOR * (deviation ** 2 - this.#varianceMs2)
    this.#lastReleaseMs = nowMs
  }

  /** Records that the endpoint was not full until `nowMs`, so that the gap before that time is ignored. */
  recordIdle (nowMs: number): void {
    this.#lastReleaseMs = nowMs
  }

  /** Returns the expected milliseconds between two releases. A long gap since the last release raises it. */
  getIntervalMs (nowMs: number): number {
    if (this.#lastReleaseMs === undefined) return this.#meanMs
    return Math.max(this.#meanMs, (nowMs - this.#lastReleaseMs) / GAP_TOLERANCE_FACTOR)
  }

  /** Estimates the milliseconds until `releases` slots are free, `deviations` standard deviations above the mean. */
  estimateWaitMs (releases: number, nowMs: number, deviations: number): number {
    if (releases <= 0) return 0
    const spreadMs = Math.sqrt(releases * this.#varianceMs2)
    return Math.max(0, releases * this.getIntervalMs(nowMs) + deviations * spreadMs)
  }
}
