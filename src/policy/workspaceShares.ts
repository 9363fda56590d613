import { computeFairLevel } from './workspaceDemand'

import type { WorkspaceDemand } from './workspaceDemand'

/** What a request takes from its workspace's share. */
export interface ShareClaim {
  workspace: string
  /** Tokens of its prompt that no other request shares. */
  uniqueTokens: number
  /** Tokens that are probably generated for it. */
  outputTokens: number
}

/** A request with its claim; null when it belongs to no workspace. */
export interface ShareRequest {
  claim: ShareClaim | null
}

/** Where a workspace stands against its share, for the log. */
export interface ShareStanding {
  share: 'within' | 'above'
  receivedTokens: number
  /** Tokens that the workspace may have received lately; null for no limit. */
  shareTokens: number | null
}

/** Demands of the peer gateways, by workspace. */
export type PeerDemands = ReadonlyMap<string, WorkspaceDemand>

interface WorkspaceState {
  receivedTokens: number
  /** Time to which `receivedTokens` are decayed. */
  atMs: number
  waitingTokens: number
  waiting: number
}

/** Time constant with which received tokens decay; a workspace above its share waits about this long at most for its next turn. */
const DECAY_MS = 4000
/** Milliseconds for which a computed level is used. Short compared with the interval of the peers' reports. */
const LEVEL_VALID_MS = 100
const MAX_WORKSPACES = 1024

/**
 * Divides the service of one rank between its workspaces, by tokens received from all gateways.
 *
 * Load pattern: one workspace sends many times its usual number of requests and fills the queues of all
 * gateways. Its requests above its share go after those of the others, which wait as if it sent an equal part.
 *
 * @example
 * const shares = new WorkspaceShares(() => peerDemands)
 * shares.recordEnqueued(request.claim, nowMs)
 * for (const next of shares.orderByShare(queued, nowMs)) if (startIfCapacity(next)) shares.recordStart(next.claim, unreadTokens, nowMs)
 */
export class WorkspaceShares {
  readonly #getPeerDemands: () => PeerDemands
  readonly #workspaces = new Map<string, WorkspaceState>()
  #peerDemands: PeerDemands = new Map()
  #level = Infinity
  #levelAtMs = -Infinity
  /** Whether requests of another workspace than the one that waits here wait at peers. */
  #hasOtherAtPeers = false
  /** Whether a workspace within its share waits, here or at peers. */
  #hasWaitingWithin = false
  #waitingWorkspaces = 0
  /** Requests above their workspace's share in the latest order. */
  #above = new Set<ShareRequest>()

  constructor (getPeerDemands: () => PeerDemands) {
    this.#getPeerDemands = getPeerDemands
  }

  /** Whether requests wait here and those of another workspace here or, by the latest reports, at peers. */
  get isContended (): boolean {
    return this.#waitingWorkspaces > 1 || (this.#waitingWorkspaces === 1 && this.#hasOtherAtPeers)
  }

  recordEnqueued (claim: ShareClaim, nowMs: number): void {
    const state = this.#updateState(claim.workspace, nowMs)
    if (state.waiting === 0) this.#waitingWorkspaces += 1
    state.waiting += 1
    state.waitingTokens += countClaimedTokens(claim)
  }

  recordDequeued (claim: ShareClaim): void {
    const state = this.#workspaces.get(claim.workspace)
    if (state === undefined || state.waiting === 0) return
    state.waiting -= 1
    state.waitingTokens = state.waiting === 0 ? 0 : state.waitingTokens - countClaimedTokens(claim)
    if (state.waiting === 0) this.#waitingWorkspaces -= 1
  }

  /** Charges the workspace for a request that starts at an endpoint that reads `unreadTokens` for it. */
  recordStart ({ workspace, outputTokens }: ShareClaim, unreadTokens: number, nowMs: number): void {
    this.#updateState(workspace, nowMs).receivedTokens += Math.max(1, unreadTokens + outputTokens)
  }

