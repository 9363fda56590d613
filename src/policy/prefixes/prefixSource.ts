import { isEjected } from '../directEndpoint'

import type { EngineCapacity } from '../../config/routingConfig'
import type { DirectEndpoint } from '../directEndpoint'
import type { BeliefSource, PrefixBelief, SharedPrefix } from './prefixBelief'

/** An endpoint from which another one can fetch the beginning of a prompt. */
export interface PrefixSource {
  endpoint: DirectEndpoint
  /** Whether an answer to this process shows that the endpoint has prefilled the tokens, or only the ring makes it the home endpoint. */
  belief: 'read' | 'home'
  /** Prompt tokens that are expected to be fetched instead of prefilled. */
  tokens: number
  /** Milliseconds that the transfer is expected to take. */
  transferMs: number
}

/** An endpoint that is expected to hold the leading `tokens` of a prefix. */
interface PrefixHolder {
  endpoint: DirectEndpoint
  belief: PrefixSource['belief']
  tokens: number
}

/** The holder of the most tokens of each failure domain, software version and belief. */
export type PrefixHolders = ReadonlyMap<string, PrefixHolder>

export const NO_HOLDERS: PrefixHolders = new Map()

const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1_000_000
const MS_PER_SECOND = 1000
/** Probability that a holder still has the tokens when they are fetched. */
const HELD_PROBABILITIES: Record<PrefixSource['belief'], number> = { read: 0.95, home: 0.8 }
/** Probability that an endpoint lacks tokens that this process did not send to it. */
const LACK_PROBABILITIES: Record<BeliefSource, number> = { ownSends: 1, home: 0.3, alternate: 0.5, none: 1 }
/** Milliseconds that a fetch must save at least: its set-up at both endpoints. */
const SETUP_MS = 5
/** Tokens that a fetch must bring at least. Fewer are prefilled between two steps of the endpoint and delay the request by hardly more than the fetch. */
const MIN_FETCHED_TOKENS = 1024
/** Factor by which a transfer between failure domains takes longer than one within a domain. */
const CROSS_DOMAIN_FACTOR = 2
/** Milliseconds after a failure for which an endpoint is not named as a source. */
const SOURCE_DISTRUST_MS = 10_000

/**
 * Computes how many prompt tokens are transferred between two engines per millisecond; null where the configuration does not allow it.
 *
 * @example
 * computeTransferTokensPerMs({ ...engine, bytesPerToken: 35_136, transferMegabitsPerSecond: 370_000 }) // 1316.3
 */
export function computeTransferTokensPerMs (engine: EngineCapacity | null): number | null {
  if (engine === null || !(engine.bytesPerToken > 0 && engine.transferMegabitsPerSecond > 0)) return null
  return engine.transferMegabitsPerSecond * BITS_PER_MEGABIT / BITS_PER_BYTE / MS_PER_SECOND / engine.bytesPerToken
}

/**
 * Adds an endpoint to the holders of a prefix if it is expected to hold more of it than the other ones of its failure
 * domain, by its answers to this process or because it is the home endpoint.
 */
export function addHolder (holders: Map<string, PrefixHolder>, { parts, tokens }: SharedPrefix, endpoint: DirectEndpoint, isHome: boolean, nowMs: number): void {
  if (!isTrusted(endpoint, nowMs)) return
  const readTokens = endpoint.prefixCache.countReadTokens(parts, nowMs)
  if (readTokens > 0) addBetter(holders, { endpoint, belief: 'read', tokens: readTokens })
  if (isHome && readTokens < tokens) addBetter(holders, { endpoint, belief: 'home', tokens })
}

function addBetter (holders: Map<string, PrefixHolder>, holder: PrefixHolder): void {
  const { endpoint: { entry, inFlight }, belief, tokens } = holder
  const key = `${belief} ${entry.domain} ${entry.version ?? ''}`
  const known = holders.get(key)
  if (known === undefined || tokens > known.tokens || (tokens === known.tokens && inFlight < known.endpoint.inFlight)) holders.set(key, holder)
}

/**
 * Chooses the endpoint from which a candidate should fetch the beginning of a prompt; null where prefilling it, or what
 * the candidate has cached, is as good.
 */
export function choosePrefixSource (candidate: DirectEndpoint, { source, sentTokens }: PrefixBelief, holders: PrefixHolders, transferTokensPerMs: number): PrefixSource | null {
  const lackProbability = LACK_PROBABILITIES[source]
  let best: PrefixSource | null = null
  let bestSavedMs = SETUP_MS
  for (const { endpoint, belief, tokens } of holders.values()) {
    if (endpoint === candidate || tokens - sentTokens < MIN_FETCHED_TOKENS || endpoint.entry.version !== candidate.entry.version) continue
    const wayFactor = endpoint.entry.domain === candidate.entry.domain ? 1 : CROSS_DOMAIN_FACTOR
    const transferMs = (tokens - sentTokens) * wayFactor / transferTokensPerMs
    const savedMs = lackProbability * (HELD_PROBABILITIES[belief] * (tokens - sentTokens) / candidate.prefillRate.tokensPerMs - transferMs)
    if (savedMs <= bestSavedMs) continue
    bestSavedMs = savedMs
    best = { endpoint, belief, tokens: Math.round(lackProbability * HELD_PROBABILITIES[belief] * (tokens - sentTokens)), transferMs: lackProbability * transferMs + SETUP_MS }
  }
  return best
}

/** Returns whether an endpoint has shown no sign of trouble for which a fetch from it might hang. */
function isTrusted (endpoint: DirectEndpoint, nowMs: number): boolean {
  const { refusedAtMs, brokenAtMs, fetchFailedAtMs } = endpoint
  return !isEjected(endpoint, nowMs) && [refusedAtMs, brokenAtMs, fetchFailedAtMs].every(atMs => atMs === null || nowMs - atMs > SOURCE_DISTRUST_MS)
}
