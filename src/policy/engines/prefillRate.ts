/** Prompt tokens that an engine prefills per millisecond, assumed for endpoints with unknown speed. */
export const DEFAULT_PREFILL_TOKENS_PER_MS = 100

/**
 * Prefill speed of one endpoint.
 *
 * @example
 * new PrefillRate().tokensPerMs // 100
 */
export class PrefillRate {
  /** Prompt tokens per millisecond. */
  get tokensPerMs (): number {
    return DEFAULT_PREFILL_TOKENS_PER_MS
  }
}
