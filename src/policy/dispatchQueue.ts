import { ClassShares } from './classShares'
import { PREFILL_TOKENS_PER_MS } from './engineRates'

/** A request that waits at the gateway until an endpoint has room for it. */
export interface WaitingRequest {
  id: string
  /** Rank by which it goes before others; 0 first. */
  rank: number
  /** Own tokens of its prompt; 0 for a plain service. */
  tokens: number
  /** Latest start with which it is on time. */
  latestStartAtMs: number
  /** Time after which it is refused. */
  expiresAtMs: number
}

/** A prompt goes after others that are due later by this many times what its reading takes longer. */
const PREFILL_WEIGHT = 10
/** Fraction of the starts that each rank gets while it has something waiting, however much of higher ranks waits. */
const MIN_RANK_SHARE = 0.03

/**
 * Requests that wait at a gateway, in the order in which they go: by rank; inside a rank those
 * that can still be on time before those that are late, each by the time at which they are due, put
 * off by what they take to read. Beside that each rank gets a share of the starts, so that none waits
 * for ever.
 *
 * Load pattern: more prompts of one rank than can be read in time, some many times larger than most.
 * By due time alone all get late together; put off by their size, all but the largest are on time.
 *
 * @example
 * const queue = new DispatchQueue()
 * queue.add({ id: 'r-1', rank: 1, tokens: 900, dueAtMs: 300, expiresAtMs: 900 })
 * for (const request of queue.listInOrder(nowMs)) if (startIfRoom(request)) queue.recordStart(request)
 */
export class DispatchQueue<Request extends WaitingRequest> {
  readonly #byRank = new Map<number, Request[]>()
  readonly #shares = new ClassShares()
  #size = 0

  get size (): number {
    return this.#size
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

  /** Removes a request that is not to be started any more; false when it does not wait. */
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

  /** Takes a request out of the queue because it starts. */
  recordStart (request: Request): void {
    if (this.remove(request)) this.#shares.recordStart(String(request.rank), 'tier')
  }

  /** Lists what waits, in the order in which it goes. */
  listInOrder (nowMs: number): Request[] {
    const ranks = [...this.#byRank.keys()].sort((a, b) => a - b)
    const inOrder = ranks.flatMap(rank => orderOnTimeFirst(this.#byRank.get(rank) ?? [], nowMs))
    const owedRank = this.#shares.findOwedClass()
    const first = owedRank === undefined ? undefined : this.#byRank.get(Number(owedRank))?.[0]
    return first === undefined ? inOrder : [first, ...inOrder.filter(request => request !== first)]
  }

  /** Takes the requests whose time has run out. */
  removeExpired (nowMs: number): Request[] {
    const expired = [...this.#byRank.values()].flat().filter(request => nowMs >= request.expiresAtMs)
    for (const request of expired) {
      this.remove(request)
      this.#shares.recordUnserved(String(request.rank))
    }
    return expired
  }
}

function computeSortKeyMs ({ latestStartAtMs, tokens }: WaitingRequest): number {
  return latestStartAtMs + PREFILL_WEIGHT * tokens / PREFILL_TOKENS_PER_MS
}

function isBefore (one: WaitingRequest, other: WaitingRequest): boolean {
  return computeSortKeyMs(one) < computeSortKeyMs(other)
}

function orderOnTimeFirst<Request extends WaitingRequest> (requests: Request[], nowMs: number): Request[] {
  return [...requests.filter(request => request.latestStartAtMs > nowMs), ...requests.filter(request => request.latestStartAtMs <= nowMs)]
}
