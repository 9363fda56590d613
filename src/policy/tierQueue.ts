import { FairQueue } from './fairQueue'

import type { QueuedRequest } from './fairQueue'

/**
 * The queued requests of one tier in two bands: those to be started in time for their first
 * token's target, and after them those that are to be started by their deadline only.
 */
export class TierQueue {
  readonly #onTime = new FairQueue()
  readonly #late = new FairQueue()

  /** Number of queued requests. */
  get size (): number {
    return this.#onTime.size + this.#late.size
  }

  /** Estimates how many requests of this tier go before `request`, which is not queued yet. */
  estimatePosition (request: QueuedRequest): number {
    const { workspace } = request.entry
    return canStartLate(request) ? this.#onTime.size + this.#late.estimatePosition(workspace) : this.#onTime.estimatePosition(workspace)
  }

  /** Gets the request that goes next. */
  getNext (): QueuedRequest | undefined {
    return this.#onTime.getNext() ?? this.#late.getNext()
  }

  /** Gets the request to displace first: the latest of the workspace that has most queued, late ones first. */
  getDisplacementCandidate (): QueuedRequest | undefined {
    return this.#late.getDisplacementCandidate() ?? this.#onTime.getDisplacementCandidate()
  }

  /** Tells whether another workspace has at least two more queued beside `request`. */
  hasLargerWorkspace (request: QueuedRequest): boolean {
    return this.#getQueue(request).hasLargerWorkspace(request.entry.workspace)
  }

  add (request: QueuedRequest): void {
    this.#getQueue(request).add(request)
  }

  remove (request: QueuedRequest): void {
    this.#getQueue(request).remove(request)
  }

  /** Charges `workspace` with service received, in expected requests; negative to give some back. */
  recordService (workspace: string, requests: number): void {
    this.#onTime.recordService(workspace, requests)
    this.#late.recordService(workspace, requests)
  }

  #getQueue (request: QueuedRequest): FairQueue {
    return canStartLate(request) ? this.#late : this.#onTime
  }
}

/** Tells whether a request may start after its first token's target has passed. */
export function canStartLate (request: QueuedRequest): boolean {
  return request.entry.startByMs > request.entry.firstTokenDueMs
}
