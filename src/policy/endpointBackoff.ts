import { isEjected } from './directEndpoint'

import type { DirectEndpoint } from './directEndpoint'

/** Maximum milliseconds of back-off that an endpoint can request. A longer time is treated as a mistake and cut to this. */
const MAX_BACKOFF_MS = 60_000

/**
 * Records that an endpoint asked this process to back off. The endpoint is full, not broken, so its
 * connections and its failure rate do not change. A later, shorter back-off does not end a longer one.
 */
export function recordBackoff (endpoint: DirectEndpoint, backoffMs: number, nowMs: number): void {
  endpoint.quietUntilMs = Math.max(endpoint.quietUntilMs, nowMs + Math.min(MAX_BACKOFF_MS, backoffMs))
}

/** Returns whether this process is backing off from the endpoint now. */
export function isBackingOff (endpoint: DirectEndpoint, nowMs: number): boolean {
  return nowMs < endpoint.quietUntilMs
}

/** Returns whether the endpoint is neither backing off nor ejected now. */
export function isAvailable (endpoint: DirectEndpoint, nowMs: number): boolean {
  return !isBackingOff(endpoint, nowMs) && !isEjected(endpoint, nowMs)
}

/**
 * Finds the milliseconds until the first of the endpoints accepts requests again.
 *
 * @returns null when one of them accepts requests now, or when there are no endpoints
 */
export function findShortestBackoffMs (endpoints: readonly DirectEndpoint[], nowMs: number): number | null {
  let earliestMs = Infinity
  for (const endpoint of endpoints) {
    if (!isBackingOff(endpoint, nowMs)) return null
    earliestMs = Math.min(earliestMs, endpoint.quietUntilMs)
  }
  return earliestMs === Infinity ? null : earliestMs - nowMs
}
