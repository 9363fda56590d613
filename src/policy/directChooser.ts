import { hasBacklogRoom } from './backlogRoom'
import { isEjected } from './directEndpoint'
import { PREFILL_TOKENS_PER_MS } from './engineRates'
import { isQuiet } from './quietTime'

import type { DirectEndpoint } from './directEndpoint'
import type { EndpointLoad } from './loadBoard'
import type { PromptPart } from './prefixMemory'
import type { PromptSize } from './promptSizes'

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
  /** Requests that peer gateways have in flight there, and their prompt tokens not yet prefilled. */
  othersInFlight: number
  othersTokens: number
  /** Whether the endpoint is expected to start the request immediately. */
  hasRoom: boolean
}

/** Uncached prompt tokens of the requests queued for each endpoint, by endpoint id. */
export type PlannedTokens = Map<string, number>

/** Inputs that decide whether an endpoint has capacity for one more request of this gateway. */
export interface RoomOptions {
  /** Prompt tokens of the requests that are queued for each endpoint and start earlier. */
  planned: PlannedTokens
  /** Returns the load that peer gateways last reported for an endpoint. */
  getOthers: (endpointId: string) => EndpointLoad
  /** Maximum requests in flight from this gateway to one endpoint: its share of the endpoint's connections. */
  maxInFlight: number
  /** Mean number of unique (unshared) tokens in the service's recent prompts. */
  meanTokens: number
  /** Whether the request can no longer meet its target. */
  isLate: boolean
  nowMs: number
}

export interface DirectChooserOptions extends RoomOptions {
  /** Endpoints that the request was already sent to. They are not candidates. */
  excluded: ReadonlySet<string>
  /**
   * The home endpoint of the request's shared prefix, followed by its alternate. The alternate
   * serves while the home is overloaded. Every gateway computes the same endpoints.
   * Empty when the request shares no parts.
   */
  holders: readonly DirectEndpoint[]
  /** Endpoints reserved for light prompts. */
  reservedIds: ReadonlySet<string>
  /** Whether an endpoint with capacity is preferred to one without, regardless of cached prefixes. */
  needsRoom: boolean
  random: () => number
}

type Candidate = Pick<DirectChoice, 'endpoint' | 'costMs' | 'unreadTokens'>

/** Token counts of a prompt that are the same for every endpoint. */
interface PromptCounts {
  sharedParts: readonly PromptPart[]
  sharedTokens: number
  ownTokens: number
}

/**
 * Cost weight of shared tokens that the endpoint must prefill again. In addition to delaying the
 * request itself, they delay later requests and evict other parts from the cache.
 */
const UNREAD_SHARED_WEIGHT = 4
/** Cost weight of this gateway's prompt tokens that the endpoint has not prefilled yet. */
const PENDING_WEIGHT = 1
/** Cost in milliseconds of an endpoint with all slots taken, compared with an empty one. */
const FULL_COST_MS = 600
/** Cost in milliseconds of an endpoint whose attempts always fail. */
const FAILURE_COST_MS = 200
/** Cost in milliseconds of an unreserved endpoint for a light prompt, and of a reserved one for a heavy prompt. */
const LIGHT_GAIN_MS = 300
const HEAVY_COST_MS = 3000
const EJECTED_COST_MS = 100_000
/** Probabilities that the home and the alternate endpoint have cached shared parts that this process did not send there. */
const HELD_SHARES = [1, 0.5]
const HOLDER_REASONS = ['prefixHome', 'prefixAlternate'] as const
/** Number of home endpoints of a shared part: the home and its alternate. */
export const HOLDER_COUNT = HELD_SHARES.length
const JITTER_MS = 1

/**
 * Chooses the endpoint with the lowest estimated time to the first event or answer. The cost covers
 * the endpoint's backlog, the uncached tokens of the prompt and the endpoint's recent failures.
 *
 * The chosen endpoint may lack capacity. A request waits for the endpoint that has its prefix cached,
 * because another endpoint would have to prefill the prompt again. It goes elsewhere when that
 * endpoint's backlog costs more than the prefill.
 *
 * @returns null when no candidate is left
 */
export function chooseDirectEndpoint (request: DirectChoiceRequest, endpoints: readonly DirectEndpoint[], options: DirectChooserOptions): DirectChoice | null {
  const prompt = countPrompt(request.promptParts)
  let best: Candidate | null = null
  let candidates = 0
  for (const endpoint of endpoints) {
    if (options.excluded.has(endpoint.entry.id)) continue
    candidates += 1
    const unreadTokens = countUnreadTokens(prompt, endpoint, options)
    const costMs = estimateCostMs(request, endpoint, { ownTokens: prompt.ownTokens, unreadShared: unreadTokens - prompt.ownTokens }, options)
    const candidate = { endpoint, costMs, unreadTokens }
    if (best === null || isBetter(candidate, best, options)) best = candidate
  }
  if (best === null) return null
  const others = options.getOthers(best.endpoint.entry.id)
  return {
    ...best,
    candidates,
    reason: HOLDER_REASONS[options.holders.indexOf(best.endpoint)] ?? 'leastCost',
    othersInFlight: others.inFlight,
    othersTokens: others.pendingTokens,
    hasRoom: hasRoom(best, options)
  }
}