  /** Orders the requests within their workspace's share before the others. Keeps the order inside both groups. */
  orderByShare<Request extends ShareRequest> (requests: Request[], nowMs: number): Request[] {
    this.#above.clear()
    if (this.#waitingWorkspaces > 0) this.#updateLevel(nowMs)
    if (!this.isContended || this.#level === Infinity) return requests
    const usedTokens = new Map<string, number>()
    const within: Request[] = []
    const above: Request[] = []
    for (const request of requests) (this.#isWithinShare(request, usedTokens, nowMs) ? within : above).push(request)
    this.#above = new Set(above)
    return [...within, ...above]
  }

  /** Returns whether a request was above its workspace's share in the latest order. */
  isAboveShare (request: ShareRequest): boolean {
    return this.#above.has(request)
  }

  /** Whether a workspace within its share waits, here or, by the latest reports, at peers. */
  get hasWaitingWithin (): boolean {
    return this.#hasWaitingWithin
  }

  /** Describes where a workspace stands; null when no other workspace competes with it here. */
  describe (workspace: string, nowMs: number): ShareStanding | null {
    if (!this.isContended) return null
    const receivedTokens = this.#getReceivedTokens(workspace, nowMs)
    return { share: receivedTokens <= this.#level ? 'within' : 'above', receivedTokens: Math.round(receivedTokens), shareTokens: this.#level === Infinity ? null : Math.round(this.#level) }
  }

  /** Lists the demand at this gateway by workspace, without those that received next to nothing and wait for nothing. */
  listOwnDemands (nowMs: number): Array<WorkspaceDemand & { workspace: string }> {
    const demands = [...this.#workspaces].map(([workspace, state]) => ({ workspace, receivedTokens: computeDecayedTokens(state, nowMs), waitingTokens: state.waitingTokens }))
    return demands.filter(({ receivedTokens, waitingTokens }) => receivedTokens >= 1 || waitingTokens > 0)
  }

  /** Returns whether requests wait here or, by the latest reports, at peers. */
  hasWaiting (): boolean {
    if (this.#waitingWorkspaces > 0) return true
    for (const { waitingTokens } of this.#getPeerDemands().values()) if (waitingTokens > 0) return true
    return false
  }

  /** `usedTokens` holds, by workspace, what it received and what its requests ahead take; this request's are added. */
  #isWithinShare ({ claim }: ShareRequest, usedTokens: Map<string, number>, nowMs: number): boolean {
    if (claim === null) return true
    const { workspace } = claim
    const used = usedTokens.get(workspace) ?? this.#getReceivedTokens(workspace, nowMs)
    usedTokens.set(workspace, used + countClaimedTokens(claim) * this.#getFleetFactor(workspace))
    return used <= this.#level
  }

  /** Returns by how much more tokens of a workspace wait at all gateways than here. Its requests ahead wait at all of them alike. */
  #getFleetFactor (workspace: string): number {
    const ownTokens = this.#workspaces.get(workspace)?.waitingTokens ?? 0
    return ownTokens === 0 ? 1 : 1 + (this.#peerDemands.get(workspace)?.waitingTokens ?? 0) / ownTokens
  }

  #getReceivedTokens (workspace: string, nowMs: number): number {
    const state = this.#workspaces.get(workspace)
    return (state === undefined ? 0 : computeDecayedTokens(state, nowMs)) + (this.#peerDemands.get(workspace)?.receivedTokens ?? 0)
  }

  #updateLevel (nowMs: number): void {
    if (nowMs - this.#levelAtMs < LEVEL_VALID_MS) return
    this.#levelAtMs = nowMs
    this.#peerDemands = this.#getPeerDemands()
    const names = new Set([...this.#workspaces.keys(), ...this.#peerDemands.keys()])
    const demands = [...names].map(workspace => ({
      receivedTokens: this.#getReceivedTokens(workspace, nowMs),
      waitingTokens: (this.#workspaces.get(workspace)?.waitingTokens ?? 0) + (this.#peerDemands.get(workspace)?.waitingTokens ?? 0)
    }))
    this.#level = computeFairLevel(demands)
    this.#hasOtherAtPeers = [...this.#peerDemands].some(([workspace, { waitingTokens }]) => waitingTokens > 0 && (this.#workspaces.get(workspace)?.waiting ?? 0) === 0)
    this.#hasWaitingWithin = demands.some(({ receivedTokens, waitingTokens }) => waitingTokens > 0 && receivedTokens <= this.#level)
  }

  /** Returns the state of a workspace, decayed to now and moved behind those that were used less recently. */
  #updateState (workspace: string, nowMs: number): WorkspaceState {
    const state = this.#workspaces.get(workspace) ?? { receivedTokens: 0, atMs: nowMs, waitingTokens: 0, waiting: 0 }
    state.receivedTokens = computeDecayedTokens(state, nowMs)
    state.atMs = nowMs
    this.#workspaces.delete(workspace)
    this.#workspaces.set(workspace, state)
    if (this.#workspaces.size > MAX_WORKSPACES) this.#removeOldestIdle(workspace)
    return state
  }

  /** Workspaces with queued requests stay; the queue bounds their number. */
  #removeOldestIdle (kept: string): void {
    for (const [workspace, { waiting }] of this.#workspaces) {
      if (waiting > 0 || workspace === kept) continue
      this.#workspaces.delete(workspace)
      return
    }
  }
}

function countClaimedTokens ({ uniqueTokens, outputTokens }: ShareClaim): number {
  return Math.max(1, uniqueTokens + outputTokens)
}

function computeDecayedTokens ({ receivedTokens, atMs }: WorkspaceState, nowMs: number): number {
  const decayed = receivedTokens * Math.exp(Math.min(0, atMs - nowMs) / DECAY_MS)
  return decayed < 1 ? 0 : decayed
}
