import { IndexedHeap } from './indexedHeap'

import type { QueueEntry } from './requestQueue'

/** A queued entry with the order in which it came. */
export interface QueuedRequest {
  entry: QueueEntry
  sequence: number
}

interface Lane {
  workspace: string
  /** Service received, in expected requests, never below the tier's floor while the lane is active. */
  counter: number
  next: IndexedHeap<QueuedRequest>
  latest: IndexedHeap<QueuedRequest>
}

const MAX_IDLE_LANES = 1024

/**
 * The queued requests of one tier, in one lane per workspace. The lane that received the least
 * service goes next; a lane that was idle begins level with the others and saves up nothing.
 */
export class FairTier {
  readonly #lanes = new Map<string, Lane>()
  readonly #active = new IndexedHeap<Lane>((a, b) => a.counter < b.counter)
  readonly #longest = new IndexedHeap<Lane>(isLonger)
  #floor = 0
  #count = 0

  /** Number of queued requests. */
  get size (): number {
    return this.#count
  }

  /** Estimates how many requests of this tier go before one more of `workspace`. */
  countAhead (workspace: string): number {
    const lane = this.#lanes.get(workspace)
    const own = lane?.next.size ?? 0
    const lanes = this.#active.size + (own === 0 ? 1 : 0)
    return Math.min(this.#count, own * lanes + lanes - 1)
  }

  /** Gets the request that goes next. */
  getNext (): QueuedRequest | undefined {
    return this.#active.getFirst()?.next.getFirst()
  }

  /** Gets the latest request of the workspace that has most queued. */
  getLatestOfLongest (): QueuedRequest | undefined {
    return this.#longest.getFirst()?.latest.getFirst()
  }

  /** Tells whether another workspace has at least two more queued than `workspace`. */
  hasLongerLane (workspace: string): boolean {
    const own = this.#lanes.get(workspace)?.next.size ?? 0
    return (this.#longest.getFirst()?.next.size ?? 0) >= own + 2
  }

  add (request: QueuedRequest): void {
    const lane = this.#openLane(request.entry.workspace)
    if (lane.next.size === 0) lane.counter = Math.max(lane.counter, this.#floor)
    lane.next.add(request)
    lane.latest.add(request)
    this.#count += 1
    this.#active.add(lane)
    this.#longest.add(lane)
  }

  remove (request: QueuedRequest): void {
    const lane = this.#lanes.get(request.entry.workspace)
    if (lane === undefined || !lane.next.has(request)) return
    lane.next.remove(request)
    lane.latest.remove(request)
    this.#count -= 1
    if (lane.next.size > 0) return this.#longest.add(lane)
    this.#active.remove(lane)
    this.#longest.remove(lane)
    this.#removeIdleLanes()
  }

  /** Charges `workspace` with service received, in expected requests; negative to give some back. */
  recordService (workspace: string, requests: number): void {
    const lane = this.#openLane(workspace)
    if (requests > 0 && lane.next.size > 0) this.#floor = Math.max(this.#floor, this.#active.getFirst()?.counter ?? 0)
    lane.counter += requests
    if (lane.next.size > 0) this.#active.add(lane)
  }

  #openLane (workspace: string): Lane {
    const known = this.#lanes.get(workspace)
    if (known !== undefined) return known
    const lane: Lane = {
      workspace,
      counter: this.#floor,
      next: new IndexedHeap(isBefore),
      latest: new IndexedHeap((a, b) => a.sequence > b.sequence)
    }
    this.#lanes.set(workspace, lane)
    return lane
  }

  #removeIdleLanes (): void {
    if (this.#lanes.size <= 2 * this.#active.size + MAX_IDLE_LANES) return
    for (const lane of this.#lanes.values()) {
      if (lane.next.size === 0) this.#lanes.delete(lane.workspace)
    }
  }
}

function isBefore (a: QueuedRequest, b: QueuedRequest): boolean {
  if (a.entry.firstTokenDueMs !== b.entry.firstTokenDueMs) return a.entry.firstTokenDueMs < b.entry.firstTokenDueMs
  return a.sequence < b.sequence
}

function isLonger (a: Lane, b: Lane): boolean {
  if (a.next.size !== b.next.size) return a.next.size > b.next.size
  return (a.latest.getFirst()?.sequence ?? 0) > (b.latest.getFirst()?.sequence ?? 0)
}
