import { systemClock } from '../base/clock'
import { Progress } from '../base/progress'
import { crashRecordSchema, MAX_CRASHES_PER_FINGERPRINT } from '../protocol/crashRecord'

import { Backoff, addJitter } from './backoff'
import { BackgroundTask } from './backgroundTask'
import { RestoreDetector } from './restoreDetector'
import { POISON_PREFIX } from './keys'
import { hasAllCrashes, mergeCrashRecords, toPoisonKey } from './poisonRecord'
import { PrefixWatcher } from './prefixWatcher'
import { TokenBucket } from './tokenBucket'

import type { Clock } from '../base/clock'
import type { ObjectService, StoredObject, WatchEvent, WriteCondition } from './objectService'
import type { CrashRecord } from '../protocol/crashRecord'

export interface PoisonRegistryOptions {
  service: ObjectService
  clock?: Clock
  getRandom?: () => number
  /** Milliseconds for which a fingerprint is kept after its last crash. */
  retentionMs?: number
  /** Largest number of records written per second. */
  writesPerSecond?: number
  /** Largest number of records kept; the oldest are evicted first. */
  maxRecords?: number
  onError?: (error: unknown) => void
  /** Called after a record has changed. */
  handleChange?: () => void
}

/** One crash of an endpoint while it was running a request. */
export interface Crash {
  fingerprint: string
  endpointName: string
  /** Id of the crash, the same for every reporter, such as the endpoint's name and boot id. */
  crashId: string
}

const DEFAULT_RETENTION_MS = 3_600_000
const DEFAULT_WRITES_PER_SECOND = 1
const DEFAULT_MAX_RECORDS = 10_000
const WRITE_BURST = 5
const CALL_TIMEOUT_MS = 3_000
/**
 * One request can crash endpoints in quick succession. Each crash must be known before the next
 * attempt, so this watch has short delays.
 */
const WATCH_TIMING = { minRearmMs: 20, maxRearmMs: 500 }
const BACKOFF_BASE_MS = 500
const BACKOFF_CAP_MS = 10_000
const IDLE_MS = 60_000
/**
 * Delay in milliseconds before writing a crash that a peer reported. It lets the process that saw the
 * crash write it, and lets the watch show the write.
 */
const REPORTED_WRITE_DELAY_MS = 10_000
/**
 * Delay in milliseconds, with jitter, before writing a record again after a restore. Processes with the
 * same records write at different times, so that the first write makes the others unnecessary.
 */
const RESTORED_WRITE_DELAY_MS = 1_000
/** Milliseconds by which writes that decide at once go before those of single crashes, which a series of crashes makes many of. */
const URGENT_WRITE_LEAD_MS = 60_000

/**
 * Shares the crash records of requests through the object service. It writes them at a limited rate,
 * watches the records of all processes, and keeps them in memory while the service is down. A record is
 * a set of crashes, so that a crash counts once even if it is reported twice, late or by several
 * processes.
 *
 * @example
 * const registry = new PoisonRegistry({ service })
 * registry.start()
 * registry.record({ fingerprint, endpointName: 'engine-1', crashId: 'engine-1/boot-7' })
 * registry.isPoisoned(fingerprint, 2)
 */
export class PoisonRegistry {
  readonly #options: PoisonRegistryOptions
  readonly #clock: Clock
  readonly #getRandom: () => number
  readonly #watcher: PrefixWatcher
  readonly #writer: BackgroundTask
  readonly #bucket: TokenBucket
  readonly #backoff: Backoff
  readonly #records = new Map<string, CrashRecord>()
  /** Crash counts that peers reported without the crash ids. */
  readonly #reportedCounts = new Map<string, { count: number, atMs: number }>()
  /**
   * Fingerprints with crashes that may be missing at the service, and the monotonic time in
   * milliseconds at which to write them.
   */
  readonly #dueWrites = new Map<string, number>()
  readonly #restoreDetector = new RestoreDetector()
  #waiters: Array<{ fingerprint: string, resolve: () => void }> = []

