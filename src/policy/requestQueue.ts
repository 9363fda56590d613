import { MAX_TIER } from '../protocol/tiers'
import { ClassShares } from './classShares'
import { IndexedHeap } from './indexedHeap'
import { QueuedTiers } from './queuedTiers'
import { canStartLate } from './tierQueue'
import { WaitEstimator } from './waitEstimator'

import type { Tier } from '../protocol/tiers'
import type { QueuedRequest } from './fairQueue'

/** A request queued for a slot of the endpoint. */
export interface QueueEntry {
  id: string
  tier: Tier
  className: string
  workspace: string
  enqueuedAtMs: number
  /** Latest feasible start. A later start cannot meet the deadline. */
  startByMs: number
  /** Time after which the first token misses its target. */
  firstTokenDueMs: number
  /** Fraction of the endpoint's starts that is guaranteed to the class, 0 to 1. */
  share: number
}

/** Whether an offered entry is queued, and the entries displaced in favour of it. */
export type OfferDecision =
  | { kind: 'queued', displaced: QueueEntry[] }
  | { kind: 'refused', reason: 'queueFull' | 'cannotMeetDeadline', retryAfterMs: number }

/** An entry to start now, with the rule that selected it. */
export interface DequeuedEntry {
  entry: QueueEntry
  by: 'tier' | 'share'
}

/** A request that ended and released its slot. */
export interface ReleasedSlot {
  tier: Tier
  workspace: string
  ranForMs: number
  /** Number of tokens that the endpoint generated for the request. */
  outputTokens: number
}

/** Number of running requests and the concurrency limits. */
export interface SlotCounts {
  running: number
  limit: number
  /** Limit that applies to starts of each tier if some slots are reserved; element 0 is tier 1. */
  limitByTier?: number[]
}

/** Settings of a `RequestQueue`. */
export interface RequestQueueOptions {
  /** Maximum number of queued entries. */
  maxQueued: number
  /** Milliseconds assumed between two slot releases before the first release. */
  initialReleaseIntervalMs: number
}

const OUTPUT_TOKENS_SMOOTHING = 0.02
const MIN_RETRY_AFTER_MS = 100
const PESSIMISTIC_DEVIATIONS = 1
const OPTIMISTIC_DEVIATIONS = -1.3

/**
 * Queues the requests of one endpoint. Requests start strictly by tier. Within a tier, the workspace
 * that received the least service goes first. In addition, each class has a guaranteed share of the
 * starts. The queue holds only requests that are expected to start in time. Every operation takes
 * logarithmic time.
 *
 * @example
 * const queue = new RequestQueue({ maxQueued: 500, initialReleaseIntervalMs: 100 })
 * queue.setSlots({ running: 8, limit: 8 }, nowMs)
 * const decision = queue.offer(entry, nowMs)
 * if (decision.kind === 'queued') decision.displaced.forEach(answerNotRun)
 * const next = queue.dequeue(nowMs)
 */
export class RequestQueue {
  readonly #options: RequestQueueOptions
  readonly #tiers = new QueuedTiers(request => this.#isReservedForShare(request))
  readonly #requests = new Map<string, QueuedRequest>()
  readonly #byStartBy = new IndexedHeap<QueuedRequest>((a, b) => a.entry.startByMs < b.entry.startByMs)
  readonly #byClass = new Map<string, IndexedHeap<QueuedRequest>>()
  readonly #shares = new ClassShares()
  readonly #waits: WaitEstimator
  #expired: QueueEntry[] = []
  #meanOutputTokens = 1
  #sequence = 0

  constructor (options: RequestQueueOptions) {
    this.#options = options
    this.#waits = new WaitEstimator({ initialIntervalMs: options.initialReleaseIntervalMs })
  }

  /** Number of queued entries. */
  get size (): number {
    return this.#requests.size
  }

  /** Returns the number of queued entries of each tier; element 0 is tier 1. */
  countByTier (): number[] {
    return this.#tiers.countByTier()
  }

