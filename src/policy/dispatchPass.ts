import type { DirectChoice, QueuedTokens } from './directChooser'
import type { DispatchQueue, WaitingRequest } from './dispatchQueue'

/** A queued request with the function that chooses its endpoint. */
export interface DispatchCandidate extends WaitingRequest {
  /** Chooses the best endpoint for the request, given the requests queued ahead of the request. Returns null when no endpoint is left. */
  choose: (queuedTokens: QueuedTokens) => DirectChoice | null
  /** Reserves the endpoint in the same step as the choice, so that no other request uses its capacity. */
  reserve: (choice: DirectChoice) => void
}

/** Maximum number of requests tried in one pass. Bounds the cost of a pass over a long queue. */
const MAX_REQUESTS_PER_PASS = 100

/**
 * Starts the queued requests whose endpoint has capacity, in dispatch order. A request that still waits
 * for its endpoint counts against the capacity that later requests find there.
 *
 * @example
 * dispatchWaiting(queue, nowMs, (request, choice) => request.finish(choice))
 */
export function dispatchWaiting<Request extends DispatchCandidate> (queue: DispatchQueue<Request>, nowMs: number, handleStart: (request: Request, choice: DirectChoice) => void): void {
  const queuedTokens: QueuedTokens = new Map()
  for (const waiting of queue.listInOrder(nowMs).slice(0, MAX_REQUESTS_PER_PASS)) {
    const choice = waiting.choose(queuedTokens)
    if (choice === null) continue
    const { id } = choice.endpoint.entry
    if (!choice.hasCapacity) {
      queuedTokens.set(id, (queuedTokens.get(id) ?? 0) + choice.unreadTokens)
      continue
    }
    queue.recordStart(waiting)
    waiting.reserve(choice)
    handleStart(waiting, choice)
  }
}