  constructor (options: PoisonRegistryOptions) {
    const { service, getRandom, onError } = options
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#getRandom = getRandom ?? Math.random
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom })
    this.#bucket = new TokenBucket({ ratePerSecond: options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND, burst: WRITE_BURST, clock: this.#clock })
    this.#writer = new BackgroundTask({ runStep: async signal => await this.#writeNext(signal), onError })
    this.#watcher = new PrefixWatcher({
      service,
      getRandom,
      onError,
      timing: WATCH_TIMING,
      prefix: POISON_PREFIX,
      handleList: (objects, revision) => this.#adoptList(objects, revision),
      handleEvents: events => this.#handleEvents(events)
    })
  }

  start (): void {
    this.#watcher.start()
    this.#writer.start()
  }

  async stop (): Promise<void> {
    await Promise.all([this.#watcher.stop(), this.#writer.stop()])
  }

  /** Records a crash seen by this process and shares it. */
  record (crash: Crash): void {
    const { fingerprint, endpointName, crashId } = crash
    const record = { fingerprint, crashes: [{ crashId, endpointName }], atMs: this.#clock.getWallMs() }
    if (this.#merge(record)) this.#scheduleWrite(fingerprint, 0)
  }

  /** Records several crashes of one fingerprint at once, and shares them. */
  recordAll (fingerprint: string, crashes: CrashRecord['crashes']): void {
    if (this.#merge({ fingerprint, crashes: crashes.slice(0, MAX_CRASHES_PER_FINGERPRINT), atMs: this.#clock.getWallMs() })) this.#scheduleWrite(fingerprint, -URGENT_WRITE_LEAD_MS)
  }

  /** Records that the known crashes of `fingerprint` have another cause, and shares that. */
  clear (fingerprint: string): void {
    const known = this.getRecord(fingerprint)
    if (known === null) return
    const clearedAtMs = Math.max(known.atMs, this.#clock.getWallMs())
    if (this.#merge({ fingerprint, crashes: [], atMs: known.atMs, clearedAtMs })) this.#scheduleWrite(fingerprint, -URGENT_WRITE_LEAD_MS)
  }

  /**
   * Merges a record received in a message. The process that saw the crash writes it. This process
   * writes it only if the service does not show it after a delay.
   */
  merge (record: CrashRecord): void {
    if (this.#merge(record)) this.#scheduleWrite(record.fingerprint, addJitter(REPORTED_WRITE_DELAY_MS, this.#getRandom))
  }

  /** Merges a crash count received in a message. */
  mergeCount (fingerprint: string, count: number): void {
    if (count <= this.getCrashCount(fingerprint)) return
    this.#reportedCounts.set(fingerprint, { count, atMs: this.#clock.getWallMs() })
    removeOldest(this.#reportedCounts, this.#getMaxRecords())
  }

  /**
   * Waits until the known crashes of `fingerprint` are stored, so that the processes of the next
   * attempts can read them.
   *
   * @throws TimeoutError when it is not stored before the deadline of `progress`
   */
  async waitUntilStored (fingerprint: string, progress: Progress): Promise<void> {
    if (!this.#dueWrites.has(fingerprint)) return
    const written = new Promise<void>(resolve => this.#waiters.push({ fingerprint, resolve }))
    await progress.wait('the crash record to be stored', written)
  }

  /** Reads the stored record of `fingerprint` without waiting for the watch. A failed read changes nothing. */
  async readStored (fingerprint: string, progress: Progress): Promise<void> {
    const stored = await this.#options.service.get(toPoisonKey(fingerprint), progress)
    if (stored.isOk && stored.value !== null) this.#adopt(stored.value)
  }

  /** Returns the number of known crashes of `fingerprint` that have not expired. */
  getCrashCount (fingerprint: string): number {
    const reported = this.#reportedCounts.get(fingerprint)
    const reportedCount = reported !== undefined && !this.#isExpired(reported.atMs) ? reported.count : 0
    return Math.max(reportedCount, this.getRecord(fingerprint)?.crashes.length ?? 0)
  }

  /** Returns whether the request must be refused because it has crashed at least `limit` endpoints. */
  isPoisoned (fingerprint: string, limit: number): boolean {
    return this.getCrashCount(fingerprint) >= limit
  }

  /** Returns the record to send in messages; null when there is none. */
  getRecord (fingerprint: string): CrashRecord | null {
    const record = this.#records.get(fingerprint)
    return record === undefined || this.#isExpired(record.atMs) ? null : record
  }

  get isEmpty (): boolean {
    return this.#records.size === 0
  }

  /** Lists all records that have not expired, for the state dump. */
  listRecords (): CrashRecord[] {
    return [...this.#records.values()].filter(record => !this.#isExpired(record.atMs))
  }

  /** Deletes at most `maxCount` expired records at the service; one process runs this at a time. */
  async removeExpired (maxCount: number, progress: Progress): Promise<number> {
    const listed = await this.#options.service.list(POISON_PREFIX, progress)
    if (listed.isErr) return 0
    const expired = listed.value.objects.filter(object => this.#isExpired(parseRecord(object)?.atMs ?? 0)).slice(0, maxCount)
    for (const { key, version } of expired) await this.#options.service.delete(key, version, progress)
    return expired.length
  }

  /** Merges a record; returns whether it contained new crashes. */
  #merge (reported: CrashRecord): boolean {
    const { fingerprint } = reported
    const record = resolveTimes(reported, this.#clock.getWallMs())
    const known = this.#records.get(fingerprint)
    if (this.#isExpired(record.atMs) || hasAllCrashes(known, record)) return false
    const isLive = known !== undefined && !this.#isExpired(known.atMs)
    this.#records.set(fingerprint, isLive ? mergeCrashRecords(known, record) : record)
    removeOldest(this.#records, this.#getMaxRecords())
    this.#options.handleChange?.()
    return true
  }

  #scheduleWrite (fingerprint: string, delayMs: number): void {
    const dueMs = this.#clock.getMonotonicMs() + delayMs
    this.#dueWrites.set(fingerprint, Math.min(dueMs, this.#dueWrites.get(fingerprint) ?? dueMs))
    this.#writer.notify()
  }

  /** Merges the listed records. A write of a record that the list contains in full is no longer due. */
  #adoptList (objects: StoredObject[], revision: number): void {
    this.#recordPosition(revision)
    objects.forEach(object => this.#adopt(object))
  }

  /** Records a position of the object service. After a restore from an older backup, all records are written again. */
  #recordPosition (position: number): void {
    if (!this.#restoreDetector.recordPosition(position)) return
    for (const { fingerprint } of this.listRecords()) this.#scheduleWrite(fingerprint, addJitter(RESTORED_WRITE_DELAY_MS, this.#getRandom))
  }

  #handleEvents (events: WatchEvent[]): void {
    for (const event of events) if (event.kind === 'put') this.#adopt(event.object)
  }

  #adopt (object: StoredObject): void {
    const stored = parseRecord(object)
    if (stored === null) return
    this.#merge(stored)
    const own = this.#records.get(stored.fingerprint)
    if (own !== undefined && hasAllCrashes(stored, own)) this.#markStored(stored.fingerprint)
  }

  async #writeNext (signal: AbortSignal): Promise<number> {
    const next = this.#findNextWrite()
    if (next === null) return IDLE_MS
    const { fingerprint, dueMs } = next
    const waitMs = dueMs - this.#clock.getMonotonicMs()
    if (waitMs > 0) return waitMs
    const record = this.getRecord(fingerprint)
    if (record === null) {
      this.#markStored(fingerprint)
      return 0
    }
    const reservation = this.#bucket.acquire(0)
    if (reservation.kind === 'refused') return reservation.retryAfterMs
    const progress = new Progress({ title: 'sharing a crash record', timeoutMs: CALL_TIMEOUT_MS, signal })
    return await this.#write(record, progress) ? 0 : this.#backoff.advance()
  }

  #markStored (fingerprint: string): void {
    this.#dueWrites.delete(fingerprint)
    const done = this.#waiters.filter(waiter => waiter.fingerprint === fingerprint)
    this.#waiters = this.#waiters.filter(waiter => waiter.fingerprint !== fingerprint)
    for (const waiter of done) waiter.resolve()
  }

  #findNextWrite (): { fingerprint: string, dueMs: number } | null {
    let next: { fingerprint: string, dueMs: number } | null = null
    for (const [fingerprint, dueMs] of this.#dueWrites) {
      if (next === null || dueMs < next.dueMs) next = { fingerprint, dueMs }
    }
    return next
  }

  async #write (record: CrashRecord, progress: Progress): Promise<boolean> {
    const { service } = this.#options
    const key = toPoisonKey(record.fingerprint)
    const current = await service.get(key, progress)
    if (current.isErr) return false
    if (current.value !== null) this.#adopt(current.value)
    if (!this.#dueWrites.has(record.fingerprint)) return true
    const merged = this.getRecord(record.fingerprint) ?? record
    const condition: WriteCondition = current.value === null ? { kind: 'absent' } : { kind: 'version', version: current.value.version }
    const written = await service.put(key, merged, condition, progress)
    if (written.isErr) return false
    this.#backoff.reset()
    if (this.#records.get(record.fingerprint) === merged) this.#markStored(record.fingerprint)
    // the first list may be answered only after a restore; the era of a write shows it then
    this.#recordPosition(written.value.version)
    return true
  }

  #isExpired (atMs: number): boolean {
    return this.#clock.getWallMs() - atMs > (this.#options.retentionMs ?? DEFAULT_RETENTION_MS)
  }

  #getMaxRecords (): number {
    return this.#options.maxRecords ?? DEFAULT_MAX_RECORDS
  }
}

/** Limits the times of a record to the present, because other clocks may be ahead. */
function resolveTimes (record: CrashRecord, nowMs: number): CrashRecord {
  const { atMs, clearedAtMs } = record
  return { ...record, atMs: Math.min(atMs, nowMs), ...clearedAtMs === undefined ? {} : { clearedAtMs: Math.min(clearedAtMs, nowMs) } }
}

function parseRecord (object: StoredObject): CrashRecord | null {
  return crashRecordSchema.safeParse(object.value).data ?? null
}

function removeOldest<T> (entries: Map<string, T>, maxSize: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= maxSize) return
    entries.delete(key)
  }
}
