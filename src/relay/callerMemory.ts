import { chooseToGiveWay, hasRoom } from '../policy/memoryOrder'

import type { Clock } from '../base/clock'
import type { MemoryHolding } from '../policy/memoryOrder'
import type { BodyAccount } from '../protocol/bodyReader'
import type { ReplyStage } from './callerReply'

export interface CallerMemoryOptions {
  clock: Clock
  /** Memory of the process in megabytes. */
  memoryMb: number
  /** Called when a request gives way, with what it held. */
  handleGaveWay: (given: GivenWay) => void
}

/** What is short where a request gives way. */
export type Shortage = 'memory' | 'connections'

/** A request that gave way. */
export interface GivenWay {
  shortage: Shortage
  owner: string
  stage: ReplyStage
  bytes: number
  /** Milliseconds since its caller last sent or read something. */
  idleMs: number
}

/** The request that holds memory. */
export interface HoldingRequest {
  owner: string
  getStage: () => ReplyStage
  /** Whether its reply has ended, or was begun, and is not yet written. */
  isUnread: () => boolean
  /** Refuses the request, or cuts its reply. */
  evict: (shortage: Shortage) => void
}

const BYTES_PER_MB = 1_048_576
const BUDGET_FRACTION = 0.15
/** Four bodies of the default limit. */
const MIN_BUDGET_BYTES = 16_777_216
/** Bytes of memory that a request takes besides its head and body. */
const REQUEST_OVERHEAD_BYTES = 1024
/** Milliseconds that a request waits for room before another one gives way. */
const MAX_WAIT_MS = 1000
const CHECK_INTERVAL_MS = 100
/** Bytes that a resumed request may add in its first read. */
const RESUMED_BYTES = 65_536

/**
 * Bounds the bytes that the requests of all callers hold together, from their heads to their replies.
 *
 * @example
 * const memory = new CallerMemory({ clock, memoryMb: 200, handleGaveWay: report })
 * const holding = memory.open({ owner, getStage, isUnread, evict }, headBytes)
 * if (!holding.add(part.length)) holding.waitForRoom(() => request.resume())
 */
export class CallerMemory {
  readonly #options: CallerMemoryOptions
  readonly budgetBytes: number
  readonly #holdings = new Set<CallerHolding>()
  readonly #ownerBytes = new Map<string, number>()
  #totalBytes = 0
  readonly #waiting = new Set<CallerHolding>()
  #timer: NodeJS.Timeout | null = null

  constructor (options: CallerMemoryOptions) {
    this.#options = options
    this.budgetBytes = Math.max(MIN_BUDGET_BYTES, options.memoryMb * BYTES_PER_MB * BUDGET_FRACTION)
  }

  get totalBytes (): number {
    return this.#totalBytes
  }

  /** Number of requests that wait for room. */
  get waitingCount (): number {
    return this.#waiting.size
  }

  getMonotonicMs (): number {
    return this.#options.clock.getMonotonicMs()
  }

