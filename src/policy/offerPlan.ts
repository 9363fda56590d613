import { rankEndpoints } from './endpointRanking'
import { IndexedHeap } from './indexedHeap'

import type { RankingRequest, RankingOptions } from './endpointRanking'
import type { EndpointView } from './endpointView'

/** The times of a request that bound its start. */
export interface RequestTimes {
  arrivedAtMs: number
  firstTokenDueMs: number
  deadlineMs: number
}

/** The next endpoint to offer a request to. */
export interface PlannedOffer {
  view: EndpointView
  offeredAtMs: number
  /** Milliseconds within which the endpoint must expect to start it, or refuse it at once. */
  startWithinMs: number
  /** Milliseconds until its first token, or after a loss its next one, is late. */
  firstTokenWithinMs: number
  round: OfferRound
}

/** First to start at once, then in time for the first token's target, then by the deadline. */
export type OfferRound = 'atOnce' | 'onTime' | 'late'

interface RefusedOffer {
  view: EndpointView
  /** Time at which the endpoint, when it refused, expected to start the request. */
  expectedStartMs: number
}

const IMMEDIATE_START_WITHIN_MS = 20
const MAX_IMMEDIATE_OFFERS = 4
const LATE_START_TARGET_FACTOR = 1.5
const MIN_LATE_START_MS = 3500
const FIRST_TOKEN_MARGIN_FACTOR = 1.3

/**
 * The order of offers for one request. It is first offered to start at once, to a few endpoints
 * in the order of the choice; each refusal tells when the endpoint would start it. Then it is
 * offered to wait where the start is expected soonest, if that is in time for the first token.
 * Endpoints whose load reports lie are so found out in a few milliseconds. Only when no endpoint
 * can start it in time is it offered to start late, within one and a half times its target or
 * three and a half seconds, whichever is more.
 *
 * @example
 * const plan = new OfferPlan(request, times, table.getViews(model), random, options)
 * for (let offer = plan.takeNext(nowMs); offer !== null; offer = plan.takeNext(nowMs)) {
 *   const refusal = await offerTo(offer.view, offer.startWithinMs)
 *   if (refusal === null) break
 *   plan.recordRefusal(offer, refusal.retryAfterMs, nowMs)
 * }
 */
export class OfferPlan {
  readonly #request: RankingRequest
  #times: RequestTimes
  #latestStartMs: number
  readonly #views: readonly EndpointView[]
  readonly #random: () => number
  readonly #options: RankingOptions
  readonly #onTimeCandidates = new IndexedHeap<RefusedOffer>((a, b) => a.expectedStartMs < b.expectedStartMs)
  readonly #lateCandidates = new IndexedHeap<RefusedOffer>((a, b) => a.expectedStartMs < b.expectedStartMs)
  #ranked: Generator<EndpointView, void, void> | undefined
  #immediateOffers = 0
  #retryAfterMs = Infinity

  constructor (request: RankingRequest, times: RequestTimes, views: readonly EndpointView[], random: () => number, options: RankingOptions) {
    this.#request = request
    this.#times = times
    this.#latestStartMs = computeLatestStartMs(times)
    this.#views = views
    this.#random = random
    this.#options = options
  }

  /** Gets the least milliseconds after which an endpoint that refused may accept, or Infinity when none said so. */
  getRetryAfterMs (): number {
    return this.#retryAfterMs
  }

  /** Takes the next offer to make, or null when every endpoint refused, or no time is left, and the request is to be shed. */
  selectNext (nowMs: number): PlannedOffer | null {
    if (nowMs >= this.#latestStartMs) return null
    if (this.#immediateOffers < MAX_IMMEDIATE_OFFERS || this.#onTimeCandidates.size === 0) {
      const view = this.#selectRanked(nowMs)
      if (view !== undefined) return this.#buildOffer(view, IMMEDIATE_START_WITHIN_MS, 'atOnce', nowMs)
    }
    const onTime = popFirst(this.#onTimeCandidates)
    if (onTime !== undefined) return this.#buildOffer(onTime.view, this.#computeOnTimeWaitMs(onTime.view, nowMs), 'onTime', nowMs)
    const late = popFirst(this.#lateCandidates)
    return late === undefined ? null : this.#buildOffer(late.view, this.#computeLateWaitMs(nowMs), 'late', nowMs)
  }

  /** Records that the endpoint of an offer could not start it in time, at once or after a wait, and may accept `retryAfterMs` later. */
  recordRefusal (offer: PlannedOffer, retryAfterMs: number, nowMs: number): void {
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs)
    const { view, round, offeredAtMs, startWithinMs } = offer
    const refusal = { view, expectedStartMs: Math.max(nowMs, offeredAtMs + startWithinMs) + retryAfterMs }
    const isOnTime = refusal.expectedStartMs <= nowMs + this.#computeOnTimeWaitMs(view, nowMs)
    if (round === 'atOnce' && isOnTime) this.#onTimeCandidates.add(refusal)
    else if (round !== 'late' && refusal.expectedStartMs <= nowMs + this.#computeLateWaitMs(nowMs)) this.#lateCandidates.add(refusal)
  }

  /**
   * Records that the request was displaced from the queue of the endpoint that had taken it. While
   * it can be on time all are asked anew; later it goes on where a late start was expected.
   */
  recordDisplacement (nowMs: number): void {
    if (nowMs < this.#latestStartMs) this.#reset()
  }

  /**
   * Records that the endpoint that ran the request was lost. All are asked anew to go on with the
   * answer, in time for its next token as if the request came now, and if need be until its deadline.
   */
  recordEndpointLost (nowMs: number): void {
    const { arrivedAtMs, firstTokenDueMs, deadlineMs } = this.#times
    this.#times = { arrivedAtMs: nowMs, firstTokenDueMs: nowMs + firstTokenDueMs - arrivedAtMs, deadlineMs }
    this.#latestStartMs = deadlineMs
    this.#reset()
  }

  #reset (): void {
    this.#ranked = undefined
    this.#immediateOffers = 0
    while (popFirst(this.#onTimeCandidates) !== undefined);
    while (popFirst(this.#lateCandidates) !== undefined);
  }

  #buildOffer (view: EndpointView, startWithinMs: number, round: OfferRound, nowMs: number): PlannedOffer {
    return { view, offeredAtMs: nowMs, startWithinMs, firstTokenWithinMs: this.#times.firstTokenDueMs - nowMs, round }
  }

  #selectRanked (nowMs: number): EndpointView | undefined {
    this.#ranked ??= rankEndpoints(this.#request, this.#views, nowMs, this.#random, this.#options)
    this.#immediateOffers += 1
    const next = this.#ranked.next()
    return next.done ? undefined : next.value
  }

  #computeOnTimeWaitMs (view: EndpointView, nowMs: number): number {
    return Math.max(0, this.#times.firstTokenDueMs - FIRST_TOKEN_MARGIN_FACTOR * view.firstTokenMs - nowMs)
  }

  #computeLateWaitMs (nowMs: number): number {
    return Math.max(0, this.#latestStartMs - nowMs)
  }
}

function computeLatestStartMs (times: RequestTimes): number {
  const targetMs = times.firstTokenDueMs - times.arrivedAtMs
  return Math.min(times.deadlineMs, times.arrivedAtMs + Math.max(MIN_LATE_START_MS, LATE_START_TARGET_FACTOR * targetMs))
}

function popFirst (heap: IndexedHeap<RefusedOffer>): RefusedOffer | undefined {
  const first = heap.getFirst()
  if (first !== undefined) heap.remove(first)
  return first
}
