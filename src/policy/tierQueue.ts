import { FairQueue } from './fairQueue'

import type { QueuedRequest } from './fairQueue'

/**
 * Queues the requests of one tier in two fair queues. The first holds requests that must start in
 * time for their first token's target. The second holds requests that may start late; they start
 * after all requests of the first.
 */
export class TierQueue {
  readonly #onTime = new FairQueue()
  readonly #late = new FairQueue()

  /** Number of queued requests. */
  get size (): number {
    return this.#onTime.size + this.#late.size
  }

  /** Estimates how many requests of this tier start before `request`, which is not queued yet. */
  estimatePosition (request: QueuedRequest): number {
    const { workspace } = request.entry
    return canStartLate(request) ? this.#onTime.size + this.#late.estimatePosition(workspace) : this.#onTime.estimatePosition(workspace)
  }

  /** Returns the request to start next. */
  getNext (): QueuedRequest | undefined {
    return this.#onTime.getNext() ?? this.#late.getNext()
  }

  /** Returns the request to displace first: the newest one of the workspace with the most queued requests. Requests that may start late are displaced before the others. */
  getDisplacementCandidate (): QueuedRequest | undefined {
    return this.#late.getDisplacementCandidate() ?? this.#onTime.getDisplacementCandidate()
  }

  /** Returns whether another workspace has at least two more requests queued than the workspace of `request`. */
  hasLargerWorkspace (request: QueuedRequest): boolean {
    return this.#getQueue(request).hasLargerWorkspace(request.entry.workspace)
  }

  add (request: QueuedRequest): void {
    this.#getQueue(request).add(request)
  }

  remove (request: QueuedRequest): void {
    this.#getQueue(request).remove(request)
  }

  /** Charges `workspace` for service received, in expected requests. A negative number refunds service. */
  recordService (workspace: string, requests: number): void {
    this.#onTime.recordService(workspace, requests)
    this.#late.recordService(workspace, requests)
  }

  #getQueue (request: QueuedRequest): FairQueue {
    return canStartLate(request) ? this.#late : this.#onTime
  }
}

/** Returns whether a request may start after its first token's target has passed. */
export function canStartLate (request: QueuedRequest): boolean {
  return request.entry.startByMs > request.entry.firstTokenDueMs
}
