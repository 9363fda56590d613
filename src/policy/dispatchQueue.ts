import { ClassShares } from './classShares'

/** A request queued at the gateway until an endpoint has capacity for it. */
export interface WaitingRequest {
  id: string
  /** Priority rank; 0 goes first. */
  rank: number
  /** Milliseconds that the prefill of the unique (unshared) part of its prompt takes; 0 for a plain service. */
  prefillMs: number
  /** Latest feasible start: the last time at which it can start and meet its target. */
  latestStartAtMs: number
  /** Time from which the request is refused. */
  expiresAtMs: number
}

/**
 * Weight of the prefill time in the sort key. A prompt whose prefill takes 1 ms longer goes after
 * prompts whose latest feasible start is up to this many milliseconds later.
 */
const PREFILL_WEIGHT = 10
/** Minimum fraction of the starts for each rank with queued requests, regardless of the backlog of higher ranks. */
const MIN_RANK_SHARE = 0.03

/**
 * Queues the requests of a gateway in dispatch order. Lower rank numbers go first. Inside a rank, requests
 * that can still be on time go before late ones. Both groups are sorted by latest feasible start plus
 * a penalty for the prefill time. In addition, each rank gets a minimum share of the starts, so that
 * no rank waits indefinitely.
 *
 * Load pattern: one rank has more prompts than can be prefilled in time, and some are many times
 * larger than most. Sorted by latest feasible start alone, all of them become late together. With the
 * size penalty, all but the largest are on time.
 *
 * @example
 * const queue = new DispatchQueue()
 * queue.add({ id: 'r-1', rank: 1, prefillMs: 9, latestStartAtMs: 300, expiresAtMs: 900 })
 * for (const request of queue.listInOrder(nowMs)) if (startIfCapacity(request)) queue.recordStart(request)
 */
export class DispatchQueue<Request extends WaitingRequest> {
  readonly #byRank = new Map<number, Request[]>()
  readonly #shares = new ClassShares()
  #size = 0

  get size (): number {
    return this.#size
  }

  /** Counts the queued requests of `rank` and of the ranks that go before it. */
  countUpToRank (rank: number): number {
    let count = 0
    for (const [queuedRank, requests] of this.#byRank) if (queuedRank <= rank) count += requests.length
    return count
  }

  add (request: Request): void {
    const requests = this.#byRank.get(request.rank) ?? []
    const index = requests.findIndex(other => isBefore(request, other))
    requests.splice(index === -1 ? requests.length : index, 0, request)
    this.#byRank.set(request.rank, requests)
    this.#shares.recordDemand(String(request.rank), MIN_RANK_SHARE)
    this.#shares.recordEnqueued(String(request.rank))
    this.#size += 1
  }

  /**
   * Removes a request that must not start any more.
   *
   * @returns false when the request is not queued
   */
  remove (request: Request): boolean {
    const requests = this.#byRank.get(request.rank)
    const index = requests?.indexOf(request) ?? -1
    if (requests === undefined || index === -1) return false
    requests.splice(index, 1)
    if (requests.length === 0) this.#byRank.delete(request.rank)
    this.#shares.recordDequeued(String(request.rank))
    this.#size -= 1
    return true
  }

  /** Removes a request from the queue because it starts. */
  recordStart (request: Request): void {
    if (this.remove(request)) this.#shares.recordStart(String(request.rank), 'tier')
  }

  /** Lists the queued requests in dispatch order. */
  listInOrder (nowMs: number): Request[] {
    const ranks = [...this.#byRank.keys()].sort((a, b) => a - b)
    const inOrder = ranks.flatMap(rank => orderOnTimeFirst(this.#byRank.get(rank) ?? [], nowMs))
    const owedRank = this.#shares.findOwedClass()
    const first = owedRank === undefined ? undefined : this.#byRank.get(Number(owedRank))?.[0]
    return first === undefined ? inOrder : [first, ...inOrder.filter(request => request !== first)]
  }

  /** Removes and returns the requests whose time has expired. */
  removeExpired (nowMs: number): Request[] {
    const expired = [...this.#byRank.values()].flat().filter(request => nowMs >= request.expiresAtMs)
    for (const request of expired) {
      this.remove(request)
      this.#shares.recordUnserved(String(request.rank))
    }
    return expired
  }
}

function computeSortKeyMs ({ latestStartAtMs, prefillMs }: WaitingRequest): number {
  return latestStartAtMs + PREFILL_WEIGHT * prefillMs
}

function isBefore (one: WaitingRequest, other: WaitingRequest): boolean {
  return computeSortKeyMs(one) < computeSortKeyMs(other)
}

function orderOnTimeFirst<Request extends WaitingRequest> (requests: Request[], nowMs: number): Request[] {
  return [...requests.filter(request => request.latestStartAtMs > nowMs), ...requests.filter(request => request.latestStartAtMs <= nowMs)]
}
