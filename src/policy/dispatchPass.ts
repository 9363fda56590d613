import type { DirectChoice, QueuedTokens } from './directChooser'
import type { DispatchQueue, WaitingRequest } from './dispatchQueue'
import type { ShareStanding } from './workspaceShares'

/** A queued request with the function that chooses its endpoint. */
export interface DispatchCandidate extends WaitingRequest {
  /** Chooses the best endpoint for the request, given the requests queued ahead of the request. Returns null when no endpoint is left. */
  choose: (queuedTokens: QueuedTokens) => DirectChoice | null
  /**
   * Reserves the endpoint in the same step as the choice, so that no other request uses its capacity. `standing`
   * says where its workspace stood against its share; null when none competes with it.
   */
  reserve: (choice: DirectChoice, standing: ShareStanding | null) => void
}

/** Maximum number of requests tried in one pass. Bounds the cost of a pass over a long queue. */
const MAX_REQUESTS_PER_PASS = 100

/**
 * Maximum milliseconds of prefill at an endpoint that still takes a request above its workspace's share while others
 * within theirs wait: enough for the endpoint not to run idle.
 */
const MAX_YIELDING_BACKLOG_MS = 50

/**
 * Starts the queued requests whose endpoint has capacity, in dispatch order. A request that still waits
 * for its endpoint counts against the capacity that later requests find there.
 *
 * While requests within their workspace's share wait in a rank, those above theirs start only at endpoints that would soon
 * run idle and for which none of the former waits. The limit that holds back the former may be stricter, because they are larger
 * or late, or they wait at another gateway.
 *
 * @example
 * dispatchWaiting(queue, nowMs, (request, choice) => request.finish(choice))
 */
export function dispatchWaiting<Request extends DispatchCandidate> (queue: DispatchQueue<Request>, nowMs: number, handleStart: (request: Request, choice: DirectChoice) => void): void {
  const queuedTokens: QueuedTokens = new Map()
  /** Endpoints for which a request within its workspace's share waits, by rank. */
  const claimedEndpoints = new Set<string>()
  for (const waiting of queue.listInOrder(nowMs).slice(0, MAX_REQUESTS_PER_PASS)) {
    const choice = waiting.choose(queuedTokens)
    if (choice === null) continue
    const { id } = choice.endpoint.entry
    const endpointKey = `${waiting.rank} ${id}`
    const claim = queue.decideClaim(waiting)
    const mustYield = claim === 'yields' && (claimedEndpoints.has(endpointKey) || !isNearlyIdle(choice))
    if (!choice.hasCapacity || mustYield) {
      if (claim === 'within') claimedEndpoints.add(endpointKey)
      queuedTokens.set(id, (queuedTokens.get(id) ?? 0) + choice.unreadTokens)
      continue
    }
    const standing = queue.describeShare(waiting, nowMs)
    queue.recordStart(waiting, { unreadTokens: choice.unreadTokens, nowMs })
    waiting.reserve(choice, standing)
    handleStart(waiting, choice)
  }
}

function isNearlyIdle ({ endpoint, othersTokens }: DirectChoice): boolean {
  return endpoint.pendingTokens + othersTokens <= MAX_YIELDING_BACKLOG_MS * endpoint.prefillRate.tokensPerMs
}
