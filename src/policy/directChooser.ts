import { hasBacklogRoom } from './backlogRoom'
import { isEjected } from './directEndpoint'
import { PREFILL_TOKENS_PER_MS } from './engineRates'
import { isQuiet } from './quietTime'

import type { DirectEndpoint } from './directEndpoint'
import type { EndpointLoad } from './loadBoard'
import type { PromptPart } from './prefixMemory'
import type { PromptSize } from './promptSizes'

/** What the choice needs to know of a request. */
export interface DirectChoiceRequest {
  service: string
  /** Parts of the prompt in order; the last one is the request's own. Empty for a plain service. */
  promptParts: readonly PromptPart[]
  size: PromptSize
}

/** The endpoint chosen, with what decided it. */
export interface DirectChoice {
  endpoint: DirectEndpoint
  reason: 'prefixHome' | 'prefixAlternate' | 'leastCost'
  costMs: number
  candidates: number
  /** Prompt tokens that the endpoint would have to read for the request. */
  unreadTokens: number
  /** Requests that other gateways have there, and prompt tokens of theirs that are unread. */
  othersInFlight: number
  othersTokens: number
  /** Whether the endpoint is expected to start the request at once. */
  hasRoom: boolean
}

/** Prompt tokens of requests that wait for an endpoint, by its id. */
export type PlannedTokens = Map<string, number>

/** What decides whether an endpoint has room for one more request of this gateway. */
export interface RoomOptions {
  /** What waits for each endpoint and goes first. */
  planned: PlannedTokens
  /** Gets what other gateways have at an endpoint, as lately told. */
  getOthers: (endpointId: string) => EndpointLoad
  /** Requests that this gateway may have at one endpoint: its share of the connections there. */
  maxInFlight: number
  /** Mean of the own tokens of the prompts that the service is asked lately. */
  meanTokens: number
  /** Whether the request can no longer be on time. */
  isLate: boolean
  nowMs: number
}

export interface DirectChooserOptions extends RoomOptions {
  /** Endpoints that do not come into question, since the request was there already. */
  excluded: ReadonlySet<string>
  /**
   * Endpoints at which the request's shared parts meet: their home, and their alternate,
   * for when the home is behind, the same at all gateways. Empty when nothing is shared.
   */
  holders: readonly DirectEndpoint[]
  /** Endpoints kept for light prompts. */
  reservedIds: ReadonlySet<string>
  /** Whether an endpoint with room is chosen before one without, whatever is cached where. */
  needsRoom: boolean
  random: () => number
}

type Candidate = Pick<DirectChoice, 'endpoint' | 'costMs' | 'unreadTokens'>

/** What the choice weighs of a prompt, the same at each endpoint. */
interface PromptCounts {
  sharedParts: readonly PromptPart[]
  sharedTokens: number
  ownTokens: number
}

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
/** Milliseconds by which a light prompt prefers an endpoint that is kept for such, and a heavy one shuns it. */
const LIGHT_GAIN_MS = 300
const HEAVY_COST_MS = 3000
const EJECTED_COST_MS = 100_000
/** Probabilities that the home and its alternate hold the shared parts although this process did not send them. */
const HELD_SHARES = [1, 0.5]
const HOLDER_REASONS = ['prefixHome', 'prefixAlternate'] as const
/** Endpoints at which a shared part meets. */
export const HOLDER_COUNT = HELD_SHARES.length
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
 * Looks again whether the endpoint of an earlier choice has room now, without a new choice. A request
 * that waits chooses anew only from time to time, since a choice weighs every endpoint.
 */
export function updateRoom (choice: DirectChoice, room: RoomOptions): DirectChoice {
  const others = room.getOthers(choice.endpoint.entry.id)
  return { ...choice, othersInFlight: others.inFlight, othersTokens: others.pendingTokens, hasRoom: hasRoom(choice, room) }
}

/** Gets the deepest part that requests share, by which they should meet at one endpoint. */
export function findSharedPart (parts: readonly PromptPart[]): PromptPart | null {
  return parts.at(-2) ?? null
}

function countPrompt (parts: readonly PromptPart[]): PromptCounts {
  const sharedParts = parts.slice(0, -1)
  return { sharedParts, sharedTokens: countTokens(sharedParts), ownTokens: parts.at(-1)?.tokens ?? 0 }
}

/** Counts the prompt tokens that the endpoint is expected to read for the request. */
function countUnreadTokens ({ sharedParts, sharedTokens, ownTokens }: PromptCounts, endpoint: DirectEndpoint, { holders, nowMs }: DirectChooserOptions): number {
  const heldShare = HELD_SHARES[holders.indexOf(endpoint)] ?? 0
  const heldTokens = endpoint.prefixes.countHeldTokens(sharedParts, nowMs)
  return ownTokens + sharedTokens - Math.max(heldTokens, Math.round(heldShare * sharedTokens))
}

/**
 * Tells whether an endpoint is expected to start the request at once. What waits for it and goes
 * first keeps its room, or a long prompt would wait for ever while short ones slip in.
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
 * Requests that must wait for a slot there. Below that the others' load must not count: it would send
 * prompts away from the endpoint that holds them, to be read again elsewhere.
 */
function countExcess ({ entry, inFlight }: DirectEndpoint, others: EndpointLoad): number {
  return Math.max(0, inFlight + others.inFlight - entry.slots)
}

export function countTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
