import { IndexedHeap } from './indexedHeap'

import type { QueueEntry } from './requestQueue'

/** A queued entry with its arrival number. */
export interface QueuedRequest {
  entry: QueueEntry
  sequence: number
}

interface WorkspaceQueue {
  workspace: string
  /** Service received, in expected requests. Never below the service floor while the workspace has queued requests. */
  receivedService: number
  byDueTime: IndexedHeap<QueuedRequest>
  byLatestArrival: IndexedHeap<QueuedRequest>
}

const MAX_IDLE_WORKSPACE_QUEUES = 1024

/**
 * Shares the starts of its queued requests fairly between workspaces. The workspace that received the
 * least service goes next. A workspace that was idle resumes at the current service floor, so it gains
 * no credit while idle.
 */
export class FairQueue {
  readonly #queues = new Map<string, WorkspaceQueue>()
  readonly #byLeastService = new IndexedHeap<WorkspaceQueue>((a, b) => a.receivedService < b.receivedService)
  readonly #byMostQueued = new IndexedHeap<WorkspaceQueue>(hasMoreQueued)
  #serviceFloor = 0
  #queuedCount = 0

  /** Number of queued requests. */
  get size (): number {
    return this.#queuedCount
  }

  /** Estimates how many requests of this queue start before one more request of `workspace`. */
  estimatePosition (workspace: string): number {
    const queue = this.#queues.get(workspace)
    const ownQueued = queue?.byDueTime.size ?? 0
    const activeQueues = this.#byLeastService.size + (ownQueued === 0 ? 1 : 0)
    return Math.min(this.#queuedCount, ownQueued * activeQueues + activeQueues - 1)
  }

  /** Returns the request to start next. */
  getNext (): QueuedRequest | undefined {
    return this.#byLeastService.getFirst()?.byDueTime.getFirst()
  }

  /** Returns the request to displace first: the newest one of the workspace with the most queued requests. */
  getDisplacementCandidate (): QueuedRequest | undefined {
    return this.#byMostQueued.getFirst()?.byLatestArrival.getFirst()
  }

  /** Returns whether another workspace has at least two more requests queued than `workspace`. */
  hasLargerWorkspace (workspace: string): boolean {
    const ownQueued = this.#queues.get(workspace)?.byDueTime.size ?? 0
    return (this.#byMostQueued.getFirst()?.byDueTime.size ?? 0) >= ownQueued + 2
  }

  add (request: QueuedRequest): void {
    const queue = this.#getOrCreateQueue(request.entry.workspace)
    if (queue.byDueTime.size === 0) queue.receivedService = Math.max(queue.receivedService, this.#serviceFloor)
    queue.byDueTime.add(request)
    queue.byLatestArrival.add(request)
    this.#queuedCount += 1
    this.#byLeastService.add(queue)
    this.#byMostQueued.add(queue)
  }

  remove (request: QueuedRequest): void {
    const queue = this.#queues.get(request.entry.workspace)
    if (queue === undefined || !queue.byDueTime.has(request)) return
    queue.byDueTime.remove(request)
    queue.byLatestArrival.remove(request)
    this.#queuedCount -= 1
    if (queue.byDueTime.size > 0) return this.#byMostQueued.add(queue)
    this.#byLeastService.remove(queue)
    this.#byMostQueued.remove(queue)
    this.#removeIdleQueues()
  }

  /** Charges `workspace` for service received, in expected requests. A negative number refunds service. */
  recordService (workspace: string, requests: number): void {
    const queue = this.#getOrCreateQueue(workspace)
    if (requests > 0 && queue.byDueTime.size > 0) this.#serviceFloor = Math.max(this.#serviceFloor, this.#byLeastService.getFirst()?.receivedService ?? 0)
    queue.receivedService += requests
    if (queue.byDueTime.size > 0) this.#byLeastService.add(queue)
  }

  #getOrCreateQueue (workspace: string): WorkspaceQueue {
    const known = this.#queues.get(workspace)
    if (known !== undefined) return known
    const queue: WorkspaceQueue = {
      workspace,
      receivedService: this.#serviceFloor,
      byDueTime: new IndexedHeap(isBefore),
      byLatestArrival: new IndexedHeap((a, b) => a.sequence > b.sequence)
    }
    this.#queues.set(workspace, queue)
    return queue
  }

  #removeIdleQueues (): void {
    if (this.#queues.size <= 2 * this.#byLeastService.size + MAX_IDLE_WORKSPACE_QUEUES) return
    for (const queue of this.#queues.values()) {
      if (queue.byDueTime.size === 0) this.#queues.delete(queue.workspace)
    }
  }
}

function isBefore (a: QueuedRequest, b: QueuedRequest): boolean {
  if (a.entry.firstTokenDueMs !== b.entry.firstTokenDueMs) return a.entry.firstTokenDueMs < b.entry.firstTokenDueMs
  return a.sequence < b.sequence
}

function hasMoreQueued (a: WorkspaceQueue, b: WorkspaceQueue): boolean {
  if (a.byDueTime.size !== b.byDueTime.size) return a.byDueTime.size > b.byDueTime.size
  return (a.byLatestArrival.getFirst()?.sequence ?? 0) > (b.byLatestArrival.getFirst()?.sequence ?? 0)
}
