import { rankEndpoints } from './endpointRanking'
import { IndexedHeap } from './indexedHeap'

import type { RankingRequest, RankingOptions } from './endpointRanking'
import type { EndpointView } from './endpointView'

/** Times of a request that bound its start. */
export interface RequestTimes {
  arrivedAtMs: number
  firstTokenDueMs: number
  deadlineMs: number
}

/** The next endpoint to offer a request to. */
export interface PlannedOffer {
  view: EndpointView
  offeredAtMs: number
  /** Milliseconds within which the endpoint must expect to start the request. Otherwise it refuses at once. */
  startWithinMs: number
  /** Milliseconds until the first token is late. After the loss of an endpoint, the next token counts. */
  firstTokenWithinMs: number
  round: OfferRound
}

/** Rounds of offers, in order: start at once, start in time for the first token's target, start late. */
export type OfferRound = 'atOnce' | 'onTime' | 'late'

interface RefusedOffer {
  view: EndpointView
  /** Time at which the endpoint expected to start the request when it refused. */
  expectedStartMs: number
}

const IMMEDIATE_START_WITHIN_MS = 20
const MAX_IMMEDIATE_OFFERS = 4
const LATE_START_TARGET_FACTOR = 1.5
const MIN_LATE_START_MS = 3500
const FIRST_TOKEN_MARGIN_FACTOR = 1.3

/**
 * Decides the order of offers for one request. The first round offers an immediate start to a few
 * endpoints in ranking order. Each refusal states when the endpoint expects to start the request.
 * The second round offers a queued start to the endpoint with the earliest expected start, if the
 * first token can still meet its target. The refusals expose endpoints with wrong load reports
 * within a few milliseconds. The third round accepts a late start, within 1.5 times the target or
 * 3.5 seconds, whichever is longer. It runs only if no endpoint can start the request in time.
 *
 * @example
 * const plan = new OfferPlan(request, times, table.getViews(model), random, options)
 * for (let offer = plan.selectNext(nowMs); offer !== null; offer = plan.selectNext(nowMs)) {
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

  /** Returns the shortest `retryAfterMs` of all refusals, or Infinity if there was none. */
  getRetryAfterMs (): number {
    return this.#retryAfterMs
  }

  /** Selects the next offer. Returns null if every endpoint refused or no time is left; the request must then be shed. */
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

  /** Records that the endpoint of an offer refused to start the request in time and may accept it after `retryAfterMs`. */
  recordRefusal (offer: PlannedOffer, retryAfterMs: number, nowMs: number): void {
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs)
    const { view, round, offeredAtMs, startWithinMs } = offer
    const refusal = { view, expectedStartMs: Math.max(nowMs, offeredAtMs + startWithinMs) + retryAfterMs }
    const isOnTime = refusal.expectedStartMs <= nowMs + this.#computeOnTimeWaitMs(view, nowMs)
    if (round === 'atOnce' && isOnTime) this.#onTimeCandidates.add(refusal)
    else if (round !== 'late' && refusal.expectedStartMs <= nowMs + this.#computeLateWaitMs(nowMs)) this.#lateCandidates.add(refusal)
  }

  /**
   * Records that the endpoint that had queued the request displaced it. All endpoints get new offers
   * until the latest start of the request. After that time no further offer is made.
   */
  recordDisplacement (nowMs: number): void {
    if (nowMs < this.#latestStartMs) this.#reset()
  }

  /**
   * Records the loss of the endpoint that ran the request. All endpoints get new offers to continue
   * the answer. The target for the next token counts from now, as for a new request. The request may
   * start until its deadline.
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
