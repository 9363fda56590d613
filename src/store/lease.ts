import { systemClock } from '../base/clock'
import { createId } from '../base/identifiers'
import { Progress } from '../base/progress'

import { Backoff, addJitter } from './backoff'
import { BackgroundTask } from './backgroundTask'
import { computeElapsedMs, readClock } from '../base/clockReading'
import { parseLeaseRecord, toLeaseKey } from './leaseRecord'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'
import type { LeaseRecord } from './leaseRecord'
import type { ObjectService, StoredObject, WriteCondition } from './objectService'

export interface LeaseOptions {
  service: ObjectService
  name: string
  /** Id and epoch of this process. */
  holder: string
  clock?: Clock
  getRandom?: () => number
  /** Milliseconds for which the lease is valid, counted from when the renewal was sent. */
  termMs?: number
  /** Safety margin in milliseconds: the holder stops this much earlier, and a successor waits this much longer. */
  clockMarginMs?: number
  onError?: (error: unknown) => void
}

/** How the previous holder's lease ended; `none` when there was no previous holder. */
export type LeasePredecessor = 'none' | 'released' | 'lapsed'

/** The lease as its holder knows it. */
export interface HeldLease {
  fencingNumber: number
  predecessor: LeasePredecessor
  /** Monotonic time in milliseconds at which the acquisition was confirmed. */
  acquiredAtMs: number
}

/** State of the lease, for the state dump. */
export interface LeaseStatus {
  name: string
  held: boolean
  fencingNumber: number | null
  remainingMs: number
}

interface OwnLease extends HeldLease {
  version: number
  sentAt: ClockReading
}

interface PendingLeaseWrite {
  sentAt: ClockReading
  fencingNumber: number
  predecessor: LeasePredecessor
}

interface LeaseObservation {
  version: number
  firstSeenMs: number
}

export const DEFAULT_LEASE_TERM_MS = 30_000
export const DEFAULT_CLOCK_MARGIN_MS = 3_000
const RENEWALS_PER_TERM = 3
const CALL_TIMEOUT_MS = 3_000
const BACKOFF_BASE_MS = 250
const BACKOFF_CAP_MS = 5_000
const READ_BACK_DELAY_MS = 100

/**
 * Acquires and renews a lease with a fencing number at the platform. The holder counts the term on
 * its own clocks from before the renewal was sent, and stops early by a margin. A successor waits for
 * the term plus the margin on its own monotonic clock, from when it first saw the unchanged lease. No
 * wall clock is trusted: a wrong one can only shorten the holder's own term.
 *
 * @example
 * const lease = new Lease({ service, name: 'endpoint-engine-1', holder: 'sidecar-1/epoch-1' })
 * lease.start()
 * if (lease.isHeld(2_000)) sendOrder(lease.getHolding())
 * await lease.stop(progress)
 */
export class Lease {
  readonly #options: LeaseOptions
  readonly #key: string
  readonly #clock: Clock
  readonly #termMs: number
  readonly #clockMarginMs: number
  readonly #getRandom: () => number
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  readonly #listeners = new Set<() => void>()
  /** Writes whose responses were lost, by write id. */
  readonly #pending = new Map<string, PendingLeaseWrite>()
  #own: OwnLease | null = null
  #observed: LeaseObservation | null = null

