/** Prompt tokens that an engine prefills per millisecond, assumed for endpoints with unknown speed. */
export const PREFILL_TOKENS_PER_MS = 100