  /** Estimates the milliseconds until one more request of each tier starts; element 0 is tier 1. */
  estimateWaitMsByTier (nowMs: number): number[] {
    return this.countByTier().map((queued, index) => this.#estimateTierWaitMs(index + 1, queued, nowMs, 0))
  }

  /** Returns the time at which the next entry expires, for a timer. */
  getNextExpiryMs (): number | undefined {
    return this.#byStartBy.getFirst()?.entry.startByMs
  }

  /**
   * Sets the number of running requests and the concurrency limits. Call it before `offer` and
   * `dequeue` whenever one of them changed. The queue counts its own starts.
   */
  setSlots (slots: SlotCounts, nowMs: number): void {
    this.#waits.setSlots(slots, nowMs)
  }

  /**
   * Queues an entry that is expected to start in time. A full queue displaces another entry for it, or
   * refuses it. If the expected start is too late, an entry that may start late is still queued when it
   * can displace an entry of a lower tier. Queued entries that then can no longer start in time are
   * displaced too.
   *
   * @example
   * const decision = queue.offer(entry, nowMs)
   * // { kind: 'refused', reason: 'cannotMeetDeadline', retryAfterMs: 1200 }
   */
  offer (entry: QueueEntry, nowMs: number): OfferDecision {
    this.#shares.recordDemand(entry.className, entry.share)
    const request: QueuedRequest = { entry, sequence: this.#sequence++ }
    const waitMs = this.#estimateNewWaitMs(request, nowMs)
    const victim = this.#tiers.findVictim(request)
    const isTooLate = nowMs + waitMs > entry.startByMs
    const mayDisplace = canStartLate(request) && entry.startByMs > nowMs && hasLowerTier(victim, entry)
    if (isTooLate && !mayDisplace) return this.#refuse(entry, 'cannotMeetDeadline', waitMs, nowMs)
    const isFull = this.size >= this.#options.maxQueued
    if (isFull && victim === undefined) return this.#refuse(entry, 'queueFull', waitMs, nowMs)
    const displaced: QueueEntry[] = []
    if (victim !== undefined && (isFull || isTooLate)) displaced.push(this.#shed(victim))
    this.#add(request)
    this.#shedTooLate(entry, nowMs, displaced)
    return { kind: 'queued', displaced }
  }

  /** Removes and returns the entry to start now. Returns null if the queue is empty or no slot is open for the next entry. */
  dequeue (nowMs: number): DequeuedEntry | null {
    this.#expire(nowMs)
    const byTier = this.#tiers.getNext()
    if (byTier === undefined || !this.#waits.isSlotOpen(byTier.entry.tier)) return null
    const byShare = this.#findNextByShare()
    const selected = byShare ?? byTier
    const by = byShare === undefined || byShare.entry.tier === byTier.entry.tier ? 'tier' : 'share'
    this.#remove(selected)
    this.#recordStart(selected.entry, by)
    return { entry: selected.entry, by }
  }

  /** Removes an entry, for example because its caller disconnected. */
  remove (id: string): QueueEntry | undefined {
    const request = this.#requests.get(id)
    if (request === undefined) return undefined
    this.#remove(request)
    return request.entry
  }

  /** Removes and returns the entries that can no longer start in time. Each is returned once. */
  collectExpired (nowMs: number): QueueEntry[] {
    this.#expire(nowMs)
    const expired = this.#expired
    this.#expired = []
    return expired
  }

  /** Records that a running request ended. Charges or refunds its workspace for the difference between its output and the mean. */
  recordRelease (released: ReleasedSlot, nowMs: number): void {
    this.#waits.recordRelease(released.ranForMs, nowMs)
    const surplus = released.outputTokens / Math.max(1, this.#meanOutputTokens) - 1
    this.#tiers.getTier(released.tier).recordService(released.workspace, Math.max(-1, surplus))
    this.#meanOutputTokens += OUTPUT_TOKENS_SMOOTHING * (released.outputTokens - this.#meanOutputTokens)
  }

  #findNextByShare (): QueuedRequest | undefined {
    const owed = this.#shares.findOwedClass()
    return owed === undefined ? undefined : this.#byClass.get(owed)?.getFirst()
  }

  #add (request: QueuedRequest): void {
    const { entry } = request
    this.#requests.set(entry.id, request)
    this.#byStartBy.add(request)
    this.#tiers.getTier(entry.tier).add(request)
    this.#getOrCreateClassQueue(entry.className).add(request)
    this.#shares.recordEnqueued(entry.className)
  }

  #getOrCreateClassQueue (className: string): IndexedHeap<QueuedRequest> {
    const known = this.#byClass.get(className)
    if (known !== undefined) return known
    const heap = new IndexedHeap<QueuedRequest>((a, b) => a.sequence < b.sequence)
    this.#byClass.set(className, heap)
    return heap
  }

  #remove (request: QueuedRequest): void {
    const { entry } = request
    this.#requests.delete(entry.id)
    this.#byStartBy.remove(request)
    this.#tiers.getTier(entry.tier).remove(request)
    this.#byClass.get(entry.className)?.remove(request)
    this.#shares.recordDequeued(entry.className)
  }

  #recordStart (entry: QueueEntry, by: 'tier' | 'share'): void {
    this.#waits.recordStart(entry.tier, by)
    this.#shares.recordStart(entry.className, by)
    this.#tiers.getTier(entry.tier).recordService(entry.workspace, 1)
  }

