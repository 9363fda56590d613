import { estimateFirstToken } from './endpointView'

import type { Tier } from '../protocol/tiers'
import type { EndpointView } from './endpointView'

/** A stream running at an endpoint. */
export interface RunningStream {
  /** Endpoint that runs the stream. */
  view: EndpointView
  tier: Tier
  /** Whether the stream may be cancelled and resumed at another endpoint from the text delivered so far. */
  resumable: boolean
  /** Milliseconds between the last tokens of the stream. */
  tokenIntervalMs: number
  /** Target milliseconds between tokens of the stream's class. */
  betweenTokensTargetMs: number
}

const SLOW_INTERVAL_FACTOR = 2.5

/**
 * Returns whether a stream should move away from a slow endpoint. This is the case if its tokens
 * far exceed their target interval and another endpoint has an open slot for its tier and meets the
 * target.
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
