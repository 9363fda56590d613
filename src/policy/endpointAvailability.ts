import { isEjected } from './directEndpoint'
import { isBackingOff } from './endpointBackoff'
import { MIN_GRANTS_PER_SECOND } from './sendGrants'

import type { DirectEndpoint } from './directEndpoint'
import type { PermitState } from './sendPermits'

/** Inputs that decide how long requests wait for any of some endpoints. */
export interface WaitInputs {
  getPermit: (endpoint: DirectEndpoint) => PermitState
  /** Returns the requests per second that an endpoint accepts from all gateways together; null for no limit. */
  getLimit: (endpoint: DirectEndpoint) => number | null
  /** Queued requests that go before this one. */
  waitingAhead: number
  nowMs: number
}

const MS_PER_SECOND = 1000

/** Returns whether the endpoint is not ejected, not backing off, and not closed to this gateway by its limit. */
export function isAvailable (endpoint: DirectEndpoint, permit: PermitState, nowMs: number): boolean {
  return !isBackingOff(endpoint, nowMs) && !isEjected(endpoint, nowMs) && permit.kind !== 'denied'
}

/**
 * Finds the milliseconds until the first of the endpoints accepts requests again, after its back-off
 * and after the time for which permits are denied.
 *
 * @returns null when one of them may accept requests now, or when there are no endpoints
 */
export function findShortestWaitMs (endpoints: readonly DirectEndpoint[], getPermit: WaitInputs['getPermit'], nowMs: number): number | null {
  let earliestMs = Infinity
  for (const endpoint of endpoints) {
    const permit = getPermit(endpoint)
    const availableAtMs = Math.max(endpoint.quietUntilMs, permit.kind === 'denied' ? permit.untilMs : -Infinity)
    if (nowMs >= availableAtMs) return null
    earliestMs = Math.min(earliestMs, availableAtMs)
  }
  return earliestMs === Infinity ? null : earliestMs - nowMs
}

/**
 * Estimates how long a request waits at least for one of the endpoints. Where all of them name limits, the
 * requests ahead of it need the sum of these limits first, even if no other gateway sent anything.
 *
 * @returns null when an endpoint may accept the request now
 */
export function estimateWaitMs (endpoints: readonly DirectEndpoint[], { getPermit, getLimit, waitingAhead, nowMs }: WaitInputs): number | null {
  const shortestMs = findShortestWaitMs(endpoints, getPermit, nowMs)
  let requestsPerSecond = 0
  for (const endpoint of endpoints) requestsPerSecond += Math.max(MIN_GRANTS_PER_SECOND, getLimit(endpoint) ?? Infinity)
  const queueMs = waitingAhead === 0 ? 0 : waitingAhead * MS_PER_SECOND / requestsPerSecond
  return queueMs > 0 ? Math.max(queueMs, shortestMs ?? 0) : shortestMs
}
