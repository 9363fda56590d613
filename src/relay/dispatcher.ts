import { DispatchQueue } from '../policy/dispatchQueue'

import type { Clock } from '../base/clock'
import type { DirectChoice, PlannedTokens } from '../policy/directChooser'
import type { WaitingRequest } from '../policy/dispatchQueue'

/** A request with the way to choose its endpoint, tried each time room may have come free. */
export interface DispatchRequest extends WaitingRequest {
  service: string
  /** Chooses the endpoint that suits the request best, given what waits before it; null when none is left. */
  choose: (planned: PlannedTokens) => DirectChoice | null
  /** Takes the endpoint, in the same step as it is chosen, so that nothing else takes its room. */
  take: (choice: DirectChoice) => void
}

export interface DispatcherOptions {
  clock: Clock
}

interface Waiting extends DispatchRequest {
  finish: (choice: DirectChoice | null) => void
}

/** Requests tried at most each time room may have come free, to bound its cost in a long queue. */
const MAX_TRIED = 100
const EXPIRY_INTERVAL_MS = 10

/**
 * Holds requests at the gateway until an endpoint is expected to start them, in the order of their
 * ranks, and binds each to its endpoint only then.
 */
export class Dispatcher {
  readonly #clock: Clock
  readonly #queues = new Map<string, DispatchQueue<Waiting>>()
  /** Runs only while something waits. */
  #timer: NodeJS.Timeout | null = null

  constructor (options: DispatcherOptions) {
    this.#clock = options.clock
  }

  /** Counts what waits for a service. */
  countWaiting (service: string): number {
    return this.#queues.get(service)?.size ?? 0
  }

  listServices (): Array<{ service: string, waiting: number }> {
    return [...this.#queues].map(([service, queue]) => ({ service, waiting: queue.size }))
  }

  /** Waits for an endpoint with room; null when the time ran out or `signal` fired. */
  async wait (request: DispatchRequest, signal: AbortSignal): Promise<DirectChoice | null> {
    const queue = this.#openQueue(request.service)
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
      queue.add(waiting)
      this.notifyRoom(request.service)
      if (queue.size > 0) this.#timer ??= setTimeout(() => this.#expire(), EXPIRY_INTERVAL_MS)
    })
  }

  /** Starts what has room now; call it whenever room may have come free. */
  notifyRoom (service: string): void {
    const queue = this.#queues.get(service)
    if (queue === undefined || queue.size === 0) return
    const planned: PlannedTokens = new Map()
    for (const waiting of queue.listInOrder(this.#clock.getMonotonicMs()).slice(0, MAX_TRIED)) {
      const choice = waiting.choose(planned)
      if (choice === null) continue
      const { id } = choice.endpoint.entry
      if (!choice.hasRoom) {
        planned.set(id, (planned.get(id) ?? 0) + choice.unreadTokens)
        continue
      }
      queue.recordStart(waiting)
      waiting.take(choice)
      waiting.finish(choice)
    }
  }

  close (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #expire (): void {
    this.#timer = null
    const nowMs = this.#clock.getMonotonicMs()
    for (const [service, queue] of this.#queues) {
      if (queue.size === 0) continue
      for (const waiting of queue.takeExpired(nowMs)) waiting.finish(null)
      this.notifyRoom(service)
      if (queue.size > 0) this.#timer ??= setTimeout(() => this.#expire(), EXPIRY_INTERVAL_MS)
    }
  }

  #openQueue (service: string): DispatchQueue<Waiting> {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const opened = new DispatchQueue<Waiting>()
    this.#queues.set(service, opened)
    return opened
  }
}
