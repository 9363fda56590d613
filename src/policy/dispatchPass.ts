import type { DirectChoice, PlannedTokens } from './directChooser'
import type { DispatchQueue, WaitingRequest } from './dispatchQueue'

/** A waiting request with the way to choose its endpoint. */
export interface PassRequest extends WaitingRequest {
  /** Chooses the endpoint that suits the request best, given what waits before it; null when none is left. */
  choose: (planned: PlannedTokens) => DirectChoice | null
  /** Takes the endpoint, in the same step as it is chosen, so that nothing else takes its room. */
  take: (choice: DirectChoice) => void
}

/** Requests tried at most in one pass, to bound its cost in a long queue. */
const MAX_TRIED = 100

/**
 * Starts the waiting requests for which an endpoint has room, in the order in which they go. One that
 * waits for its endpoint keeps the room there before those that come after it.
 *
 * @example
 * startWaiting(queue, nowMs, (request, choice) => request.finish(choice))
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
