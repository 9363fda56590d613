/** A prompt to be sent to an endpoint, and the endpoint's backlog. */
export interface BacklogState {
  /** Uncached prompt tokens that the endpoint would have to prefill for the prompt. */
  unreadTokens: number
  /** Mean number of unique (unshared) tokens in the service's recent prompts. */
  meanUniqueTokens: number
  /** Whether the request can no longer meet its target. */
  isLate: boolean
  /** Prompt tokens of this gateway that the endpoint has not prefilled yet. */
  localTokens: number
  /** Prompt tokens of peer gateways that the endpoint has not prefilled yet, as last reported. */
  othersTokens: number
  /** Prompt tokens that the endpoint prefills per millisecond. */
  tokensPerMs: number
}

/** Milliseconds of prefill that may be queued ahead of a prompt of mean size: the time until the next peer load reports arrive. */
const MAX_BACKLOG_MS = 150
/** Exponent by which the allowed backlog falls with the prompt's size, so that small prompts start before large ones. */
const SIZE_EXPONENT = 1.5
/** Maximum factor by which a small prompt may find a longer backlog than one of mean size. */
const MAX_SIZE_FACTOR = 2
/** Fraction of the backlog limit that applies to a late prompt, so that it does not delay prompts that can still be on time. */
const LATE_BACKLOG_FACTOR = 0.3
/** Fraction of the mean size below which a prompt that is not late bypasses the limit, because it hardly delays others. */
const SMALL_PROMPT_RATIO = 1 / 3

/**
 * Returns whether the backlog of all gateways at an endpoint is short enough to send a prompt.
 *
 * Load pattern: many gateways send more prompts than the engines can prefill. Each gateway on its own
 * sees capacity for a prompt at every engine. Together they queue a second of prefill at each engine,
 * and every prompt is late. A limit that is lower for large prompts holds back the few largest, which
 * make up most of the prefill, until there is time. The other prompts are on time.
 *
 * @example
 * isBacklogWithinLimit({ unreadTokens: 3000, meanUniqueTokens: 3000, isLate: false, localTokens: 0, othersTokens: 20_000, tokensPerMs: 100 }) // false
 */
export function isBacklogWithinLimit ({ unreadTokens: uncachedTokens, meanUniqueTokens, isLate, localTokens, othersTokens: peerTokens, tokensPerMs }: BacklogState): boolean {
  if (peerTokens === 0 || meanUniqueTokens === 0) return true
  if (!isLate && uncachedTokens < SMALL_PROMPT_RATIO * meanUniqueTokens) return true
  const sizeFactor = (meanUniqueTokens / Math.max(1, uncachedTokens)) ** SIZE_EXPONENT * (isLate ? LATE_BACKLOG_FACTOR : 1)
  return localTokens + peerTokens <= MAX_BACKLOG_MS * tokensPerMs * Math.min(MAX_SIZE_FACTOR, sizeFactor)
}
