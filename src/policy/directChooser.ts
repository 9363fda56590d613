import { isBacklogWithinLimit } from './backlogLimit'
import { isEjected } from './directEndpoint'
import { isBackingOff } from './endpointBackoff'
import { estimateCachedPrefix } from './prefixes/prefixBelief'
import { addHolder, choosePrefixSource, NO_HOLDERS } from './prefixes/prefixSource'

import type { DirectEndpoint } from './directEndpoint'
import type { EndpointLoad } from './peerLoadTable'
import type { PrefixBelief, SharedPrefix } from './prefixes/prefixBelief'
import type { PrefixHolders, PrefixSource } from './prefixes/prefixSource'
import type { PromptPart } from './prefixCacheEstimate'
import type { PromptSize } from './promptSizes'
import type { PermitState } from './sendPermits'

/** The request properties that the endpoint choice depends on. */
export interface DirectChoiceRequest {
  service: string
  /** Prompt parts in order. The last part is unique to the request. Empty for a plain service. */
  promptParts: readonly PromptPart[]
  size: PromptSize
}

/** The chosen endpoint and the figures behind the choice. */
export interface DirectChoice {
  endpoint: DirectEndpoint
  reason: 'prefixHome' | 'prefixAlternate' | 'leastCost'
  costMs: number
  candidates: number
  /** Prompt tokens that the endpoint would have to prefill because its cache lacks them. */
  unreadTokens: number
  /** Endpoint from which the chosen one should fetch the beginning of the prompt; null when it should not. */
  prefixSource: PrefixSource | null
  /** Requests that peer gateways have in flight there, and their prompt tokens not yet prefilled. */
  othersInFlight: number
  othersTokens: number
  /** Whether the endpoint is expected to start the request immediately. */
  hasCapacity: boolean
  /** Whether the request could start immediately if this gateway had a permit for the endpoint. */
  needsPermit: boolean
}

/** Uncached prompt tokens of the requests queued for each endpoint, by endpoint id. */
export type QueuedTokens = Map<string, number>

/** Inputs that decide whether an endpoint has capacity for one more request of this gateway. */
export interface CapacityOptions {
  /** Prompt tokens of the requests that are queued for each endpoint and start earlier. */
  queuedTokens: QueuedTokens
  /** Returns the load that peer gateways last reported for an endpoint. */
  getPeerLoad: (endpointId: string) => EndpointLoad
  /** Returns whether the limit that an endpoint names allows this gateway to send to it now. */
  getPermit: (endpoint: DirectEndpoint) => PermitState
  /** Maximum requests in flight from this gateway to one endpoint: its share of the endpoint's connections. */
  maxInFlight: number
  /** Mean number of unique (unshared) tokens in the service's recent prompts. */
  meanUniqueTokens: number
  /** Whether the request can no longer meet its target. */
  isLate: boolean
  nowMs: number
}

export interface DirectChooserOptions extends CapacityOptions {
  /** Endpoints that the request was already sent to. They are not candidates. */
  excludedIds: ReadonlySet<string>
  /**
   * The home endpoint of the request's shared prefix, followed by its alternate. The alternate
   * serves while the home is overloaded. Every gateway computes the same endpoints.
   * Empty when the request shares no parts.
   */
  homeEndpoints: readonly DirectEndpoint[]
  /** Prompt tokens per millisecond that the service's engines fetch from one another; null where they cannot. */
  transferTokensPerMs: number | null
  /** Endpoints reserved for light prompts. */
  reservedIds: ReadonlySet<string>
  /** Whether an endpoint with capacity is preferred to one without, regardless of cached prefixes. */
  prefersCapacity: boolean
  random: () => number
}

type Candidate = Pick<DirectChoice, 'endpoint' | 'costMs' | 'unreadTokens' | 'prefixSource'>

/** Token counts of a prompt that are the same for every endpoint. */
interface PromptTokenCounts {
  shared: SharedPrefix
  uniqueTokens: number
}

/** Prompt tokens that an endpoint would prefill or fetch for a request. */
interface ReadingPlan {
  uniqueTokens: number
  uncachedSharedTokens: number
  fetchedTokens: number
  source: PrefixSource | null
}

/**
 * Cost weight of shared tokens that the endpoint must prefill again. In addition to delaying the
 * request itself, they delay later requests and evict other parts from the cache.
 */
const UNCACHED_SHARED_WEIGHT = 4
/** Cost weight of shared tokens that the endpoint fetches: the copy takes memory that other parts and running requests need. */
const FETCHED_SHARED_WEIGHT = 1
/** Cost weight of this gateway's prompt tokens that the endpoint has not prefilled yet. */
const PENDING_TOKENS_WEIGHT = 1
/** Cost in milliseconds of an endpoint with all slots taken, compared with an empty one. */
const FULL_SLOTS_COST_MS = 600
/** Cost in milliseconds of an endpoint whose attempts always fail. */
const FAILURE_COST_MS = 200
/** Cost in milliseconds of an unreserved endpoint for a light prompt, and of a reserved one for a heavy prompt. */
const LIGHT_ON_UNRESERVED_COST_MS = 300
const HEAVY_ON_RESERVED_COST_MS = 3000
const EJECTED_COST_MS = 100_000
const HOME_REASONS = ['prefixHome', 'prefixAlternate'] as const
const COST_JITTER_MS = 1

