import { dispatchWaiting } from '../policy/dispatchPass'
import { DispatchQueue } from '../policy/dispatchQueue'

import type { Clock } from '../base/clock'
import type { DirectChoice } from '../policy/directChooser'
import type { DispatchCandidate } from '../policy/dispatchPass'
import type { DemandEntry } from '../policy/workspaceDemand'
import type { PeerDemands, ShareRequest, ShareStanding } from '../policy/workspaceShares'

/** A request for an endpoint of a service; `choose` is called whenever capacity may have become free. */
export interface DispatchRequest extends DispatchCandidate {
  service: string
}

export interface DispatcherOptions {
  clock: Clock
  /** Returns what the workspaces received and wait for at the peer gateways, in a rank of a service; none by default. */
  getPeerDemands?: (service: string, rank: number) => PeerDemands
}

interface ServiceQueue {
  queue: DispatchQueue<QueuedRequest>
  lastPassAtMs: number
  /** Set while the next pass is scheduled. */
  passTimer: NodeJS.Timeout | null
}

interface QueuedRequest extends DispatchRequest {
  finish: (choice: DirectChoice | null) => void
}

/**
 * Minimum milliseconds between two passes over the queue of a service. Each first event and each end
 * of a request frees capacity; in a burst, a pass for each would use the whole processor of a small instance.
 */
const MIN_PASS_INTERVAL_MS = 5
const EXPIRY_CHECK_INTERVAL_MS = 10

/**
 * Queues requests at the gateway in the order of their ranks. Assigns a request to an endpoint only
 * when that endpoint is expected to start it.
 */
export class Dispatcher {
  readonly #clock: Clock
  readonly #getPeerDemands: NonNullable<DispatcherOptions['getPeerDemands']>
  readonly #queues = new Map<string, ServiceQueue>()
  /** Set only while requests are queued. */
  #expiryTimer: NodeJS.Timeout | null = null

  constructor (options: DispatcherOptions) {
    this.#clock = options.clock
    this.#getPeerDemands = options.getPeerDemands ?? (() => new Map())
  }

  /** Counts the requests queued for a service. */
  countWaiting (service: string): number {
    return this.#queues.get(service)?.queue.size ?? 0
  }

  /** Counts the requests queued for a service that go before a new one of `rank`. */
  countAhead (service: string, rank: number): number {
    return this.#queues.get(service)?.queue.countUpToRank(rank) ?? 0
  }

  listServices (): Array<{ service: string, waiting: number }> {
    return [...this.#queues].map(([service, { queue }]) => ({ service, waiting: queue.size }))
  }

  /** Lists what the workspaces received lately and wait for, where requests wait here or at peers. */
  listDemands (): DemandEntry[] {
    const nowMs = this.#clock.getMonotonicMs()
    return [...this.#queues].flatMap(([service, { queue }]) => queue.listDemands(nowMs).map(demand => ({ service, ...demand })))
  }

  /** Describes where the workspace of a request stands against its share; null when no other one competes with it here. */
  describeShare (request: ShareRequest & { service: string, rank: number }): ShareStanding | null {
    return this.#queues.get(request.service)?.queue.describeShare(request, this.#clock.getMonotonicMs()) ?? null
  }

  /** Waits for an endpoint with capacity. Returns null when the request expires or `signal` aborts. */
  async wait (request: DispatchRequest, signal: AbortSignal): Promise<DirectChoice | null> {
    const serviceQueue = this.#getQueue(request.service)
    const { queue } = serviceQueue
    return await new Promise(resolve => {
      const handleAbort = () => {
        queue.remove(queued)
        queued.finish(null)
      }
      const queued: QueuedRequest = {
        ...request,
        finish: choice => {
          signal.removeEventListener('abort', handleAbort)
          resolve(choice)
        }
      }
      signal.addEventListener('abort', handleAbort, { once: true })
      const isFirst = queue.size === 0
      queue.add(queued, this.#clock.getMonotonicMs())
      if (isFirst) this.#runPass(serviceQueue)
      else this.notifyCapacity(request.service)
      if (queue.size > 0) this.#expiryTimer ??= setTimeout(() => this.#expire(), EXPIRY_CHECK_INTERVAL_MS)
    })
  }

  /** Dispatches the queued requests that fit. Call it whenever capacity may have become free. */
  notifyCapacity (service: string): void {
    const serviceQueue = this.#queues.get(service)
    if (serviceQueue === undefined || serviceQueue.queue.size === 0 || serviceQueue.passTimer !== null) return
    const elapsedMs = this.#clock.getMonotonicMs() - serviceQueue.lastPassAtMs
    if (elapsedMs >= MIN_PASS_INTERVAL_MS) this.#runPass(serviceQueue)
    else serviceQueue.passTimer = setTimeout(() => this.#runPass(serviceQueue), MIN_PASS_INTERVAL_MS - elapsedMs)
  }

  /** Ends the wait of all queued requests without an endpoint, so that they are refused. */
  refuseAll (): void {
    for (const { queue } of this.#queues.values()) {
      for (const queued of queue.removeExpired(Infinity)) queued.finish(null)
    }
  }

  close (): void {
    if (this.#expiryTimer !== null) clearTimeout(this.#expiryTimer)
    for (const { passTimer } of this.#queues.values()) if (passTimer !== null) clearTimeout(passTimer)
  }

  #runPass (serviceQueue: ServiceQueue): void {
    const { queue } = serviceQueue
    const nowMs = this.#clock.getMonotonicMs()
    if (serviceQueue.passTimer !== null) clearTimeout(serviceQueue.passTimer)
    serviceQueue.passTimer = null
    serviceQueue.lastPassAtMs = nowMs
    dispatchWaiting(queue, nowMs, (queued, choice) => queued.finish(choice))
  }

  #expire (): void {
    this.#expiryTimer = null
    const nowMs = this.#clock.getMonotonicMs()
    for (const [service, { queue }] of this.#queues) {
      if (queue.size === 0) continue
      for (const expired of queue.removeExpired(nowMs)) expired.finish(null)
      this.notifyCapacity(service)
      if (queue.size > 0) this.#expiryTimer ??= setTimeout(() => this.#expire(), EXPIRY_CHECK_INTERVAL_MS)
    }
  }

  #getQueue (service: string): ServiceQueue {
    const existing = this.#queues.get(service)
    if (existing !== undefined) return existing
    const created: ServiceQueue = { queue: new DispatchQueue<QueuedRequest>(rank => this.#getPeerDemands(service, rank)), lastPassAtMs: -Infinity, passTimer: null }
    this.#queues.set(service, created)
    return created
  }
}
