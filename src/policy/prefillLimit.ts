/** Initial, minimum and maximum limit on the prompt tokens that one process lets wait for prefill at an endpoint. */
const INITIAL_LIMIT_TOKENS = 6000
const MIN_LIMIT_TOKENS = 4000
const MAX_LIMIT_TOKENS = 32_000
/** Tokens by which the limit grows after each prompt with a short delay. */
const GROWTH_TOKENS = 400
const SHRINK_FACTOR = 0.85
/** Fractions of the tightest target below which a delay counts as short and above which it counts as late. */
const EARLY_TARGET_SHARE = 0.35
const LATE_TARGET_SHARE = 0.8
/** Minimum milliseconds between two reductions, so that one congestion event reduces the limit once. */
const SHRINK_INTERVAL_MS = 150

/**
 * Limits the prompt tokens that one process lets wait for prefill at an endpoint. The limit works like
 * a congestion window: it grows while delays are short and shrinks when prompts are late. Processes
 * with more traffic thus get a larger share of an endpoint without exchanging messages.
 *
 * @example
 * const limit = new PrefillLimit()
 * limit.recordPrefillDelay({ delayMs: 40, targetMs: 250, hasQueuedRequests: true, nowMs })
 * limit.tokens // 6400
 */
export class PrefillLimit {
  #tokens = INITIAL_LIMIT_TOKENS
  #shrunkAtMs = -Infinity

  get tokens (): number {
    return this.#tokens
  }

  /**
   * Records how long a prompt waited for prefill, and the tightest target of its service.
   *
   * @param sample.hasQueuedRequests whether requests are queued, so that a larger limit would be used
   */
  recordPrefillDelay (sample: { delayMs: number, targetMs: number, hasQueuedRequests: boolean, nowMs: number }): void {
    const { delayMs, targetMs, hasQueuedRequests, nowMs } = sample
    if (delayMs > LATE_TARGET_SHARE * targetMs) return this.#applyReduction(nowMs)
    if (hasQueuedRequests && delayMs < EARLY_TARGET_SHARE * targetMs) this.#tokens = Math.min(MAX_LIMIT_TOKENS, this.#tokens + GROWTH_TOKENS)
  }

  #applyReduction (nowMs: number): void {
    if (nowMs - this.#shrunkAtMs < SHRINK_INTERVAL_MS) return
    this.#shrunkAtMs = nowMs
    this.#tokens = Math.max(MIN_LIMIT_TOKENS, this.#tokens * SHRINK_FACTOR)
  }
}
