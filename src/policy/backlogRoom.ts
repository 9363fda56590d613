import { PREFILL_TOKENS_PER_MS } from './engineRates'

/** A prompt that might be sent to an endpoint now. */
export interface BacklogSituation {
  /** Prompt tokens that the endpoint would have to read for it. */
  unreadTokens: number
  /** Mean of the own tokens of the prompts that the service is asked lately. */
  meanTokens: number
  /** Whether it can no longer be on time. */
  isLate: boolean
  /** Prompt tokens that this gateway has there, unread. */
  ownTokens: number
  /** Prompt tokens that the other gateways have there, unread, as lately told. */
  othersTokens: number
}

/** Reading that may wait at an endpoint before a prompt of mean size: the time until the others' loads are heard again. */
const BACKLOG_MS = 150
/** How much sooner small prompts go than large ones: the backlog allowed falls with this power of the size. */
const SIZE_POWER = 1.5
/** Largest factor by which a small prompt may find more before it. */
const MAX_SMALL_FACTOR = 2
/** Part of the backlog that a late prompt may find, lest it delays those that can be on time. */
const LATE_SHARE = 0.3
/** Part of the mean size below which a prompt is not held: it hardly delays anything. */
const SMALL_SHARE = 1 / 3

/**
 * Decides whether what all gateways have at an endpoint leaves room for a prompt.
 *
 * Load pattern: many gateways before engines that are asked for more than they can read. Each gateway
 * alone has room for a prompt at every engine, so that together they put a second of reading before
 * each, and every prompt is late. Where less may wait before a large prompt than before a small one, the
 * few largest, which are most of the reading, wait until there is time, and the others are on time.
 *
 * @example
 * hasBacklogRoom({ unreadTokens: 3000, meanTokens: 3000, isLate: false, ownTokens: 0, othersTokens: 20_000 }) // false
 */
export function hasBacklogRoom ({ unreadTokens, meanTokens, isLate, ownTokens, othersTokens }: BacklogSituation): boolean {
  if (othersTokens === 0 || meanTokens === 0) return true
  if (!isLate && unreadTokens < SMALL_SHARE * meanTokens) return true
  const sizeFactor = (meanTokens / Math.max(1, unreadTokens)) ** SIZE_POWER * (isLate ? LATE_SHARE : 1)
  return ownTokens + othersTokens <= BACKLOG_MS * PREFILL_TOKENS_PER_MS * Math.min(MAX_SMALL_FACTOR, sizeFactor)
}
