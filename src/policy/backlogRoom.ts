import { PREFILL_TOKENS_PER_MS } from './engineRates'

/** A prompt to be sent to an endpoint, and the endpoint's backlog. */
export interface BacklogSituation {
  /** Uncached prompt tokens that the endpoint would have to prefill for the prompt. */
  unreadTokens: number
  /** Mean number of unique (unshared) tokens in the service's recent prompts. */
  meanTokens: number
  /** Whether the request can no longer meet its target. */
  isLate: boolean
  /** Prompt tokens of this gateway that the endpoint has not prefilled yet. */
  ownTokens: number
  /** Prompt tokens of peer gateways that the endpoint has not prefilled yet, as last reported. */
  othersTokens: number
}

/** Milliseconds of prefill that may be queued ahead of a prompt of mean size: the time until the next peer load reports arrive. */
const BACKLOG_MS = 150
/** Exponent by which the allowed backlog falls with the prompt's size, so that small prompts start before large ones. */
const SIZE_POWER = 1.5
/** Maximum factor by which a small prompt may find a longer backlog than one of mean size. */
const MAX_SMALL_FACTOR = 2
/** Fraction of the backlog limit that applies to a late prompt, so that it does not delay prompts that can still be on time. */
const LATE_SHARE = 0.3
/** Fraction of the mean size below which a prompt that is not late bypasses the limit, because it hardly delays others. */
const SMALL_SHARE = 1 / 3

/**
 * Returns whether the backlog of all gateways at an endpoint is short enough to send a prompt.
 *
 * Load pattern: many gateways send more prompts than the engines can prefill. Each gateway on its own
 * sees capacity for a prompt at every engine. Together they queue a second of prefill at each engine,
 * and every prompt is late. A limit that is lower for large prompts holds back the few largest, which
 * make up most of the prefill, until there is time. The other prompts are on time.
 *
 * @example
 * isBacklogWithinLimit({ unreadTokens: 3000, meanUniqueTokens: 3000, isLate: false, localTokens: 0, othersTokens: 20_000 }) // false
 */
export function hasBacklogRoom ({ unreadTokens, meanTokens, isLate, ownTokens, othersTokens }: BacklogSituation): boolean {
  if (othersTokens === 0 || meanTokens === 0) return true
  if (!isLate && unreadTokens < SMALL_SHARE * meanTokens) return true
  const sizeFactor = (meanTokens / Math.max(1, unreadTokens)) ** SIZE_POWER * (isLate ? LATE_SHARE : 1)
  return ownTokens + othersTokens <= BACKLOG_MS * PREFILL_TOKENS_PER_MS * Math.min(MAX_SMALL_FACTOR, sizeFactor)
}