  constructor (options: LeaseOptions) {
    this.#options = options
    this.#key = toLeaseKey(options.name)
    this.#clock = options.clock ?? systemClock
    this.#termMs = options.termMs ?? DEFAULT_LEASE_TERM_MS
    this.#clockMarginMs = options.clockMarginMs ?? DEFAULT_CLOCK_MARGIN_MS
    this.#getRandom = options.getRandom ?? Math.random
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom: this.#getRandom })
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: options.onError })
  }

  /** Starts to acquire the lease and then to renew it. */
  start (): void {
    this.#task.start()
  }

  /** Returns whether the lease is held now and for at least `forMs` more milliseconds, by this process's own clocks. */
  isHeld (forMs = 0): boolean {
    return this.#own !== null && this.#getRemainingMs(this.#own) > forMs
  }

  /** Returns the held lease; null when it is not held now. */
  getHolding (): HeldLease | null {
    if (this.#own === null || !this.isHeld()) return null
    const { fencingNumber, predecessor, acquiredAtMs } = this.#own
    return { fencingNumber, predecessor, acquiredAtMs }
  }

  /** Returns the milliseconds after which no order of an earlier holder can still be in flight. */
  getTakeoverWaitMs (): number {
    return this.#termMs + this.#clockMarginMs
  }

  getStatus (): LeaseStatus {
    const remainingMs = this.#own === null ? 0 : Math.max(0, this.#getRemainingMs(this.#own))
    return { name: this.#options.name, held: this.isHeld(), fencingNumber: this.#own?.fencingNumber ?? null, remainingMs }
  }

  /** Calls `listener` when the lease is acquired or lost; returns a function that removes the listener. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Stops renewing and releases the lease, so that a successor can acquire it at once. */
  async stop (progress: Progress): Promise<void> {
    await this.#task.stop()
    const own = this.#own
    this.#setOwn(null)
    if (own === null) return
    const record = this.#createRecord(own.fencingNumber, createId('lease'), true)
    const written = await this.#options.service.put(this.#key, record, { kind: 'version', version: own.version }, progress)
    if (written.isErr && written.error.kind === 'unknownOutcome') {
      await this.#options.service.put(this.#key, record, { kind: 'version', version: own.version }, progress)
    }
  }

  /** Stops renewing and lets the lease lapse, for use when an order may still be in flight. */
  async stopWithoutRelease (): Promise<void> {
    await this.#task.stop()
    this.#setOwn(null)
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const progress = new Progress({ title: `holding the lease ${this.#options.name}`, timeoutMs: CALL_TIMEOUT_MS, signal })
    if (this.#own === null || this.#pending.size > 0) return await this.#readAndAcquire(progress)
    return await this.#renew(this.#own, progress)
  }

  async #renew (own: OwnLease, progress: Progress): Promise<number> {
    return await this.#write(own.fencingNumber, own.predecessor, { kind: 'version', version: own.version }, progress)
  }

  async #readAndAcquire (progress: Progress): Promise<number> {
    const current = await this.#options.service.get(this.#key, progress)
    if (current.isErr) return this.#backoff.advance()
    if (current.value === null) return await this.#write(1, 'none', { kind: 'absent' }, progress)
    const record = parseLeaseRecord(current.value)
    if (record === null) throw new Error(`the lease object ${this.#key} has an invalid value; repair or remove it`)
    const condition: WriteCondition = { kind: 'version', version: current.value.version }
    const pending = this.#pending.get(record.writeId)
    if (pending !== undefined) return this.#adopt(current.value.version, pending)
    if (this.#own?.version === current.value.version) return await this.#renew(this.#own, progress)
    this.#setOwn(null)
    if (record.released) return await this.#write(record.fencingNumber + 1, 'released', condition, progress)
    const waitMs = this.#observe(current.value, record)
    if (waitMs > 0) return Math.min(waitMs, this.#getRenewalMs())
    return await this.#write(record.fencingNumber + 1, 'lapsed', condition, progress)
  }

  /** Returns the milliseconds to wait until another holder's lease has certainly ended. */
  #observe (object: StoredObject, record: LeaseRecord): number {
    const nowMs = this.#clock.getMonotonicMs()
    if (this.#observed?.version !== object.version) this.#observed = { version: object.version, firstSeenMs: nowMs }
    return this.#observed.firstSeenMs + record.termMs + this.#clockMarginMs - nowMs
  }

  async #write (fencingNumber: number, predecessor: LeasePredecessor, condition: WriteCondition, progress: Progress): Promise<number> {
    const writeId = createId('lease')
    const write: PendingLeaseWrite = { fencingNumber, predecessor, sentAt: readClock(this.#clock) }
    const record = this.#createRecord(fencingNumber, writeId, false)
    const written = await this.#options.service.put(this.#key, record, condition, progress)
    if (written.isOk) return this.#adopt(written.value.version, write)
    switch (written.error.kind) {
      case 'conflict': {
        const isOwnWrite = this.#pending.has((written.error.current?.value as Partial<LeaseRecord> | undefined)?.writeId ?? '')
        if (!isOwnWrite) this.#setOwn(null)
        return READ_BACK_DELAY_MS
      }
      case 'unknownOutcome':
        this.#pending.set(writeId, write)
        return READ_BACK_DELAY_MS
      case 'rateLimited':
      case 'unavailable':
        return this.#backoff.advance()
    }
  }

  /** Adopts a write that is known to have taken effect. Earlier pending writes can no longer take effect. */
  #adopt (version: number, write: PendingLeaseWrite): number {
    this.#pending.clear()
    this.#backoff.reset()
    this.#observed = null
    const { fencingNumber, predecessor, sentAt } = write
    const isSame = this.#own?.fencingNumber === fencingNumber
    const acquiredAtMs = isSame ? this.#own!.acquiredAtMs : this.#clock.getMonotonicMs()
    this.#setOwn({ version, fencingNumber, predecessor, sentAt, acquiredAtMs })
    return Math.max(0, this.#getRenewalMs() - (this.#clock.getMonotonicMs() - sentAt.monotonicMs))
  }

  #setOwn (own: OwnLease | null): void {
    const changed = this.#own?.fencingNumber !== own?.fencingNumber
    this.#own = own
    if (changed) for (const listener of [...this.#listeners]) listener()
  }

  #createRecord (fencingNumber: number, writeId: string, released: boolean): LeaseRecord {
    return { holder: this.#options.holder, fencingNumber, termMs: this.#termMs, writeId, released }
  }

  #getRemainingMs (own: OwnLease): number {
    return this.#termMs - this.#clockMarginMs - computeElapsedMs(own.sentAt, this.#clock)
  }

  #getRenewalMs (): number {
    return addJitter(this.#termMs / RENEWALS_PER_TERM, this.#getRandom)
  }
}
