import { ClassShares } from './classShares'
import { WorkspaceShares } from './workspaceShares'

import type { DemandEntry } from './workspaceDemand'
import type { PeerDemands, ShareRequest, ShareStanding } from './workspaceShares'

/** A request queued at the gateway until an endpoint has capacity for it. */
export interface WaitingRequest extends ShareRequest {
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
/** Whether a request is within its workspace's share, above it, or above it while others within theirs wait. */
export type ShareDecision = 'within' | 'above' | 'yields'

const NO_DEMANDS: PeerDemands = new Map()
/** Minimum fraction of the starts for each rank with queued requests, regardless of the backlog of higher ranks. */
const MIN_RANK_SHARE = 0.03

/**
 * Queues the requests of a gateway in dispatch order. Lower rank numbers go first. Inside a rank, requests
 * that can still be on time go before late ones. Both groups are sorted by latest feasible start plus
 * a penalty for the prefill time. Where workspaces compete in a rank, the requests within their workspace's
 * share go first. In addition, each rank gets a minimum share of the starts, so that no rank waits indefinitely.
 *
 * Load pattern: one rank has more prompts than can be prefilled in time, and some are many times
 * larger than most. Sorted by latest feasible start alone, all of them become late together. With the
 * size penalty, all but the largest are on time.
 *
 * @example
 * const queue = new DispatchQueue()
 * queue.add({ id: 'r-1', rank: 1, prefillMs: 9, latestStartAtMs: 300, expiresAtMs: 900, claim: null }, nowMs)
 * for (const request of queue.listInOrder(nowMs)) if (startIfCapacity(request)) queue.recordStart(request, { unreadTokens, nowMs })
 */
export class DispatchQueue<Request extends WaitingRequest> {
  readonly #byRank = new Map<number, Request[]>()
  readonly #shares = new ClassShares()
  readonly #workspaceShares = new Map<number, WorkspaceShares>()
  readonly #getPeerDemands: (rank: number) => PeerDemands
  #size = 0

  /** @param getPeerDemands returns what the workspaces received and wait for at the peer gateways, in a rank */
  constructor (getPeerDemands: (rank: number) => PeerDemands = () => NO_DEMANDS) {
    this.#getPeerDemands = getPeerDemands
  }

  get size (): number {
    return this.#size
  }

  /** Counts the queued requests of `rank` and of the ranks that go before it. */
  countUpToRank (rank: number): number {
    let count = 0
    for (const [queuedRank, requests] of this.#byRank) if (queuedRank <= rank) count += requests.length
    return count
  }

  add (request: Request, nowMs = 0): void {
    const requests = this.#byRank.get(request.rank) ?? []
    const index = requests.findIndex(other => isBefore(request, other))
    requests.splice(index === -1 ? requests.length : index, 0, request)
    this.#byRank.set(request.rank, requests)
    this.#shares.recordDemand(String(request.rank), MIN_RANK_SHARE)
    this.#shares.recordEnqueued(String(request.rank))
    if (request.claim !== null) this.#getWorkspaceShares(request.rank).recordEnqueued(request.claim, nowMs)
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
    if (request.claim !== null) this.#getWorkspaceShares(request.rank).recordDequeued(request.claim)
    this.#size -= 1
    return true
  }

  /** Removes a request from the queue because it starts at an endpoint that reads `unreadTokens` for it. */
  recordStart (request: Request, { unreadTokens, nowMs }: { unreadTokens: number, nowMs: number } = { unreadTokens: 0, nowMs: 0 }): void {
    if (!this.remove(request)) return
    this.#shares.recordStart(String(request.rank), 'tier')
    if (request.claim !== null) this.#getWorkspaceShares(request.rank).recordStart(request.claim, unreadTokens, nowMs)
  }

  /** Lists the queued requests in dispatch order. */
  listInOrder (nowMs: number): Request[] {
    const ranks = [...this.#byRank.keys()].sort((a, b) => a - b)
    const inOrder = ranks.flatMap(rank => this.#orderRank(rank, nowMs))
    const owedRank = this.#shares.findOwedClass()
    const first = owedRank === undefined ? undefined : this.#findFirst(Number(owedRank), nowMs)
    return first === undefined ? inOrder : [first, ...inOrder.filter(request => request !== first)]
  }

  /**
   * Decides on a request's claim, as of the last listing: it is within its workspace's share, above it, or above it
   * while requests within their share wait in its rank, here or at peers.
   */
  decideClaim (request: Request): ShareDecision {
    const shares = this.#workspaceShares.get(request.rank)
    if (shares?.isAboveShare(request) !== true) return 'within'
    return shares.hasWaitingWithin ? 'yields' : 'above'
  }

  /** Describes where the workspace of a request stands against its share; null when no other one competes with it here. */
  describeShare ({ claim, rank }: ShareRequest & { rank: number }, nowMs: number): ShareStanding | null {
    return claim === null ? null : this.#workspaceShares.get(rank)?.describe(claim.workspace, nowMs) ?? null
  }

  /** Lists the demand of the workspaces in the ranks in which requests wait, here or at peers. */
  listDemands (nowMs: number): Array<Omit<DemandEntry, 'service'>> {
    return [...this.#workspaceShares].flatMap(([rank, shares]) => shares.hasWaiting() ? shares.listOwnDemands(nowMs).map(demand => ({ rank, ...demand })) : [])
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

  #orderRank (rank: number, nowMs: number): Request[] {
    const inOrder = orderOnTimeFirst(this.#byRank.get(rank) ?? [], nowMs)
    return this.#workspaceShares.get(rank)?.orderByShare(inOrder, nowMs) ?? inOrder
  }

  #findFirst (rank: number, nowMs: number): Request | undefined {
    return this.#workspaceShares.get(rank)?.isContended === true ? this.#orderRank(rank, nowMs)[0] : this.#byRank.get(rank)?.[0]
  }

  #getWorkspaceShares (rank: number): WorkspaceShares {
    const known = this.#workspaceShares.get(rank)
    if (known !== undefined) return known
    const created = new WorkspaceShares(() => this.#getPeerDemands(rank))
    this.#workspaceShares.set(rank, created)
    return created
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
