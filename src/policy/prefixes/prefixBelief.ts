import type { DirectEndpoint } from '../directEndpoint'
import type { PromptPart } from '../prefixCacheEstimate'

/** The leading parts of a prompt that other prompts may share. */
export interface SharedPrefix {
  parts: readonly PromptPart[]
  tokens: number
}

/** What the expectation that an endpoint has a prefix cached rests on, in order of trust. */
export type BeliefSource = 'ownSends' | 'home' | 'alternate' | 'none'

/** What an endpoint is expected to have cached of a prefix. */
export interface PrefixBelief {
  source: BeliefSource
  /** Expected number of cached tokens. */
  cachedTokens: number
  /** Leading tokens that this process sent to the endpoint recently. */
  sentTokens: number
}

/** Probabilities that the home and the alternate endpoint have cached shared parts that this process did not send there. */
const HOME_PROBABILITIES = [1, 0.5]
const HOME_SOURCES = ['home', 'alternate'] as const
/** Number of home endpoints of a shared part: the home and its alternate. */
export const HOME_ENDPOINT_COUNT = HOME_PROBABILITIES.length

/**
 * Estimates what an endpoint has cached of a prefix, by this process's own sends or else by the home endpoints of the prefix.
 *
 * @param homeEndpoints the home endpoint of the prefix, followed by its alternate
 * @example
 * estimateCachedPrefix({ parts: [{ id: 'a1', tokens: 800 }], tokens: 800 }, home, [home, alternate], nowMs)
 * // { source: 'home', cachedTokens: 800, sentTokens: 0 }
 */
export function estimateCachedPrefix ({ parts, tokens }: SharedPrefix, endpoint: DirectEndpoint, homeEndpoints: readonly DirectEndpoint[], nowMs: number): PrefixBelief {
  const sentTokens = endpoint.prefixCache.countCachedTokens(parts, nowMs)
  const homeIndex = homeEndpoints.indexOf(endpoint)
  const guessedTokens = Math.round((HOME_PROBABILITIES[homeIndex] ?? 0) * tokens)
  if (sentTokens > 0 && sentTokens >= guessedTokens) return { source: 'ownSends', cachedTokens: sentTokens, sentTokens }
  return { source: HOME_SOURCES[homeIndex] ?? 'none', cachedTokens: guessedTokens, sentTokens }
}
