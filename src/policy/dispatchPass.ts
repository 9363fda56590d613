import type { DirectChoice, PlannedTokens } from './directChooser'
import type { DispatchQueue, WaitingRequest } from './dispatchQueue'

/** A queued request with the function that chooses its endpoint. */
export interface PassRequest extends WaitingRequest {
  /** Chooses the best endpoint, given the requests queued ahead of it. Returns null when no endpoint is left. */
  choose: (planned: PlannedTokens) => DirectChoice | null
  /** Reserves the endpoint in the same step as the choice, so that no other request uses its capacity. */
  take: (choice: DirectChoice) => void
}

/** Maximum number of requests tried in one pass. Bounds the cost of a pass over a long queue. */
const MAX_TRIED = 100

/**
 * Starts the queued requests whose endpoint has capacity, in dispatch order. A request that still waits
 * for its endpoint counts against the capacity that later requests find there.
 *
 * @example
 * dispatchWaiting(queue, nowMs, (request, choice) => request.finish(choice))
 */
export function startWaiting<Request extends PassRequest> (queue: DispatchQueue<Request>, nowMs: number, handleStart: (request: Request, choice: DirectChoice) => void): void {
  const planned: PlannedTokens = new Map()
  for (const waiting of queue.listInOrder(nowMs).slice(0, MAX_TRIED)) {
    const choice = waiting.choose(planned)
    if (choice === null) continue
    const { id } = choice.endpoint.entry
    if (!choice.hasRoom) {
      planned.set(id, (planned.get(id) ?? 0) + choice.unreadTokens)
      continue
    }
    queue.recordStart(waiting)
    waiting.take(choice)
    handleStart(waiting, choice)
  }
}
