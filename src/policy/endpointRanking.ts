import { IndexedHeap } from './indexedHeap'
import { computeOccupancy, estimateFirstToken } from './endpointView'

import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** What the choice needs to know of a request. */
export interface RankingRequest {
  tier: Tier
  /** Milliseconds between tokens that the class aims at. */
  betweenTokensTargetMs: number
  /** Endpoints likely to hold the request's prompt prefix in their cache. */
  affinity: readonly EndpointView[]
}

/** Weights of the choice. */
export interface RankingOptions {
  /** Failure domain of the gateway. */
  localDomain: string
  /** Endpoints weighed before the first offer; a set no larger is weighed whole. */
  sampleSize: number
  /** Milliseconds to the first token that a cached prefix saves. */
  cachedPrefixGainMs: number
  /** Milliseconds that an endpoint in the local domain saves. */
  localDomainGainMs: number
  /** Milliseconds to the first token that a full endpoint adds over an empty one. */
  occupancyCostMs: number
  /** Tokens of a typical answer, by which a slow endpoint's delay per token is multiplied. */
  typicalAnswerTokens: number
  /** Age in milliseconds at which a report counts half, the average of the others the other half. */
  reportHalfLifeMs: number
}

/** Weights that suit a fleet within one region. */
export const DEFAULT_RANKING_OPTIONS: RankingOptions = {
  localDomain: '',
  sampleSize: 16,
  cachedPrefixGainMs: 150,
  localDomainGainMs: 3,
  occupancyCostMs: 200,
  typicalAnswerTokens: 200,
  reportHalfLifeMs: 2000
}

interface Candidate {
  view: EndpointView
  rank: 'ready' | 'refusing' | 'ejected'
  costMs: number
}

const RANK_ORDER = { ready: 0, refusing: 1, ejected: 2 } as const
const MAX_COST_JITTER_MS = 2

/**
 * Ranks the endpoints that could serve a request: the one expected to serve it soonest comes
 * first, then one by one every other that is not draining. The order is made as it is read, so
 * that the first costs the same however many follow. Endpoints that refused the tier lately come
 * after the others, and those with failures last, but none is left out.
 *
 * @example
 * for (const view of rankEndpoints(request, table.getViews(model), nowMs, Math.random, options)) {
 *   if (await offerTo(view)) break
 * }
 */
export function * rankEndpoints (request: RankingRequest, views: readonly EndpointView[], nowMs: number,
  random: () => number, options: RankingOptions): Generator<EndpointView, void, void> {
  const drawn = sampleViews(request, views, random)
  const candidates = new IndexedHeap<Candidate>(isRankedBefore)
  const first: EndpointView[] = []
  while (first.length < options.sampleSize) {
    const view = drawn.next()
    if (view.done) break
    first.push(view.value)
  }
  for (const candidate of computeCandidates(request, first, nowMs, random, options)) candidates.add(candidate)
  for (let best = candidates.getFirst(); best !== undefined; best = candidates.getFirst()) {
    candidates.remove(best)
    yield best.view
    const next = drawn.next()
    if (next.done) continue
    for (const candidate of computeCandidates(request, [next.value], nowMs, random, options)) candidates.add(candidate)
  }
}

/** Draws views in random order without copying the set; those with affinity come first. */
function * sampleViews (request: RankingRequest, views: readonly EndpointView[], random: () => number): Generator<EndpointView, void, void> {
  for (const view of request.affinity) if (!view.draining) yield view
  const swapped = new Map<number, number>()
  for (let index = 0; index < views.length; index++) {
    const drawn = index + Math.floor(random() * (views.length - index))
    const position = swapped.get(drawn) ?? drawn
    swapped.set(drawn, swapped.get(index) ?? index)
    swapped.delete(index)
    const view = views[position] as EndpointView
    if (!view.draining && !request.affinity.includes(view)) yield view
  }
}

function computeCandidates (request: RankingRequest, views: EndpointView[], nowMs: number, random: () => number,
  options: RankingOptions): Candidate[] {
  const costs = views.map(view => computeLoadCostMs(request, view, options))
  const reportWeights = views.map(view => computeReportWeight(view, nowMs, options))
  const averageMs = computeWeightedAverage(costs, reportWeights)
  return views.map((view, index) => {
    const reportWeight = reportWeights[index] as number
    const loadMs = reportWeight * (costs[index] as number) + (1 - reportWeight) * averageMs
    return { view, rank: findCandidateRank(request, view, nowMs), costMs: loadMs - computeGainMs(request, view, options) + random() * MAX_COST_JITTER_MS }
  })
}

function computeWeightedAverage (values: number[], weights: number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  if (total === 0) return 0
  return values.reduce((sum, value, index) => sum + value * (weights[index] as number), 0) / total
}

function computeLoadCostMs (request: RankingRequest, view: EndpointView, options: RankingOptions): number {
  const slowMs = Math.max(0, (view.load?.tokenIntervalMs ?? 0) - request.betweenTokensTargetMs)
  return estimateFirstToken(view, request.tier).firstTokenMs +
    options.occupancyCostMs * computeOccupancy(view) +
    options.typicalAnswerTokens * slowMs
}

function computeGainMs (request: RankingRequest, view: EndpointView, options: RankingOptions): number {
  const localMs = view.domain === options.localDomain ? options.localDomainGainMs : 0
  const affinityMs = request.affinity.includes(view) ? options.cachedPrefixGainMs : 0
  return localMs + affinityMs
}

function computeReportWeight (view: EndpointView, nowMs: number, options: RankingOptions): number {
  if (view.load === null) return 0
  return 2 ** (-Math.max(0, nowMs - view.reportedAtMs) / options.reportHalfLifeMs)
}

function findCandidateRank (request: RankingRequest, view: EndpointView, nowMs: number): Candidate['rank'] {
  const probing = view.failures > 0 && view.sentSince.some(count => count > 0)
  if (nowMs < view.ejectedUntilMs || probing) return 'ejected'
  const refusing = view.refusedTier > 0 && view.refusedTier <= request.tier && nowMs < view.refusedUntilMs
  return refusing ? 'refusing' : 'ready'
}

function isRankedBefore (a: Candidate, b: Candidate): boolean {
  if (a.rank !== b.rank) return RANK_ORDER[a.rank] < RANK_ORDER[b.rank]
  return a.costMs < b.costMs
}
