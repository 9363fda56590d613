import { rankEndpoints } from './endpointChooser'

import type { ChoiceRequest, ChooserOptions } from './endpointChooser'
import type { EndpointView } from './endpointView'

/** The times of a request that bound its start. */
export interface RequestTimes {
  firstTokenDueMs: number
  deadlineMs: number
}

/** The next endpoint to offer a request to. */
export interface PlannedOffer {
  view: EndpointView
  /** Milliseconds within which the endpoint must expect to start it, or refuse it at once. */
  startWithinMs: number
  round: OfferRound
}

/** First to start in time for the first token's target, then, refused by all, by the deadline. */
export type OfferRound = 'onTime' | 'late'

interface LateCandidate {
  view: EndpointView
  /** Time at which the endpoint, when it refused, expected to start the request. */
  expectedStartMs: number
}

/**
 * The order of offers for one request. Every endpoint is first asked to start it in time for the
 * first token's target; an endpoint whose load reports lie then refuses, and the next is asked.
 * Only when all refused is it offered to wait longer, at the endpoint that expects to start it
 * soonest, and to no endpoint that said it could not start it before the deadline.
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
  readonly #times: RequestTimes
  readonly #views: readonly EndpointView[]
  readonly #random: () => number
  readonly #options: ChooserOptions
  #onTime: Generator<EndpointView, void, void> | undefined
  #late: LateCandidate[] = []
  #retryAfterMs = Infinity

  constructor (request: ChoiceRequest, times: RequestTimes, views: readonly EndpointView[], random: () => number, options: ChooserOptions) {
    this.#request = request
    this.#times = times
    this.#views = views
    this.#random = random
    this.#options = options
  }

  /** Gets the least milliseconds after which an endpoint that refused may accept, or Infinity when none said so. */
  getRetryAfterMs (): number {
    return this.#retryAfterMs
  }

  /** Takes the next offer to make, or null when every endpoint refused and the request is to be shed. */
  takeNext (nowMs: number): PlannedOffer | null {
    this.#onTime ??= rankEndpoints(this.#request, this.#views, nowMs, this.#random, this.#options)
    const next = this.#onTime.next()
    if (!next.done) return this.#buildOnTime(next.value, nowMs)
    const late = this.#late.shift()
    if (late === undefined) return null
    return { view: late.view, startWithinMs: Math.max(0, this.#times.deadlineMs - nowMs), round: 'late' }
  }

  /** Records that the endpoint of an offer could not start it in time and may accept after `retryAfterMs`. */
  recordRefusal (offer: PlannedOffer, retryAfterMs: number, nowMs: number): void {
    this.#retryAfterMs = Math.min(this.#retryAfterMs, retryAfterMs)
    const expectedStartMs = nowMs + offer.startWithinMs + retryAfterMs
    if (offer.round === 'late' || expectedStartMs > this.#times.deadlineMs) return
    this.#late.push({ view: offer.view, expectedStartMs })
    this.#late.sort((a, b) => a.expectedStartMs - b.expectedStartMs)
  }

  /** Resets the plan after an accepted request was displaced, or its endpoint was lost, so that all are asked anew. */
  reset (): void {
    this.#onTime = undefined
    this.#late = []
  }

  #buildOnTime (view: EndpointView, nowMs: number): PlannedOffer {
    const startWithinMs = Math.max(0, this.#times.firstTokenDueMs - view.firstTokenMs - nowMs)
    return { view, startWithinMs, round: 'onTime' }
  }
}
