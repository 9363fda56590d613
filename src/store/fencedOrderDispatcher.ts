import { systemClock } from '../base/clock'
import { Progress } from '../base/progress'

import { Backoff, addJitter } from './backoff'
import { BackgroundTask } from './backgroundTask'
import { listOrders } from './orderPlan'

import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { Endpoint } from '../config/fleetConfig'
import type { Lease, HeldLease } from './lease'
import type { EndpointOrder, EndpointPlacement } from './orderPlan'

/** An order and the fencing number of the lease that covers it. */
export interface FencedOrder {
  fencingNumber: number
  order: EndpointOrder
}

/** Why an order was not confirmed. */
export type OrderError =
  /** The endpoint has seen a higher fencing number. */
  | { kind: 'staleFencingNumber', current: number }
  /** The endpoint refused the order, or could not be reached. */
  | { kind: 'refused', message: string }
  /** The order was sent, but no response arrived; it may still be executed. */
  | { kind: 'noAnswer', message: string }

/** Sends one order to the endpoint within the deadline of `progress`. */
export type SendOrder = (order: FencedOrder, progress: Progress) => Promise<Result<EndpointPlacement, OrderError>>

export interface FencedOrderDispatcherOptions {
  lease: Lease
  sendOrder: SendOrder
  clock?: Clock
  getRandom?: () => number
  /** Milliseconds to wait for the response to an order. The lease must be held at least that long. */
  orderTimeoutMs?: number
  /** Returns whether a model may be unloaded now, for example because no request runs on it. */
  canUnload?: (model: string) => boolean
  onError?: (error: unknown) => void
}

/** State of the dispatcher, for the state dump. */
export interface FencedOrderDispatcherStatus {
  placement: EndpointPlacement | null
  pendingOrders: EndpointOrder[]
  /** Number of consecutive failed orders. `lastError` is the reason of the last one. */
  failures: number
  lastError: string | null
}

/** Whether an order may still be in flight after the dispatcher has stopped. */
export type OrderStopOutcome = 'settled' | 'uncertain'

const DEFAULT_ORDER_TIMEOUT_MS = 5_000
const LEASE_POLL_MS = 500
const PLACEMENT_CHECK_PERIOD_MS = 30_000
const BACKOFF_BASE_MS = 200
const BACKOFF_CAP_MS = 60_000
const UNLOAD_RETRY_MS = 500

/**
 * Brings one endpoint to its desired placement with orders under a lease. It sends an order only
 * while the lease is held for at least the order's timeout. For an endpoint that ignores fencing
 * numbers, the first order also waits until no order of an earlier holder can be in flight, and the
 * dispatcher re-checks the lease after each order.
 *
 * @example
 * const dispatcher = new FencedOrderDispatcher({ lease, sendOrder })
 * dispatcher.setDesired(config.endpoints.get('engine-1') ?? null)
 * dispatcher.start()
 */
export class FencedOrderDispatcher {
  readonly #options: FencedOrderDispatcherOptions
  readonly #clock: Clock
  readonly #orderTimeoutMs: number
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  readonly #stopLeaseWatch: () => void
  #desired: Endpoint | null = null
  #placement: EndpointPlacement | null = null
  #confirmedAtMs = -Infinity
  #lastUnansweredAtMs = -Infinity
  #failures = 0
  #lastError: string | null = null

