import { IndexedHeap } from './indexedHeap'
import { computeOccupancy, estimateFirstToken } from './endpointView'

import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** Properties of a request that affect the ranking of endpoints. */
export interface RankingRequest {
  tier: Tier
  /** Target milliseconds between tokens of the request's class. */
  betweenTokensTargetMs: number
  /** Endpoints that are likely to have the request's prompt prefix cached. */
  affinity: readonly EndpointView[]
}

/** Cost weights of the ranking. */
export interface RankingOptions {
  /** Failure domain of the gateway. */
  localDomain: string
  /** Number of endpoints sampled before the first one is returned. A smaller set is compared as a whole. */
  sampleSize: number
  /** Milliseconds by which a cached prefix shortens the time to the first token. */
  cachedPrefixGainMs: number
  /** Milliseconds subtracted from the cost of an endpoint in the local domain. */
  localDomainGainMs: number
  /** Milliseconds that a full endpoint adds to the time to the first token, compared to an idle one. */
  occupancyCostMs: number
  /** Tokens of a typical answer. Multiplies the delay per token of a slow endpoint. */
  typicalAnswerTokens: number
  /** Age in milliseconds at which a load report has half its weight. The average cost of the candidates has the other half. */
  reportHalfLifeMs: number
}

/** Default weights for a fleet within one region. */
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
 * Yields every endpoint that is not draining, starting with the one expected to serve the request
 * soonest. The ranking is lazy: the cost of the first result does not depend on the number of
 * endpoints. Endpoints that recently refused the tier follow the ready ones. Endpoints with
 * failures come last. None is excluded.
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

/** Yields the affinity endpoints, then the other views in random order. Shuffles lazily, without copying the set. */
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
