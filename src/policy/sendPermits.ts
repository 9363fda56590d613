import { BoundedMap } from '../base/boundedMap'
import { computeElapsedMs } from '../base/clockReading'
import { SENDS_WINDOW_MS } from './directEndpoint'
import { SlidingWindowCounter } from './slidingWindowCounter'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'
import type { EndpointEntry } from './directEndpoint'
import type { LimitNotices } from './limitNotices'
import type { GrantDecision } from './sendGrants'

/** Whether this gateway may send a request to an endpoint now. */
export type PermitState =
  /** The endpoint names no limit. */
  | { kind: 'unlimited' }
  | { kind: 'granted' }
  /** A permit has to be requested, or was requested at `askedAtMs`. */
  | { kind: 'missing', askedAtMs: number | null }
  | { kind: 'denied', untilMs: number }

/** One start of an endpoint. */
type EndpointStart = Pick<EndpointEntry, 'id' | 'bornAtMs'>

interface EndpointPermits {
  bornAtMs: number
  requestsPerSecond: number
  permits: number
  /** Milliseconds for which the permits are valid, counted from `grantedAt`. */
  validMs: number
  grantedAt: ClockReading
  askedAtMs: number | null
  deniedUntilMs: number
  /** Sends under the limit, since it last fell. */
  sends: SlidingWindowCounter
}

export const UNLIMITED: PermitState = { kind: 'unlimited' }
/** Maximum number of endpoints with permits. Protects against a flood; far above the endpoints that are in need at the same time. */
const MAX_LIMITED_ENDPOINTS = 4096
const NEVER: ClockReading = { monotonicMs: -Infinity, wallMs: -Infinity }

/**
 * Holds the permits of one gateway to send requests to endpoints that name a limit. Each send, first or
 * repeated, takes one. A permit that is not used soon expires.
 *
 * @example
 * const permits = new SendPermits({ clock, notices })
 * permits.getState(entry) // { kind: 'missing', askedAtMs: null }
 * permits.recordAnswer(entry, { kind: 'granted', count: 1, validMs: 300 }, askedAt)
 * permits.take(entry)
 */
export class SendPermits {
  readonly #clock: Clock
  readonly #notices: LimitNotices
  readonly #byId = new BoundedMap<string, EndpointPermits>(MAX_LIMITED_ENDPOINTS)

  constructor (options: { clock: Clock, notices: LimitNotices }) {
    this.#clock = options.clock
    this.#notices = options.notices
  }

  getState (entry: EndpointStart): PermitState {
    const known = this.#find(entry)
    if (known === null) return UNLIMITED
    if (hasPermit(known, this.#clock)) return { kind: 'granted' }
    if (this.#clock.getMonotonicMs() < known.deniedUntilMs) return { kind: 'denied', untilMs: known.deniedUntilMs }
    return { kind: 'missing', askedAtMs: known.askedAtMs }
  }

  /** Takes a permit for a request that is about to be sent. */
  take (entry: EndpointStart): void {
    const known = this.#find(entry)
    if (known === null) return
    known.permits = Math.max(0, known.permits - 1)
    known.sends.add(this.#clock.getMonotonicMs())
  }

  /** Returns the requests sent to the endpoint under its limit in the last `SENDS_WINDOW_MS`. */
  getRecentSends (entry: EndpointStart): number {
    return this.#find(entry)?.sends.getCount(this.#clock.getMonotonicMs()) ?? 0
  }

  /**
   * Records that permits are being requested.
   *
   * @returns false when there is no need to: the endpoint names no limit, a request is under way, or the last one was denied
   */
  startAsking (entry: EndpointStart): boolean {
    const known = this.#find(entry)
    const state = this.getState(entry)
    if (known === null || state.kind !== 'missing' || state.askedAtMs !== null) return false
    known.askedAtMs = this.#clock.getMonotonicMs()
    return true
  }

  /** Records the answer to a request for permits that was sent at `askedAt`. Permits count from then on, however late the answer is. */
  recordAnswer (entry: EndpointStart, answer: GrantDecision, askedAt: ClockReading): void {
    const known = this.#find(entry)
    if (known === null) return
    known.askedAtMs = null
    switch (answer.kind) {
      case 'granted':
        Object.assign(known, { permits: answer.count, validMs: answer.validMs, grantedAt: askedAt })
        return
      case 'denied':
        known.deniedUntilMs = this.#clock.getMonotonicMs() + answer.retryAfterMs
    }
  }

  /** Finds the permits under the limit in force; null when the endpoint names no limit. */
  #find ({ id, bornAtMs }: EndpointStart): EndpointPermits | null {
    // read for each endpoint of each choice
    if (this.#notices.isEmpty) return null
    const notice = this.#notices.get(id, bornAtMs)
    if (notice === null || notice.requestsPerSecond === null) {
      this.#byId.delete(id)
      return null
    }
    const known = this.#byId.get(id)
    if (known?.bornAtMs === bornAtMs) return applyLimit(known, notice.requestsPerSecond)
    const created: EndpointPermits = { bornAtMs, requestsPerSecond: notice.requestsPerSecond, permits: 0, validMs: 0, grantedAt: NEVER, askedAtMs: null, deniedUntilMs: -Infinity, sends: new SlidingWindowCounter(SENDS_WINDOW_MS) }
    this.#byId.set(id, created)
    return created
  }
}

/** Applies another limit of the same start. What was granted under a higher limit and denied under a lower one no longer counts. */
function applyLimit (known: EndpointPermits, requestsPerSecond: number): EndpointPermits {
  if (requestsPerSecond < known.requestsPerSecond) {
    known.permits = 0
    known.sends = new SlidingWindowCounter(SENDS_WINDOW_MS)
  }
  if (requestsPerSecond > known.requestsPerSecond) known.deniedUntilMs = -Infinity
  known.requestsPerSecond = requestsPerSecond
  return known
}

function hasPermit ({ permits, validMs, grantedAt }: EndpointPermits, clock: Clock): boolean {
  return permits > 0 && computeElapsedMs(grantedAt, clock) < validMs
}