/**
 * Chooses the endpoint with the lowest estimated time to the first event or answer. The cost covers
 * the endpoint's backlog, the uncached tokens of the prompt and the endpoint's recent failures.
 *
 * The chosen endpoint may lack capacity. A request waits for the endpoint that has its prefix cached,
 * because another endpoint would have to prefill the prompt again. It goes elsewhere when that
 * endpoint's backlog costs more than the prefill, or than to fetch the prefix from an endpoint that holds it.
 *
 * @returns null when no candidate is left
 */
export function chooseDirectEndpoint (request: DirectChoiceRequest, endpoints: readonly DirectEndpoint[], options: DirectChooserOptions): DirectChoice | null {
  const prompt = countPromptTokens(request.promptParts)
  const holders = findHolders(prompt, endpoints, options)
  let best: Candidate | null = null
  let candidates = 0
  for (const endpoint of endpoints) {
    if (options.excludedIds.has(endpoint.entry.id)) continue
    candidates += 1
    const plan = estimateReading(prompt, endpoint, holders, options)
    const candidate = { endpoint, costMs: estimateCostMs(request, endpoint, plan, options), unreadTokens: plan.uniqueTokens + plan.uncachedSharedTokens, prefixSource: plan.source }
    if (best === null || isPreferred(candidate, best, options)) best = candidate
  }
  if (best === null) return null
  const peerLoad = options.getPeerLoad(best.endpoint.entry.id)
  return {
    ...best,
    candidates,
    reason: HOME_REASONS[options.homeEndpoints.indexOf(best.endpoint)] ?? 'leastCost',
    othersInFlight: peerLoad.inFlight,
    othersTokens: peerLoad.pendingTokens,
    ...checkCapacity(best, options)
  }
}

/**
 * Re-checks the capacity of an earlier choice's endpoint without choosing again. A queued request
 * repeats the full choice only at intervals, because a choice evaluates every endpoint.
 */
export function updateCapacity (choice: DirectChoice, options: CapacityOptions): DirectChoice {
  const peerLoad = options.getPeerLoad(choice.endpoint.entry.id)
  return { ...choice, othersInFlight: peerLoad.inFlight, othersTokens: peerLoad.pendingTokens, ...checkCapacity(choice, options) }
}

/** Returns the deepest shared part. Requests that share it are routed to the same home endpoint. */
export function findDeepestSharedPart (parts: readonly PromptPart[]): PromptPart | null {
  return parts.at(-2) ?? null
}

function countPromptTokens (parts: readonly PromptPart[]): PromptTokenCounts {
  const sharedParts = parts.slice(0, -1)
  return { shared: { parts: sharedParts, tokens: countTokens(sharedParts) }, uniqueTokens: parts.at(-1)?.tokens ?? 0 }
}

/** Finds the endpoints that hold the beginning of the prompt. A request that was tried before fetches nothing, in case that is why it failed. */
function findHolders ({ shared }: PromptTokenCounts, endpoints: readonly DirectEndpoint[], { transferTokensPerMs, excludedIds, homeEndpoints, nowMs }: DirectChooserOptions): PrefixHolders {
  if (transferTokensPerMs === null || shared.tokens === 0 || excludedIds.size > 0) return NO_HOLDERS
  const holders = new Map()
  for (const endpoint of endpoints) addHolder(holders, shared, endpoint, endpoint === homeEndpoints[0], nowMs)
  return holders
}

/**
 * Estimates which prompt tokens the endpoint would prefill for the request, and which it would fetch. Only tokens that
 * the source has shown to hold count as fetched: a home endpoint that has not read its parts yet is the one with the
 * longest queue, and each request that left it in vain would prefill them again.
 */
function estimateReading ({ shared, uniqueTokens }: PromptTokenCounts, endpoint: DirectEndpoint, holders: PrefixHolders, { transferTokensPerMs, homeEndpoints, nowMs }: DirectChooserOptions): ReadingPlan {
  const belief: PrefixBelief = estimateCachedPrefix(shared, endpoint, homeEndpoints, nowMs)
  const source = transferTokensPerMs === null ? null : choosePrefixSource(endpoint, belief, holders, transferTokensPerMs)
  const uncachedTokens = shared.tokens - belief.cachedTokens
  const fetchedTokens = source?.belief === 'read' ? Math.min(uncachedTokens, source.tokens) : 0
  return { uniqueTokens, uncachedSharedTokens: uncachedTokens - fetchedTokens, fetchedTokens, source }
}

