import { rankEndpoints } from './endpointChooser'
import { IndexedHeap } from './indexedHeap'

import type { ChoiceRequest, ChooserOptions } from './endpointChooser'
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
  /** Milliseconds within which the endpoint must expect to start it, or refuse it at once. */
  startWithinMs: number
  /** Milliseconds until its first token, or after a loss its next one, is late. */
  firstTokenWithinMs: number
  round: OfferRound
}

/** First to start at once, then in time for the first token's target, then by the deadline. */
export type OfferRound = 'atOnce' | 'onTime' | 'late'

interface Refusal {
  view: EndpointView
  /** Time at which the endpoint, when it refused, expected to start the request. */
  expectedStartMs: number
}

const AT_ONCE_MS = 20
const OFFERS_AT_ONCE = 4
const LATE_FACTOR = 1.5
const MIN_LATE_MS = 3500
const FIRST_TOKEN_MARGIN = 1.3

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
  readonly #request: ChoiceRequest
  #times: RequestTimes
  #latestStartMs: number
  readonly #views: readonly EndpointView[]
  readonly #random: () => number
  readonly #options: ChooserOptions
  readonly #waiting = new IndexedHeap<Refusal>((a, b) => a.expectedStartMs < b.expectedStartMs)
  readonly #late = new IndexedHeap<Refusal>((a, b) => a.expectedStartMs < b.expectedStartMs)
  #ranked: Generator<EndpointView, void, void> | undefined
  #offersAtOnce = 0
  #retryAfterMs = Infinity

  constructor (request: ChoiceRequest, times: RequestTimes, views: readonly EndpointView[], random: () => number, options: ChooserOptions) {
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
  takeNext (nowMs: number): PlannedOffer | null {
    if (nowMs >= this.#latestStartMs) return null
    if (this.#offersAtOnce < OFFERS_AT_ONCE || this.#waiting.size === 0) {
      const view = this.#takeRanked(nowMs)
      if (view !== undefined) return this.#buildOffer(view, AT_ONCE_MS, 'atOnce', nowMs)
    }
    const waiting = takeFirst(this.#waiting)
    if (waiting !== undefined) return this.#buildOffer(waiting.view, this.#getOnTimeMs(waiting.view, nowMs), 'onTime', nowMs)
    const late = takeFirst(this.#late)
    return late === undefined ? null : this.#buildOffer(late.view, this.#getLateMs(nowMs), 'late', nowMs)
  }

  /** Records that the endpoint of an offer could not start it in time and may accept after `retryAfterMs`. */
  recordRefusal (offer: PlannedOffer, retryAfterMs: number, nowMs: number): void {
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs)
    const { view, round, startWithinMs } = offer
    const refusal = { view, expectedStartMs: nowMs + startWithinMs + retryAfterMs }
    const isOnTime = refusal.expectedStartMs <= nowMs + this.#getOnTimeMs(view, nowMs)
    if (round === 'atOnce' && isOnTime) this.#waiting.add(refusal)
    else if (round !== 'late' && refusal.expectedStartMs <= nowMs + this.#getLateMs(nowMs)) this.#late.add(refusal)
  }

  /**
   * Records that the request was displaced from the queue of the endpoint that had taken it. While
   * it can be on time all are asked anew; later it goes on where a late start was expected.
   */
  recordDisplaced (nowMs: number): void {
    if (nowMs < this.#latestStartMs) this.#reset()
  }

  /**
   * Records that the endpoint that ran the request was lost. All are asked anew to go on with the
   * answer, in time for its next token as if the request came now, and if need be until its deadline.
   */
  recordLost (nowMs: number): void {
    const { arrivedAtMs, firstTokenDueMs, deadlineMs } = this.#times
    this.#times = { arrivedAtMs: nowMs, firstTokenDueMs: nowMs + firstTokenDueMs - arrivedAtMs, deadlineMs }
    this.#latestStartMs = deadlineMs
    this.#reset()
  }

  #reset (): void {
    this.#ranked = undefined
    this.#offersAtOnce = 0
    while (takeFirst(this.#waiting) !== undefined);
    while (takeFirst(this.#late) !== undefined);
  }

  #buildOffer (view: EndpointView, startWithinMs: number, round: OfferRound, nowMs: number): PlannedOffer {
    return { view, startWithinMs, firstTokenWithinMs: this.#times.firstTokenDueMs - nowMs, round }
  }

  #takeRanked (nowMs: number): EndpointView | undefined {
    this.#ranked ??= rankEndpoints(this.#request, this.#views, nowMs, this.#random, this.#options)
    this.#offersAtOnce += 1
    const next = this.#ranked.next()
    return next.done ? undefined : next.value
  }

  #getOnTimeMs (view: EndpointView, nowMs: number): number {
    return Math.max(0, this.#times.firstTokenDueMs - FIRST_TOKEN_MARGIN * view.firstTokenMs - nowMs)
  }

  #getLateMs (nowMs: number): number {
    return Math.max(0, this.#latestStartMs - nowMs)
  }
}

function computeLatestStartMs (times: RequestTimes): number {
  const targetMs = times.firstTokenDueMs - times.arrivedAtMs
  return Math.min(times.deadlineMs, times.arrivedAtMs + Math.max(MIN_LATE_MS, LATE_FACTOR * targetMs))
}

function takeFirst (heap: IndexedHeap<Refusal>): Refusal | undefined {
  const first = heap.getFirst()
  if (first !== undefined) heap.remove(first)
  return first
}