  #expire (nowMs: number): void {
    for (;;) {
      const first = this.#byStartBy.getFirst()
      if (first === undefined || first.entry.startByMs >= nowMs) return
      this.#remove(first)
      this.#shares.recordUnserved(first.entry.className)
      this.#expired.push(first.entry)
    }
  }

  #refuse (entry: QueueEntry, reason: 'queueFull' | 'cannotMeetDeadline', waitMs: number, nowMs: number): OfferDecision {
    this.#shares.recordUnserved(entry.className)
    const maxWaitMs = Math.max(0, entry.startByMs - entry.enqueuedAtMs)
    const leastMs = Math.max(MIN_RETRY_AFTER_MS, this.#waits.getIntervalMs(nowMs))
    return { kind: 'refused', reason, retryAfterMs: Math.max(leastMs, waitMs - maxWaitMs) }
  }

  #estimateNewWaitMs (request: QueuedRequest, nowMs: number): number {
    const { entry } = request
    const isOptimistic = canStartLate(request) && this.#tiers.hasQueuedBelow(entry.tier)
    const deviations = isOptimistic ? OPTIMISTIC_DEVIATIONS : PESSIMISTIC_DEVIATIONS
    const position = this.#tiers.getTier(entry.tier).estimatePosition(request)
    const byTierMs = this.#estimateTierWaitMs(entry.tier, position, nowMs, deviations)
    return Math.min(byTierMs, this.#estimateShareWaitMs(entry, 0, nowMs, deviations))
  }

  /** Estimates the wait of the last queued request in the tier of `entry`. */
  #estimateLastWaitMs (entry: QueueEntry, nowMs: number): number {
    const byTierMs = this.#estimateTierWaitMs(entry.tier, this.#tiers.getTier(entry.tier).size - 1, nowMs, OPTIMISTIC_DEVIATIONS)
    return Math.min(byTierMs, this.#estimateShareWaitMs(entry, 1, nowMs, OPTIMISTIC_DEVIATIONS))
  }

  /** Estimates the wait until the class's share starts one more request. Ignores the last `queuedLater` queued requests of the class. */
  #estimateShareWaitMs (entry: QueueEntry, queuedLater: number, nowMs: number, deviations: number): number {
    if (entry.share <= 0) return Infinity
    const starts = this.#shares.estimateStartsUntilDue(entry.className, queuedLater)
    return this.#waits.estimateStartsWaitMs(starts, nowMs, deviations)
  }

  #estimateTierWaitMs (tier: Tier, aheadInTier: number, nowMs: number, deviations: number): number {
    return this.#waits.estimateTierWaitMs(tier, aheadInTier + this.#tiers.countAbove(tier), nowMs, deviations)
  }

  /** Returns whether the request is the only queued one of a class with a share. It is then reserved for that share. */
  #isReservedForShare (request: QueuedRequest): boolean {
    return request.entry.share > 0 && this.#shares.countQueued(request.entry.className) === 1
  }

  #shed (victim: QueuedRequest): QueueEntry {
    this.#remove(victim)
    this.#shares.recordUnserved(victim.entry.className)
    return victim.entry
  }

  /** Displaces entries that are no longer expected to start in time because of the new entry. */
  #shedTooLate (entry: QueueEntry, nowMs: number, displaced: QueueEntry[]): void {
    for (let tier = MAX_TIER; tier >= entry.tier; tier--) {
      for (;;) {
        const victim = this.#tiers.findVictimInTier(tier)
        if (victim === undefined) break
        const waitMs = this.#estimateLastWaitMs(victim.entry, nowMs)
        if (victim.entry.id === entry.id || nowMs + waitMs <= victim.entry.startByMs) return
        displaced.push(this.#shed(victim))
      }
    }
  }
}

function hasLowerTier (victim: QueuedRequest | undefined, entry: QueueEntry): boolean {
  return victim !== undefined && victim.entry.tier > entry.tier
}