/** Checks whether the request can start at the endpoint now, or could with a permit. */
function checkCapacity (candidate: Pick<DirectChoice, 'endpoint' | 'unreadTokens'>, options: CapacityOptions): Pick<DirectChoice, 'hasCapacity' | 'needsPermit'> {
  const isFree = hasCapacity(candidate, options)
  switch (options.getPermit(candidate.endpoint).kind) {
    case 'unlimited':
    case 'granted': return { hasCapacity: isFree, needsPermit: false }
    case 'missing': return { hasCapacity: false, needsPermit: isFree }
    case 'denied': return { hasCapacity: false, needsPermit: false }
  }
}

/**
 * Returns whether an endpoint is expected to start the request immediately, its limit aside. Requests that are queued
 * for the endpoint and start earlier keep their capacity. Otherwise short prompts would overtake a
 * long prompt and it would wait indefinitely.
 */
function hasCapacity ({ endpoint, unreadTokens }: Pick<DirectChoice, 'endpoint' | 'unreadTokens'>, { queuedTokens, getPeerLoad, maxInFlight, meanUniqueTokens, isLate, nowMs }: CapacityOptions): boolean {
  if (endpoint.inFlight >= maxInFlight || isBackingOff(endpoint, nowMs)) return false
  if (unreadTokens === 0) return true
  const peerTokens = getPeerLoad(endpoint.entry.id).pendingTokens
  if (!isBacklogWithinLimit({ unreadTokens, meanUniqueTokens, isLate, localTokens: endpoint.pendingTokens, othersTokens: peerTokens, tokensPerMs: endpoint.prefillRate.backlogTokensPerMs })) return false
  const backlogTokens = endpoint.pendingTokens + (queuedTokens.get(endpoint.entry.id) ?? 0)
  return backlogTokens === 0 || backlogTokens + unreadTokens <= endpoint.prefillLimit.tokens
}

function isPreferred (one: Candidate, other: Candidate, options: DirectChooserOptions): boolean {
  if (!options.prefersCapacity) return one.costMs < other.costMs
  const oneHasCapacity = checkCapacity(one, options).hasCapacity
  return oneHasCapacity === checkCapacity(other, options).hasCapacity ? one.costMs < other.costMs : oneHasCapacity
}

function estimateCostMs (request: DirectChoiceRequest, endpoint: DirectEndpoint, { uniqueTokens, uncachedSharedTokens, fetchedTokens, source }: ReadingPlan, options: DirectChooserOptions): number {
  const { nowMs, random, getPeerLoad } = options
  const peerLoad = getPeerLoad(endpoint.entry.id)
  const pendingTokens = endpoint.pendingTokens + (options.queuedTokens.get(endpoint.entry.id) ?? 0)
  const tokens = uniqueTokens + UNCACHED_SHARED_WEIGHT * uncachedSharedTokens + FETCHED_SHARED_WEIGHT * fetchedTokens + PENDING_TOKENS_WEIGHT * pendingTokens
  const ejectedMs = isEjected(endpoint, nowMs) ? EJECTED_COST_MS : 0
  const backoffMs = Math.max(0, endpoint.quietUntilMs - nowMs)
  const transferMs = fetchedTokens > 0 ? source?.transferMs ?? 0 : 0
  return tokens / endpoint.prefillRate.tokensPerMs + transferMs + computeReservationCostMs(request, endpoint, peerLoad, options) + FULL_SLOTS_COST_MS * (endpoint.inFlight + countRequestsBeyondSlots(endpoint, peerLoad)) / endpoint.entry.slots + FAILURE_COST_MS * endpoint.failureRate + ejectedMs + backoffMs + computePermitWaitMs(options.getPermit(endpoint), nowMs) + random() * COST_JITTER_MS
}

/** Computes how long a request would wait for a permit. An answer that has not arrived yet is expected to take as long again. */
function computePermitWaitMs (permit: PermitState, nowMs: number): number {
  switch (permit.kind) {
    case 'unlimited':
    case 'granted': return 0
    case 'missing': return permit.askedAtMs === null ? 0 : nowMs - permit.askedAtMs
    case 'denied': return permit.untilMs - nowMs
  }
}

function computeReservationCostMs ({ promptParts, size }: DirectChoiceRequest, { entry }: DirectEndpoint, peerLoad: EndpointLoad, { reservedIds }: DirectChooserOptions): number {
  if (promptParts.length === 0 || reservedIds.size === 0) return 0
  const isReserved = reservedIds.has(entry.id)
  if (size === 'heavy') return isReserved ? HEAVY_ON_RESERVED_COST_MS : 0
  return isReserved ? FULL_SLOTS_COST_MS * Math.min(peerLoad.inFlight, entry.slots) / entry.slots : LIGHT_ON_UNRESERVED_COST_MS
}

/**
 * Counts the requests that must wait for a slot at the endpoint. Peer load that fits into the slots
 * does not count: it would move prompts away from the endpoint that has them cached, and another
 * endpoint would have to prefill them again.
 */
function countRequestsBeyondSlots ({ entry, inFlight }: DirectEndpoint, peerLoad: EndpointLoad): number {
  return Math.max(0, inFlight + peerLoad.inFlight - entry.slots)
}

export function countTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
