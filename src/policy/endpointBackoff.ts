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