  constructor (options: FencedOrderDispatcherOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#orderTimeoutMs = options.orderTimeoutMs ?? DEFAULT_ORDER_TIMEOUT_MS
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom: options.getRandom })
    this.#task = new BackgroundTask({ runStep: async () => await this.#runStep(), onError: options.onError })
    this.#stopLeaseWatch = options.lease.watch(() => this.reset())
  }

  start (): void {
    this.#task.start()
  }

  /** Sets the desired state of the endpoint; null when the configuration does not contain the endpoint. */
  setDesired (desired: Endpoint | null): void {
    this.#desired = desired
    this.#backoff.reset()
    this.#task.notify()
  }

  /** Discards the known placement, for example after the endpoint was restarted. */
  reset (): void {
    this.#placement = null
    this.#backoff.reset()
    this.#task.notify()
  }

  getStatus (): FencedOrderDispatcherStatus {
    return {
      placement: this.#placement,
      pendingOrders: this.#desired === null ? [] : listOrders(this.#placement, this.#desired),
      failures: this.#failures,
      lastError: this.#lastError
    }
  }

  /**
   * Waits for the order in flight, then stops. After `uncertain` the lease must lapse and must not be
   * released.
   */
  async stop (): Promise<OrderStopOutcome> {
    this.#stopLeaseWatch()
    await this.#task.stop()
    const sinceMs = this.#clock.getMonotonicMs() - this.#lastUnansweredAtMs
    return sinceMs < this.#options.lease.getTakeoverWaitMs() ? 'uncertain' : 'settled'
  }

  async #runStep (): Promise<number> {
    const desired = this.#desired
    if (desired === null || desired.kind === 'service') return PLACEMENT_CHECK_PERIOD_MS
    const nowMs = this.#clock.getMonotonicMs()
    if (nowMs - this.#confirmedAtMs >= PLACEMENT_CHECK_PERIOD_MS) this.#placement = null
    const order = this.#chooseOrder(desired)
    if (order === undefined) return this.#getIdleDelayMs(desired)
    const holding = this.#options.lease.getHolding()
    if (holding === null || !this.#options.lease.isHeld(this.#orderTimeoutMs)) return LEASE_POLL_MS
    const waitMs = this.#getTakeoverWaitMs(desired, holding)
    if (waitMs > 0) return waitMs
    return await this.#send({ fencingNumber: holding.fencingNumber, order }, desired)
  }

  #chooseOrder (desired: Endpoint): EndpointOrder | undefined {
    const canUnload = this.#options.canUnload ?? (() => true)
    return listOrders(this.#placement, desired).find(order => order.kind !== 'unloadModel' || canUnload(order.model))
  }

  #getIdleDelayMs (desired: Endpoint): number {
    const waitsForUnload = listOrders(this.#placement, desired).length > 0
    return waitsForUnload ? UNLOAD_RETRY_MS : addJitter(PLACEMENT_CHECK_PERIOD_MS, this.#options.getRandom ?? Math.random)
  }

  /** Returns the milliseconds until no order of an earlier holder can reach an endpoint that ignores fencing numbers. */
  #getTakeoverWaitMs (desired: Endpoint, holding: HeldLease): number {
    if (desired.checksFencing || holding.predecessor !== 'lapsed') return 0
    return holding.acquiredAtMs + this.#options.lease.getTakeoverWaitMs() - this.#clock.getMonotonicMs()
  }

  async #send (fenced: FencedOrder, desired: Endpoint): Promise<number> {
    const progress = new Progress({ title: `sending the order ${fenced.order.kind}`, timeoutMs: this.#orderTimeoutMs, clock: this.#clock })
    const result = await this.#options.sendOrder(fenced, progress)
    if (result.isErr) return this.#handleFailure(result.error)
    if (hasNoEffect(fenced.order, result.value, desired)) {
      return this.#handleFailure({ kind: 'refused', message: `${fenced.order.kind} had no effect` })
    }
    this.#recordSuccess(result.value)
    const isStillHeld = this.#options.lease.getHolding()?.fencingNumber === fenced.fencingNumber
    if (!desired.checksFencing && !isStillHeld) this.#placement = null
    return 0
  }

  #recordSuccess (placement: EndpointPlacement): void {
    this.#placement = placement
    this.#confirmedAtMs = this.#clock.getMonotonicMs()
    this.#failures = 0
    this.#lastError = null
    this.#backoff.reset()
  }

  #handleFailure (error: OrderError): number {
    this.#placement = null
    this.#failures += 1
    this.#lastError = describeOrderError(error)
    if (error.kind === 'noAnswer') this.#lastUnansweredAtMs = this.#clock.getMonotonicMs()
    return this.#backoff.advance()
  }
}

/** Returns whether the placement still calls for the same order, which would be sent again at once. */
function hasNoEffect (order: EndpointOrder, placement: EndpointPlacement, desired: Endpoint): boolean {
  return listOrders(placement, desired).some(next => JSON.stringify(next) === JSON.stringify(order))
}

function describeOrderError (error: OrderError): string {
  switch (error.kind) {
    case 'staleFencingNumber': return `the endpoint has seen the higher fencing number ${error.current}; another process controls it`
    case 'refused': return `the endpoint refused the order: ${error.message}`
    case 'noAnswer': return `the endpoint did not respond to the order: ${error.message}`
  }
}
