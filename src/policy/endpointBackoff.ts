import { isEjected } from './directEndpoint'

import type { DirectEndpoint } from './directEndpoint'

/** Longest time for which an endpoint is left alone at its own word; what is longer is taken for a mistake. */
const MAX_BACKOFF_MS = 60_000

/**
 * Records that an endpoint wants nothing from this process for a while. It is full, not broken: its
 * connections and its rank stay as they are. A shorter time told later does not end a longer one.
 */
export function recordBackoff (endpoint: DirectEndpoint, backoffMs: number, nowMs: number): void {
  endpoint.quietUntilMs = Math.max(endpoint.quietUntilMs, nowMs + Math.min(MAX_BACKOFF_MS, backoffMs))
}

/** Tells whether the endpoint asked this process to send nothing now. */
export function isBackingOff (endpoint: DirectEndpoint, nowMs: number): boolean {
  return nowMs < endpoint.quietUntilMs
}

/** Tells whether the endpoint is neither quiet nor ejected now. */
export function isAvailable (endpoint: DirectEndpoint, nowMs: number): boolean {
  return !isBackingOff(endpoint, nowMs) && !isEjected(endpoint, nowMs)
}

/**
 * Finds the milliseconds until the first of the endpoints takes requests again.
 *
 * @returns null when one of them takes requests now, or when there is none
 */
export function findShortestBackoffMs (endpoints: readonly DirectEndpoint[], nowMs: number): number | null {
  let earliestMs = Infinity
  for (const endpoint of endpoints) {
    if (!isBackingOff(endpoint, nowMs)) return null
    earliestMs = Math.min(earliestMs, endpoint.quietUntilMs)
  }
  return earliestMs === Infinity ? null : earliestMs - nowMs
}
