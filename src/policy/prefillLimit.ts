/** Prompt tokens that one process lets wait to be read at an endpoint, at the start and at the least and most. */
const INITIAL_LIMIT_TOKENS = 6000
const MIN_LIMIT_TOKENS = 4000
const MAX_LIMIT_TOKENS = 32_000
/** Tokens by which the limit grows after each prompt that was read soon. */
const GROWTH_TOKENS = 400
const SHRINK_FACTOR = 0.85
/** Parts of the tightest target below which a prompt was read soon, and above which late. */
const EARLY_TARGET_SHARE = 0.35
const LATE_TARGET_SHARE = 0.8
/** Time between two reductions, so that one jam counts once. */
const SHRINK_INTERVAL_MS = 150

/**
 * How many prompt tokens one process lets wait at an endpoint, found by how long prompts wait there:
 * it grows while they are read soon and shrinks when they are late, as a congestion window does. So
 * processes with much traffic get more of an endpoint than those with little, without a message.
 *
 * @example
 * const limit = new ReadLimit()
 * limit.recordFirst({ delayMs: 40, targetMs: 250, isWanted: true, nowMs })
 * limit.tokens // 4400
 */
export class PrefillLimit {
  #tokens = INITIAL_LIMIT_TOKENS
  #shrunkAtMs = -Infinity

  get tokens (): number {
    return this.#tokens
  }

  /**
   * Records how long a prompt waited to be read, and the tightest target of its service.
   *
   * @param first.isWanted whether requests wait for room, so that a larger limit would be used
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
