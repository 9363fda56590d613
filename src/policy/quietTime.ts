import { isEjected } from './directEndpoint'

import type { DirectEndpoint } from './directEndpoint'

/** Longest time for which an endpoint is left alone at its own word; what is longer is taken for a mistake. */
const MAX_QUIET_MS = 60_000

/**
 * Records that an endpoint wants nothing from this process for a while. It is full, not broken: its
 * connections and its rank stay as they are. A shorter time told later does not end a longer one.
 */
export function recordQuiet (endpoint: DirectEndpoint, quietMs: number, nowMs: number): void {
  endpoint.quietUntilMs = Math.max(endpoint.quietUntilMs, nowMs + Math.min(MAX_QUIET_MS, quietMs))
}

/** Tells whether the endpoint asked this process to send nothing now. */
export function isQuiet (endpoint: DirectEndpoint, nowMs: number): boolean {
  return nowMs < endpoint.quietUntilMs
}

/** Tells whether the endpoint is neither quiet nor ejected now. */
export function isAvailable (endpoint: DirectEndpoint, nowMs: number): boolean {
  return !isQuiet(endpoint, nowMs) && !isEjected(endpoint, nowMs)
}

/**
 * Finds the milliseconds until the first of the endpoints takes requests again.
 *
 * @returns null when one of them takes requests now, or when there is none
 */
export function findQuietRestMs (endpoints: readonly DirectEndpoint[], nowMs: number): number | null {
  let firstMs = Infinity
  for (const endpoint of endpoints) {
    if (!isQuiet(endpoint, nowMs)) return null
    firstMs = Math.min(firstMs, endpoint.quietUntilMs)
  }
  return firstMs === Infinity ? null : firstMs - nowMs
}
