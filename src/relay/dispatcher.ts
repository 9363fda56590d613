import { startWaiting } from '../policy/dispatchPass'
import { DispatchQueue } from '../policy/dispatchQueue'

import type { Clock } from '../base/clock'
import type { DirectChoice } from '../policy/directChooser'
import type { PassRequest } from '../policy/dispatchPass'

/** A request with the way to choose its endpoint, tried each time room may have come free. */
export interface DispatchRequest extends PassRequest {
  service: string
}

export interface DispatcherOptions {
  clock: Clock
}

interface ServiceQueue {
  queue: DispatchQueue<Waiting>
  passedAtMs: number
  /** Set while the next pass is due. */
  passTimer: NodeJS.Timeout | null
}

interface Waiting extends DispatchRequest {
  finish: (choice: DirectChoice | null) => void
}

/**
 * Least time between two passes over the queue of a service. Room comes free with each first event and
 * each end; a pass for each would take the whole processor of a small instance in a burst.
 */
const PASS_INTERVAL_MS = 5
const EXPIRY_INTERVAL_MS = 10

/**
 * Holds requests at the gateway until an endpoint is expected to start them, in the order of their
 * ranks, and binds each to its endpoint only then.
 */
export class Dispatcher {
  readonly #clock: Clock
  readonly #queues = new Map<string, ServiceQueue>()
  /** Runs only while something waits. */
  #timer: NodeJS.Timeout | null = null

  constructor (options: DispatcherOptions) {
    this.#clock = options.clock
  }

  /** Counts what waits for a service. */
  countWaiting (service: string): number {
    return this.#queues.get(service)?.queue.size ?? 0
  }

  listServices (): Array<{ service: string, waiting: number }> {
    return [...this.#queues].map(([service, { queue }]) => ({ service, waiting: queue.size }))
  }

  /** Waits for an endpoint with room; null when the time ran out or `signal` fired. */
  async wait (request: DispatchRequest, signal: AbortSignal): Promise<DirectChoice | null> {
    const opened = this.#openQueue(request.service)
    const { queue } = opened
    return await new Promise(resolve => {
      const handleAbort = () => {
        queue.remove(waiting)
        waiting.finish(null)
      }
      const waiting: Waiting = {
        ...request,
        finish: choice => {
          signal.removeEventListener('abort', handleAbort)
          resolve(choice)
        }
      }
      signal.addEventListener('abort', handleAbort, { once: true })
      const isFirst = queue.size === 0
      queue.add(waiting)
      if (isFirst) this.#runPass(opened)
      else this.notifyRoom(request.service)
      if (queue.size > 0) this.#timer ??= setTimeout(() => this.#expire(), EXPIRY_INTERVAL_MS)
    })
  }

  /** Starts what has room; call it whenever room may have come free. */
  notifyRoom (service: string): void {
    const opened = this.#queues.get(service)
    if (opened === undefined || opened.queue.size === 0 || opened.passTimer !== null) return
    const sinceMs = this.#clock.getMonotonicMs() - opened.passedAtMs
    if (sinceMs >= PASS_INTERVAL_MS) this.#runPass(opened)
    else opened.passTimer = setTimeout(() => this.#runPass(opened), PASS_INTERVAL_MS - sinceMs)
  }

  close (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    for (const { passTimer } of this.#queues.values()) if (passTimer !== null) clearTimeout(passTimer)
  }

  #runPass (opened: ServiceQueue): void {
    const { queue } = opened
    const nowMs = this.#clock.getMonotonicMs()
    if (opened.passTimer !== null) clearTimeout(opened.passTimer)
    opened.passTimer = null
    opened.passedAtMs = nowMs
    startWaiting(queue, nowMs, (waiting, choice) => waiting.finish(choice))
  }

  #expire (): void {
    this.#timer = null
    const nowMs = this.#clock.getMonotonicMs()
    for (const [service, { queue }] of this.#queues) {
      if (queue.size === 0) continue
      for (const waiting of queue.takeExpired(nowMs)) waiting.finish(null)
      this.notifyRoom(service)
      if (queue.size > 0) this.#timer ??= setTimeout(() => this.#expire(), EXPIRY_INTERVAL_MS)
    }
  }

  #openQueue (service: string): ServiceQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const opened: ServiceQueue = { queue: new DispatchQueue<Waiting>(), passedAtMs: -Infinity, passTimer: null }
    this.#queues.set(service, opened)
    return opened
  }
}
