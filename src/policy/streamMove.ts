import { estimateFirstToken } from './endpointView'

import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** A stream that runs at an endpoint. */
export interface RunningStream {
  /** Endpoint that runs it. */
  view: EndpointView
  tier: Tier
  /** Whether it may be cancelled and continued elsewhere from the text delivered so far. */
  resumable: boolean
  /** Milliseconds between its last tokens. */
  tokenIntervalMs: number
  /** Milliseconds between tokens that its class aims at. */
  betweenTokensTargetMs: number
}

const SLOW_INTERVAL_FACTOR = 2.5

/**
 * Decides whether a stream should leave an endpoint that has become slow: its tokens come far too
 * late, and another endpoint has a slot open for its tier and keeps its tokens in time.
 *
 * @example
 * if (shouldMoveStream(stream, table.getViews(model), nowMs) && budget.acquire(className, nowMs)) cancelAndResume()
 */
export function shouldMoveStream (stream: RunningStream, views: readonly EndpointView[], nowMs: number): boolean {
  if (!stream.resumable || stream.tokenIntervalMs <= SLOW_INTERVAL_FACTOR * stream.betweenTokensTargetMs) return false
  return views.some(view => view !== stream.view && hasOpenSlot(view, stream, nowMs))
}

function hasOpenSlot (view: EndpointView, stream: RunningStream, nowMs: number): boolean {
  if (view.load === null || view.draining || view.failures > 0 || nowMs < view.ejectedUntilMs) return false
  const isRefusing = view.refusedTier > 0 && view.refusedTier <= stream.tier && nowMs < view.refusedUntilMs
  if (isRefusing || view.load.tokenIntervalMs > stream.betweenTokensTargetMs) return false
  return estimateFirstToken(view, stream.tier).waitMs === 0
}
