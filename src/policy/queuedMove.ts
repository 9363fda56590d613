import { estimateFirstToken } from './endpointView'

import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** A request that waits in the queue of an endpoint. */
export interface QueuedAttempt {
  /** Endpoint whose queue holds it. */
  view: EndpointView
  tier: Tier
  /** Milliseconds for which it has waited there. */
  waitedMs: number
}

const MIN_WAIT_BEFORE_MOVE_MS = 100
const MAX_WAIT_RATIO = 0.5

/**
 * Decides whether a request should leave the queue it waits in, because another endpoint would
 * start its tier much sooner. It loses no place by that: queues order by when a first token is due.
 *
 * @example
 * if (shouldMoveQueued(waiting, table.getViews(model), nowMs)) cancelAndOfferAgain()
 */
export function shouldMoveQueued (waiting: QueuedAttempt, views: readonly EndpointView[], nowMs: number): boolean {
  if (waiting.waitedMs < MIN_WAIT_BEFORE_MOVE_MS) return false
  const waitMs = estimateFirstToken(waiting.view, waiting.tier).waitMs
  return views.some(view => view !== waiting.view && canStartWithin(view, waiting.tier, waitMs * getMaxWaitRatio(view, waiting.tier), nowMs))
}

/** Where a lower tier waits, any gain is worth the move: that tier would be started first there. */
function getMaxWaitRatio (view: EndpointView, tier: Tier): number {
  const lowerQueued = view.load?.queuedByTier.slice(tier).some(count => count > 0) ?? false
  return lowerQueued ? 1 : MAX_WAIT_RATIO
}

function canStartWithin (view: EndpointView, tier: Tier, limitMs: number, nowMs: number): boolean {
  if (view.load === null || view.draining || view.failures > 0 || nowMs < view.ejectedUntilMs) return false
  const isRefusing = view.refusedTier > 0 && view.refusedTier <= tier && nowMs < view.refusedUntilMs
  return !isRefusing && estimateFirstToken(view, tier).waitMs < limitMs
}
