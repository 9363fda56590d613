import { BoundedMap } from '../base/boundedMap'
import { SENDS_WINDOW_MS } from './directEndpoint'

/** A gateway's request for permits to send to an endpoint that names a limit. */
export interface GrantRequest {
  gateway: string
  endpointId: string
  bornAtMs: number
  /** Requests per second that the endpoint accepts from all gateways together. */
  requestsPerSecond: number
  wanted: number
}

/** What the keeper of the limit knows about the fleet. */
export interface FleetState {
  /** Requests that all gateways sent to the endpoint under its limit in the last `SENDS_WINDOW_MS`, as far as reported. */
  recentSends: number
  /** Number of gateways in the fleet. */
  gateways: number
  /** Number of gateways for which this one keeps the limit; `askers` if it only stands in for the keeper, for those that ask it. */
  keptFor: number | 'askers'
}

export type GrantDecision =
  | { kind: 'granted', count: number, validMs: number }
  | { kind: 'denied', retryAfterMs: number }

interface GrantBucket {
  bornAtMs: number
  tokens: number
  filledAtMs: number
  /** Times until which denied gateways count as waiting, by their id. */
  waitingUntilMs: Map<string, number>
  /** Times at which gateways last asked, by their id. */
  askedAtMs: Map<string, number>
}

/** Milliseconds for which a permit is valid: the time of the answer and of a pass over the queue, on a busy machine. */
const PERMIT_VALID_MS = 300
/** Permits that may accumulate while nobody asks: some, so that a low limit is used, and seconds of the limit. */
const BURST_PERMITS = 1
const BURST_SECONDS = 0.5
/** Lowest rate of grants. At a limit of 0, an answer is still needed to learn that the limit has ended. */
export const MIN_GRANTS_PER_SECOND = 0.25
/** Requests for permits that the waiting gateways make together for each one that can be granted, so that it finds a taker. */
const ASKS_PER_PERMIT = 5
/** Maximum milliseconds that the waiting gateways add to the time after which one asks again. */
const MAX_WAITING_MS = 5000
/** Milliseconds for which a gateway counts as waiting after the time at which it may ask again. */
const RETURN_GRACE_MS = 500
/** Milliseconds for which a gateway counts as one for which a stand-in keeps the limit. Shorter than the time for which it avoids the keeper that did not answer, so that it counts at one stand-in at a time. */
const ASKER_MEMORY_MS = 1000
/** Milliseconds until some of the recent sends have left the window. */
const WINDOW_STEP_MS = 400
/** Maximum number of endpoints with grants. Protects against a flood; far above the endpoints that are in need at the same time. */
const MAX_LIMITED_ENDPOINTS = 4096
const MS_PER_SECOND = 1000

/**
 * Grants permits to send to endpoints that name a limit, at the gateway that keeps the limit for all.
 * The grants of one keeper stay within the limit by themselves. Sends under the grants of another keeper
 * show in the reports of the gateways; while they fill the limit, nothing is granted here.
 *
 * @example
 * const grants = new SendGrants()
 * grants.decide({ gateway: 'gateway-2', endpointId: 'engine-1', bornAtMs: 5, requestsPerSecond: 4.9, wanted: 1 }, { recentSends: 3, gateways: 4, keptFor: 4 }, nowMs)
 * // { kind: 'granted', count: 1, validMs: 300 }
 */
export class SendGrants {
  readonly #buckets = new BoundedMap<string, GrantBucket>(MAX_LIMITED_ENDPOINTS)

  decide (request: GrantRequest, fleet: FleetState, nowMs: number): GrantDecision {
    const limit = Math.max(MIN_GRANTS_PER_SECOND, request.requestsPerSecond)
    const bucket = this.#getBucket(request, nowMs)
    bucket.askedAtMs.set(request.gateway, nowMs)
    const share = computeShare(fleet, bucket, nowMs)
    const ratePerMs = limit * share / MS_PER_SECOND
    const burst = Math.max(1, (BURST_PERMITS + BURST_SECONDS * limit) * share)
    bucket.tokens = Math.min(burst, bucket.tokens + ratePerMs * Math.max(0, nowMs - bucket.filledAtMs))
    bucket.filledAtMs = nowMs
    const waiting = countWaiting(bucket, request.gateway, nowMs)
    const isFull = fleet.recentSends >= limit * SENDS_WINDOW_MS / MS_PER_SECOND + burst
    const count = Math.min(request.wanted, Math.max(1, Math.floor(bucket.tokens / (waiting + 1))))
    if (!isFull && bucket.tokens >= count) {
      bucket.tokens -= count
      bucket.waitingUntilMs.delete(request.gateway)
      return { kind: 'granted', count, validMs: PERMIT_VALID_MS }
    }
    const tokenWaitMs = Math.max(0, 1 - bucket.tokens) / ratePerMs
    const waitingMs = Math.min(MAX_WAITING_MS, waiting / (ASKS_PER_PERMIT * ratePerMs))
    const retryAfterMs = Math.max(isFull ? WINDOW_STEP_MS : 0, tokenWaitMs + waitingMs)
    bucket.waitingUntilMs.set(request.gateway, nowMs + retryAfterMs + RETURN_GRACE_MS)
    return { kind: 'denied', retryAfterMs }
  }

  #getBucket ({ endpointId, bornAtMs }: GrantRequest, nowMs: number): GrantBucket {
    const known = this.#buckets.get(endpointId)
    if (known?.bornAtMs === bornAtMs) return known
    // what other keepers granted just before is not known yet
    const created: GrantBucket = { bornAtMs, tokens: 0, filledAtMs: nowMs, waitingUntilMs: new Map(), askedAtMs: new Map() }
    this.#buckets.set(endpointId, created)
    return created
  }
}

/** Computes the fraction of the limit that this gateway may grant. */
function computeShare ({ gateways, keptFor }: FleetState, { askedAtMs }: GrantBucket, nowMs: number): number {
  for (const [id, atMs] of askedAtMs) if (nowMs - atMs > ASKER_MEMORY_MS) askedAtMs.delete(id)
  return Math.min(1, (keptFor === 'askers' ? askedAtMs.size : keptFor) / gateways)
}

/** Counts the other gateways that were denied and are expected to ask again. */
function countWaiting ({ waitingUntilMs }: GrantBucket, gateway: string, nowMs: number): number {
  for (const [id, untilMs] of waitingUntilMs) if (nowMs > untilMs) waitingUntilMs.delete(id)
  return waitingUntilMs.size - (waitingUntilMs.has(gateway) ? 1 : 0)
}
