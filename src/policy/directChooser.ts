import { isEjected } from './directEndpoint'

import type { DirectEndpoint } from './directEndpoint'
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
}

export interface DirectChooserOptions {
  /** Endpoints that do not come into question, since the request was there already. */
  excluded: ReadonlySet<string>
  /** The endpoint that should hold the request's shared parts; null when nothing is shared. */
  home: DirectEndpoint | null
  nowMs: number
  random: () => number
}

/** Prompt tokens an engine reads in a millisecond, for endpoints of which nothing is known. */
const PREFILL_TOKENS_PER_MS = 100
/** Milliseconds by which each request at an endpoint slows one more. */
const SLOT_COST_MS = 4
/** Milliseconds by which an endpoint that always fails is put back. */
const FAILURE_COST_MS = 400
const EJECTED_COST_MS = 100_000
/** Time for which a part counts as held: what a busy engine of the users' sizes keeps. */
const HELD_MS = 20_000
/** Probability that the home holds the shared parts although this process did not send them. */
const HOME_HELD_SHARE = 0.7
const JITTER_MS = 1

/**
 * Chooses the endpoint where the request's first event or answer is expected soonest: what is
 * ahead of it there, what of its prompt must still be read there, and how the endpoint fared.
 *
 * @returns null when no endpoint is left
 */
export function chooseDirectEndpoint (request: DirectChoiceRequest, endpoints: readonly DirectEndpoint[], options: DirectChooserOptions): DirectChoice | null {
  let best: DirectChoice | null = null
  let candidates = 0
  for (const endpoint of endpoints) {
    if (options.excluded.has(endpoint.entry.id)) continue
    candidates += 1
    const costMs = estimateCostMs(request, endpoint, options)
    if (best !== null && costMs >= best.costMs) continue
    best = { endpoint, costMs, reason: endpoint === options.home ? 'prefixHome' : 'leastCost', candidates }
  }
  return best === null ? null : { ...best, candidates }
}

/** Gets the deepest part that requests share, by which they should meet at one endpoint. */
export function findSharedPart (parts: readonly PromptPart[]): PromptPart | null {
  return parts.at(-2) ?? null
}

/** Counts the prompt tokens that the endpoint would have to read for the request. */
export function countUnreadTokens (parts: readonly PromptPart[], endpoint: DirectEndpoint, isHome: boolean, nowMs: number): number {
  const total = countTokens(parts)
  const heldTokens = endpoint.prefixes.countHeldTokens(parts.slice(0, -1), nowMs, HELD_MS)
  if (!isHome) return total - heldTokens
  const sharedTokens = countTokens(parts.slice(0, -1))
  return total - Math.max(heldTokens, HOME_HELD_SHARE * sharedTokens)
}

function estimateCostMs (request: DirectChoiceRequest, endpoint: DirectEndpoint, options: DirectChooserOptions): number {
  const { home, nowMs, random } = options
  const unreadTokens = countUnreadTokens(request.promptParts, endpoint, endpoint === home, nowMs)
  const readMs = (endpoint.pendingTokens + unreadTokens) / PREFILL_TOKENS_PER_MS
  const ejectedMs = isEjected(endpoint, nowMs) ? EJECTED_COST_MS : 0
  return readMs + SLOT_COST_MS * endpoint.inFlight + FAILURE_COST_MS * endpoint.failureRate + ejectedMs + random() * JITTER_MS
}

function countTokens (parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0)
}