  /** Begins to count what a request holds. */
  open (request: HoldingRequest, headBytes: number): CallerHolding {
    const holding = new CallerHolding(this, request, this.#options.clock.getMonotonicMs())
    this.#holdings.add(holding)
    this.update(holding, headBytes + REQUEST_OVERHEAD_BYTES)
    return holding
  }

  /** Reserves bytes of an answer that is being collected. Returns false when nothing more can give way for it. */
  reserve (bytes: number): boolean {
    if (!this.#canMakeRoom(bytes) || !this.#makeRoom(bytes)) return false
    this.#totalBytes += bytes
    return true
  }

  /** Releases reserved bytes. */
  release (bytes: number): void {
    this.#totalBytes -= bytes
    this.#resumeWaiting()
  }

  /**
   * Lets one request give way whose caller has sent nothing of its body for `minIdleMs`, so that its connection becomes free. Returns false
   * when there is none.
   */
  evictStalled (minIdleMs: number): boolean {
    const untilMs = this.#options.clock.getMonotonicMs() - minIdleMs
    const stalled = [...this.#holdings].filter(holding => holding.stage === 'reading' && holding.progressAtMs <= untilMs && !this.#waiting.has(holding))
    const holding = chooseToGiveWay(stalled, this.#ownerBytes)
    if (holding !== null) this.refuse(holding, 'connections')
    return holding !== null
  }

  /** Sums the held bytes by the stage of their requests. */
  listByStage (): Array<{ stage: ReplyStage, bytes: number }> {
    const sums = new Map<ReplyStage, number>()
    for (const { stage, bytes } of this.#holdings) sums.set(stage, (sums.get(stage) ?? 0) + bytes)
    return [...sums].map(([stage, bytes]) => ({ stage, bytes }))
  }

  /** Changes what a request holds, and makes room where that is beyond the budget. Returns whether it may go on. */
  update (holding: CallerHolding, bytes: number): boolean {
    const { owner } = holding
    const ownerBytes = (this.#ownerBytes.get(owner) ?? 0) + bytes - holding.bytes
    if (ownerBytes === 0) this.#ownerBytes.delete(owner)
    else this.#ownerBytes.set(owner, ownerBytes)
    this.#totalBytes += bytes - holding.bytes
    const isMore = bytes > holding.bytes
    holding.bytes = bytes
    holding.progressAtMs = this.#options.clock.getMonotonicMs()
    if (!isMore) {
      this.#resumeWaiting()
      return true
    }
    this.#makeRoom(0)
    return this.#hasRoom(holding)
  }

  /** Ends what a request holds. */
  close (holding: CallerHolding): void {
    if (!this.#holdings.delete(holding)) return
    this.#waiting.delete(holding)
    this.update(holding, 0)
  }

  /** Calls `holding.resume` once there is room. */
  addWaiting (holding: CallerHolding): void {
    holding.waitsSinceMs = this.#options.clock.getMonotonicMs()
    this.#waiting.add(holding)
    this.#timer ??= setInterval(() => this.#checkWaiting(), CHECK_INTERVAL_MS).unref()
  }

  #hasRoom ({ owner }: CallerHolding, expectedBytes = 0): boolean {
    return hasRoom({ budgetBytes: this.budgetBytes, totalBytes: this.#totalBytes + expectedBytes, ownerBytes: this.#ownerBytes.get(owner) ?? 0 })
  }

  /** Returns whether the budget has room for `bytes`, or would have once all that can give way has. */
  #canMakeRoom (bytes: number): boolean {
    let missingBytes = this.#totalBytes + bytes - this.budgetBytes
    if (missingBytes <= 0) return true
    for (const holding of this.#holdings) {
      if (holding.canGiveWay) missingBytes -= holding.bytes
      if (missingBytes <= 0) return true
    }
    return false
  }

  /** Lets requests give way until the budget has room for `bytes`. Returns false when none can give way any more. */
  #makeRoom (bytes: number): boolean {
    while (this.#totalBytes + bytes > this.budgetBytes) {
      if (!this.#evictOne()) return false
    }
    return true
  }

  #evictOne (): boolean {
    const holding = chooseToGiveWay(this.#holdings, this.#ownerBytes)
    if (holding !== null) this.refuse(holding)
    return holding !== null
  }

  /** Lets one request give way. */
  refuse (holding: CallerHolding, shortage: Shortage = 'memory'): void {
    const { owner, stage, bytes, progressAtMs } = holding
    this.#options.handleGaveWay({ shortage, owner, stage, bytes, idleMs: Math.round(this.#options.clock.getMonotonicMs() - progressAtMs) })
    this.close(holding)
    holding.evict(shortage)
  }

  #resumeWaiting (): void {
    let expectedBytes = 0
    for (const holding of this.#waiting) {
      if (!this.#hasRoom(holding, expectedBytes)) continue
      expectedBytes += RESUMED_BYTES
      this.#waiting.delete(holding)
      holding.resume()
    }
  }

  #checkWaiting (): void {
    this.#resumeWaiting()
    if (this.#waiting.size === 0 && this.#timer !== null) {
      clearInterval(this.#timer)
      this.#timer = null
      return
    }
    const nowMs = this.#options.clock.getMonotonicMs()
    if ([...this.#waiting].some(({ waitsSinceMs }) => nowMs - waitsSinceMs >= MAX_WAIT_MS)) this.#evictOne()
  }
}

/** What one request holds. */
export class CallerHolding implements MemoryHolding, BodyAccount {
  readonly #memory: CallerMemory
  readonly #request: HoldingRequest
  bytes = 0
  progressAtMs: number
  waitsSinceMs = 0
  #handleRoom: (() => void) | null = null
  #handleDrop: () => void = () => {}
  /** Bytes of the reply that are not written yet, as last counted. */
  #replyBytes = 0
  #isClosed = false

  constructor (memory: CallerMemory, request: HoldingRequest, nowMs: number) {
    this.#memory = memory
    this.#request = request
    this.progressAtMs = nowMs
  }

  get owner (): string {
    return this.#request.owner
  }

  get stage (): ReplyStage {
    return this.#request.getStage()
  }

  get canGiveWay (): boolean {
    return this.stage === 'reading' || this.#request.isUnread()
  }

  /** Counts more bytes of the body. Returns false when no more of it should be read for now. */
  add (bytes: number): boolean {
    return this.#isClosed || this.#memory.update(this, this.bytes + bytes)
  }

  recordProgress (): void {
    this.progressAtMs = this.#memory.getMonotonicMs()
  }

  /** Counts the bytes of the reply that are not written yet. */
  setReplyBytes (bytes: number): void {
    if (this.#isClosed) return
    const added = bytes - this.#replyBytes
    this.#replyBytes = bytes
    if (added !== 0) this.#memory.update(this, this.bytes + added)
  }

  /** Calls `handleRoom` once more of the body may be read. */
  waitForRoom (handleRoom: () => void): void {
    if (this.#isClosed) return
    this.#handleRoom = handleRoom
    this.#memory.addWaiting(this)
  }

  resume (): void {
    this.#handleRoom?.()
    this.#handleRoom = null
  }

  /** Sets what is called when the body is to be dropped. */
  setDrop (handleDrop: () => void): void {
    if (this.#isClosed) return handleDrop()
    this.#handleDrop = handleDrop
  }

  refuse (): void {
    if (!this.#isClosed) this.#memory.refuse(this)
  }

  evict (shortage: Shortage): void {
    this.#isClosed = true
    this.#handleDrop()
    this.#request.evict(shortage)
  }

  /** Releases everything. */
  close (): void {
    this.#isClosed = true
    this.#memory.close(this)
  }
}
