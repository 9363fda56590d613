import { isEjected } from './directEndpoint'

import type { DirectEndpoint } from './directEndpoint'
import type { EndpointLoad } from './loadBoard'
import type { PromptPart } from './prefixMemory'

/** What the choice needs to know of a request. */
export interface DirectChoiceRequest {
  service: string
  /** Parts of the prompt in order; the last one is the request's own. Empty for a plain service. */
  promptParts: readonly PromptPart[]
}

/** The endpoint chosen, with what decided it. */
export interface DirectChoice {
  endpoint: DirectEndpoint
  reason: 'prefixHome' | 'leastCost'
  costMs: number
  candidates: number
  /** Prompt tokens that the endpoint would have to read for the request. */
  unreadTokens: number
  /** Requests that other gateways have there. */
  othersInFlight: number
  /** Whether the endpoint is expected to start the request at once. */
  hasRoom: boolean
}

/** Prompt tokens of requests that wait for an endpoint, by its id. */
export type PlannedTokens = Map<string, number>

export interface DirectChooserOptions {
  /** Endpoints that do not come into question, since the request was there already. */
  excluded: ReadonlySet<string>
  /** The endpoint that should hold the request's shared parts; null when nothing is shared. */
  home: DirectEndpoint | null
  /** What waits for each endpoint and goes first. */
  planned: PlannedTokens
  /** Gets what other gateways have at an endpoint, as lately told. */
  getOthers: (endpointId: string) => EndpointLoad
  /** Requests that this gateway may have at one endpoint: its share of the connections there. */
  maxInFlight: number
  nowMs: number
  random: () => number
}

/** What decides whether an endpoint has room for one more request of this gateway. */
export type RoomOptions = Pick<DirectChooserOptions, 'planned' | 'maxInFlight'>

/** Prompt tokens an engine reads in a millisecond, for endpoints of which nothing is known. */
export const PREFILL_TOKENS_PER_MS = 100
/**
 * Weight of shared tokens that must be read anew: beside the request's own delay, they delay what
 * comes after it and push other parts out of the cache.
 */
const UNREAD_SHARED_WEIGHT = 4
/** Weight of this gateway's prompts that are still to be read there. */
const PENDING_WEIGHT = 1
/** Milliseconds that an endpoint with all slots taken is behind an empty one. */
const FULL_COST_MS = 600
/** Milliseconds by which an endpoint that always fails is put back. */
const FAILURE_COST_MS = 200
const EJECTED_COST_MS = 100_000
/** Probability that the home holds the shared parts although this process did not send them. */
const HOME_HELD_SHARE = 1
const JITTER_MS = 1

/**
 * Chooses the endpoint where the request's first event or answer is expected soonest: what is
 * ahead of it there, what of its prompt must still be read there, and how the endpoint fared.
 *
 * The endpoint may have no room yet: a request waits for the one that holds its prompt rather than
 * have it read again by another, unless that one is too far behind.
 *
 * @returns null when no endpoint is left
 */
export function chooseDirectEndpoint (request: DirectChoiceRequest, endpoints: readonly DirectEndpoint[], options: DirectChooserOptions): DirectChoice | null {
  let best: Pick<DirectChoice, 'endpoint' | 'costMs' | 'unreadTokens'> | null = null
  let candidates = 0
  for (const endpoint of endpoints) {
    if (options.excluded.has(endpoint.entry.id)) continue
    candidates += 1
    const unreadTokens = countUnreadTokens(request.promptParts, endpoint, endpoint === options.home, options.nowMs)
    const costMs = estimateCostMs(request, endpoint, unreadTokens, options)
    if (best !== null && costMs >= best.costMs) continue
    best = { endpoint, costMs, unreadTokens }
  }
  if (best === null) return null
  return {
    ...best,
    candidates,
    reason: best.endpoint === options.home ? 'prefixHome' : 'leastCost',
    othersInFlight: options.getOthers(best.endpoint.entry.id).inFlight,
    hasRoom: hasRoom(best, options)
  }
}

/**
 * Looks again whether the endpoint of an earlier choice has room now, without a new choice. A request
 * that waits chooses anew only from time to time, since a choice weighs every endpoint.
 */
export function updateRoom (choice: DirectChoice, room: RoomOptions): DirectChoice {
  return { ...choice, hasRoom: hasRoom(choice, room) }
}

/** Gets the deepest part that requests share, by which they should meet at one endpoint. */
export function findSharedPart (parts: readonly PromptPart[]): PromptPart | null {
  return parts.at(-2) ?? null
}

/** Counts the prompt tokens that the endpoint would have to read for the request. */
export function countUnreadTokens (parts: readonly PromptPart[], endpoint: DirectEndpoint, isHome: boolean, nowMs: number): number {
  const total = countTokens(parts)
  const heldTokens = endpoint.prefixes.countHeldTokens(parts.slice(0, -1), nowMs)
  if (!isHome) return total - heldTokens
  const sharedTokens = countTokens(parts.slice(0, -1))
  return total - Math.max(heldTokens, HOME_HELD_SHARE * sharedTokens)
}

/**
 * Tells whether an endpoint is expected to start the request at once. What waits for it and goes
 * first keeps its room, or a long prompt would wait for ever while short ones slip in.
 */
function hasRoom ({ endpoint, unreadTokens }: Pick<DirectChoice, 'endpoint' | 'unreadTokens'>, { planned, maxInFlight }: RoomOptions): boolean {
  if (endpoint.inFlight >= maxInFlight) return false
  if (unreadTokens === 0) return true
  const aheadTokens = endpoint.pendingTokens + (planned.get(endpoint.entry.id) ?? 0)
  return aheadTokens === 0 || aheadTokens + unreadTokens <= endpoint.readLimit.tokens
}

function estimateCostMs (request: DirectChoiceRequest, endpoint: DirectEndpoint, unreadTokens: number, options: DirectChooserOptions): number {
  const { nowMs, random, getOthers } = options
  const others = getOthers(endpoint.entry.id)
  const ownTokens = request.promptParts.at(-1)?.tokens ?? 0
  const unreadShared = unreadTokens - ownTokens
  const pendingTokens = endpoint.pendingTokens + (options.planned.get(endpoint.entry.id) ?? 0)
  const tokens = ownTokens + UNREAD_SHARED_WEIGHT * unreadShared + PENDING_WEIGHT * pendingTokens
  const ejectedMs = isEjected(endpoint, nowMs) ? EJECTED_COST_MS : 0
  return tokens / PREFILL_TOKENS_PER_MS + FULL_COST_MS * (endpoint.inFlight + countExcess(endpoint, others)) / endpoint.entry.slots + FAILURE_COST_MS * endpoint.failureRate + ejectedMs + random() * JITTER_MS
}

/**
 * Requests that must wait for a slot there. Below that the others' load must not count: it would send
 * prompts away from the endpoint that holds them, to be read again elsewhere.
 */
function countExcess ({ entry, inFlight }: DirectEndpoint, others: EndpointLoad): number {
  return Math.max(0, inFlight + others.inFlight - entry.slots)
}

function countTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
