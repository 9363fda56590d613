/** Prompt tokens an engine reads in a millisecond, for endpoints of which nothing is known. */
export const PREFILL_TOKENS_PER_MS = 100