/**
 * Re-checks the capacity of an earlier choice's endpoint without choosing again. A queued request
 * repeats the full choice only at intervals, because a choice evaluates every endpoint.
 */
export function updateRoom (choice: DirectChoice, room: RoomOptions): DirectChoice {
  const others = room.getOthers(choice.endpoint.entry.id)
  return { ...choice, othersInFlight: others.inFlight, othersTokens: others.pendingTokens, hasRoom: hasRoom(choice, room) }
}

/** Returns the deepest shared part. Requests that share it are routed to the same home endpoint. */
export function findSharedPart (parts: readonly PromptPart[]): PromptPart | null {
  return parts.at(-2) ?? null
}

function countPrompt (parts: readonly PromptPart[]): PromptCounts {
  const sharedParts = parts.slice(0, -1)
  return { sharedParts, sharedTokens: countTokens(sharedParts), ownTokens: parts.at(-1)?.tokens ?? 0 }
}

/** Counts the prompt tokens that the endpoint is expected to prefill for the request. */
function countUnreadTokens ({ sharedParts, sharedTokens, ownTokens }: PromptCounts, endpoint: DirectEndpoint, { holders, nowMs }: DirectChooserOptions): number {
  const heldShare = HELD_SHARES[holders.indexOf(endpoint)] ?? 0
  const heldTokens = endpoint.prefixes.countHeldTokens(sharedParts, nowMs)
  return ownTokens + sharedTokens - Math.max(heldTokens, Math.round(heldShare * sharedTokens))
}

/**
 * Returns whether an endpoint is expected to start the request immediately. Requests that are queued
 * for the endpoint and start earlier keep their capacity. Otherwise short prompts would overtake a
 * long prompt and it would wait indefinitely.
 */
function hasRoom ({ endpoint, unreadTokens }: Pick<DirectChoice, 'endpoint' | 'unreadTokens'>, { planned, getOthers, maxInFlight, meanTokens, isLate, nowMs }: RoomOptions): boolean {
  if (endpoint.inFlight >= maxInFlight || isQuiet(endpoint, nowMs)) return false
  if (unreadTokens === 0) return true
  const othersTokens = getOthers(endpoint.entry.id).pendingTokens
  if (!hasBacklogRoom({ unreadTokens, meanTokens, isLate, ownTokens: endpoint.pendingTokens, othersTokens })) return false
  const aheadTokens = endpoint.pendingTokens + (planned.get(endpoint.entry.id) ?? 0)
  return aheadTokens === 0 || aheadTokens + unreadTokens <= endpoint.readLimit.tokens
}

function isBetter (one: Candidate, other: Candidate, options: DirectChooserOptions): boolean {
  if (!options.needsRoom) return one.costMs < other.costMs
  const oneHasRoom = hasRoom(one, options)
  return oneHasRoom === hasRoom(other, options) ? one.costMs < other.costMs : oneHasRoom
}

function estimateCostMs (request: DirectChoiceRequest, endpoint: DirectEndpoint, { ownTokens, unreadShared }: { ownTokens: number, unreadShared: number }, options: DirectChooserOptions): number {
  const { nowMs, random, getOthers } = options
  const others = getOthers(endpoint.entry.id)
  const pendingTokens = endpoint.pendingTokens + (options.planned.get(endpoint.entry.id) ?? 0)
  const tokens = ownTokens + UNREAD_SHARED_WEIGHT * unreadShared + PENDING_WEIGHT * pendingTokens
  const ejectedMs = isEjected(endpoint, nowMs) ? EJECTED_COST_MS : 0
  const quietMs = Math.max(0, endpoint.quietUntilMs - nowMs)
  return tokens / PREFILL_TOKENS_PER_MS + computeGroupCostMs(request, endpoint, others, options) + FULL_COST_MS * (endpoint.inFlight + countExcess(endpoint, others)) / endpoint.entry.slots + FAILURE_COST_MS * endpoint.failureRate + ejectedMs + quietMs + random() * JITTER_MS
}

function computeGroupCostMs ({ promptParts, size }: DirectChoiceRequest, { entry }: DirectEndpoint, others: EndpointLoad, { reservedIds }: DirectChooserOptions): number {
  if (promptParts.length === 0 || reservedIds.size === 0) return 0
  const isReserved = reservedIds.has(entry.id)
  if (size === 'heavy') return isReserved ? HEAVY_COST_MS : 0
  return isReserved ? FULL_COST_MS * Math.min(others.inFlight, entry.slots) / entry.slots : LIGHT_GAIN_MS
}

/**
 * Counts the requests that must wait for a slot at the endpoint. Peer load that fits into the slots
 * does not count: it would move prompts away from the endpoint that has them cached, and another
 * endpoint would have to prefill them again.
 */
function countExcess ({ entry, inFlight }: DirectEndpoint, others: EndpointLoad): number {
  return Math.max(0, inFlight + others.inFlight - entry.slots)
}

export function countTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
