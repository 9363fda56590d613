import { estimateFirstToken } from './endpointView'

import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** A request queued at an endpoint. */
export interface QueuedAttempt {
  /** Endpoint at which the request is queued. */
  view: EndpointView
  tier: Tier
  /** Milliseconds since the endpoint queued it. */
  waitedMs: number
}

const MIN_WAIT_BEFORE_MOVE_MS = 100
const MAX_WAIT_RATIO = 0.5

/**
 * Returns whether a queued request should move to another endpoint that would start its tier much
 * sooner. The move does not cost the request its position, because queues are ordered by the time
 * at which the first token is due.
 *
 * @example
 * if (shouldMoveQueued(waiting, table.getViews(model), nowMs)) cancelAndOfferAgain()
 */
export function shouldMoveQueued (waiting: QueuedAttempt, views: readonly EndpointView[], nowMs: number): boolean {
  if (waiting.waitedMs < MIN_WAIT_BEFORE_MOVE_MS) return false
  const waitMs = estimateFirstToken(waiting.view, waiting.tier).waitMs
  return views.some(view => view !== waiting.view && canStartWithin(view, waiting.tier, waitMs * getMaxWaitRatio(view, waiting.tier), nowMs))
}

/** Returns 1 if a lower tier is queued at the endpoint. That tier would otherwise start first, so any gain is worth the move. */
function getMaxWaitRatio (view: EndpointView, tier: Tier): number {
  const lowerQueued = view.load?.queuedByTier.slice(tier).some(count => count > 0) ?? false
  return lowerQueued ? 1 : MAX_WAIT_RATIO
}

function canStartWithin (view: EndpointView, tier: Tier, limitMs: number, nowMs: number): boolean {
  if (view.load === null || view.draining || view.failures > 0 || nowMs < view.ejectedUntilMs) return false
  const isRefusing = view.refusedTier > 0 && view.refusedTier <= tier && nowMs < view.refusedUntilMs
  return !isRefusing && estimateFirstToken(view, tier).waitMs < limitMs
}
