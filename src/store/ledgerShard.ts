import { Progress } from '../base/progress'

import { Backoff } from './backoff'
import { BackgroundTask } from './backgroundTask'
import { waitFor } from './channels'
import { LedgerIndex } from './ledgerIndex'
import { MAX_SEGMENT_ENTRIES, ledgerSegmentSchema, parseSegmentNumber, toSegmentKey, toShardPrefix } from './ledgerRecord'

import type { ObjectService, StoredObject } from './objectService'
import type { LedgerEntry, LedgerSegment } from './ledgerRecord'

export interface LedgerShardOptions {
  service: ObjectService
  shard: number
  /** Milliseconds for which entries are batched into one segment. */
  batchWindowMs: number
  /** Largest number of queued entries. */
  maxQueued: number
  getRandom?: () => number
  onError?: (error: unknown) => void
}

/**
 * Outcome of an append: `read` when the log was read far enough to decide the entry, `notWritten`, or
 * `unknown` when it is not known whether the segment takes effect.
 */
export type AppendResult = 'read' | 'notWritten' | 'unknown'

/** An entry that is queued for its segment. */
interface QueuedEntry {
  entry: LedgerEntry
  /** Whether the entry is retried until it is written; otherwise the first failure is final. */
  isRetried: boolean
  resolve: (result: AppendResult) => void
}

const CALL_TIMEOUT_MS = 3_000
const MAX_WRITE_ROUNDS = 50
const BACKOFF_BASE_MS = 200
const BACKOFF_CAP_MS = 10_000
const IDLE_MS = 3_600_000
const FIRST_VERSION = 1

/**
 * One shard of the claim ledger: a log of numbered segments. Each segment is created under the next
 * number, and only one writer can create it. A writer that loses the race reads the winner's segment,
 * decides again, and tries the next number.
 */
export class LedgerShard {
  readonly #options: LedgerShardOptions
  readonly #index = new LedgerIndex()
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  #queue: QueuedEntry[] = []
  #nextNumber = 0
  #isLoaded = false
  /** Highest number under which an unconfirmed segment of this process may still be written. */
  #lastUncertainNumber = -1

  constructor (options: LedgerShardOptions) {
    this.#options = options
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom: options.getRandom })
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: options.onError })
  }

  /** State of the claims, as far as the log has been read. */
  get index (): LedgerIndex {
    return this.#index
  }

  /** Returns the number of queued entries that are retried until they are written. */
  countRetried (): number {
    return this.#queue.filter(queued => queued.isRetried).length
  }

  /** Writes a claim with the next segment, unless the log shows that it would have no effect. */
  async append (entry: LedgerEntry): Promise<AppendResult> {
    return await new Promise(resolve => this.#push({ entry, isRetried: false, resolve }))
  }

  /** Writes an outcome with the next segment and retries until it is written. Resolves after the first attempt. */
  async appendWithRetry (entry: LedgerEntry): Promise<AppendResult> {
    return await new Promise(resolve => this.#push({ entry, isRetried: true, resolve }))
  }

  /** Reads the log to its end; returns false when a read fails. */
  async readToEnd (progress: Progress): Promise<boolean> {
    if (!this.#isLoaded && !await this.#load(progress)) return false
    while (true) {
      const next = await this.#options.service.get(toSegmentKey(this.#options.shard, this.#nextNumber), progress)
      if (next.isErr) return false
      if (next.value === null) return true
      this.#apply(next.value)
    }
  }

  /** Stops the background task, then makes one more attempt to write the queued entries. */
  async stop (): Promise<void> {
    await this.#task.stop()
    if (this.#queue.length > 0) await this.#runStep(new AbortController().signal)
    for (const queued of this.#queue.splice(0)) queued.resolve('notWritten')
  }

  #push (queued: QueuedEntry): void {
    if (this.#queue.length >= this.#options.maxQueued) return queued.resolve('notWritten')
    this.#queue.push(queued)
    this.#task.start()
    this.#task.notify()
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    if (this.#queue.length === 0) return IDLE_MS
    if (this.#options.batchWindowMs > 0) await waitFor(this.#options.batchWindowMs, signal)
    const batch = this.#queue.splice(0, MAX_SEGMENT_ENTRIES)
    const progress = new Progress({ title: `writing shard ${this.#options.shard} of the claim ledger`, timeoutMs: CALL_TIMEOUT_MS, signal })
    const result = await this.#writeBatch(batch.map(queued => queued.entry), progress)
    if (result !== 'read') this.#queue.unshift(...batch.filter(queued => queued.isRetried))
    for (const queued of batch) queued.resolve(result)
    if (result !== 'read') return this.#backoff.advance()
    this.#backoff.reset()
    return this.#queue.length > 0 ? 0 : IDLE_MS
  }

  async #writeBatch (entries: LedgerEntry[], progress: Progress): Promise<AppendResult> {
    if (!this.#isLoaded && !await this.#load(progress)) return 'notWritten'
    for (let round = 0; round < MAX_WRITE_ROUNDS; round += 1) {
      const effective = this.#selectEffective(entries)
      const result = effective.length > 0 || this.#hasUncertainSegment()
        ? await this.#writeSegment({ entries: effective }, progress)
        : await this.#readRemaining(entries, progress)
      if (result !== 'lost') return result
    }
    return 'notWritten'
  }

  /**
   * Reads the log to its end before it refuses entries, unless their claims are completed. A claim may
   * have been released since the last read.
   */
  async #readRemaining (entries: LedgerEntry[], progress: Progress): Promise<AppendResult | 'lost'> {
    if (entries.every(entry => this.#index.find(entry.key)?.state === 'completed')) return 'read'
    const number = this.#nextNumber
    if (!await this.readToEnd(progress)) return 'notWritten'
    return this.#nextNumber === number ? 'read' : 'lost'
  }

  /** Writes one segment under the next number; returns `lost` when another writer has used the number. */
  async #writeSegment (segment: LedgerSegment, progress: Progress): Promise<AppendResult | 'lost'> {
    const { service, shard } = this.#options
    const key = toSegmentKey(shard, this.#nextNumber)
    let mayHaveWritten = false
    for (let round = 0; round < MAX_WRITE_ROUNDS; round += 1) {
      const written = await service.put(key, segment, { kind: 'absent' }, progress)
      if (written.isOk) return this.#applyWritten({ key, version: written.value.version, value: segment })
      if (written.error.kind === 'conflict' && written.error.current !== null) return this.#applyStored(written.error.current)
      if (written.error.kind !== 'unknownOutcome') return mayHaveWritten ? this.#markUncertain() : 'notWritten'
      mayHaveWritten = true
      const current = await service.get(key, progress)
      if (current.isErr) return this.#markUncertain()
      if (current.value !== null) return this.#applyStored(current.value)
    }
    return this.#markUncertain()
  }

  /** Records that the segment may still be written under the next number, until another segment uses that number. */
  #markUncertain (): AppendResult {
    this.#lastUncertainNumber = this.#nextNumber
    return 'unknown'
  }

  #hasUncertainSegment (): boolean {
    return this.#nextNumber <= this.#lastUncertainNumber
  }

  /** Applies the segment stored under the number. It may be an unconfirmed segment of this process. */
  #applyStored (object: StoredObject): 'lost' {
    this.#apply(object)
    return 'lost'
  }

  /**
   * Applies a segment that was just written. A version above the first one means that the number was
   * used and removed before, so this process has fallen behind the log.
   */
  #applyWritten (object: StoredObject): AppendResult {
    if (object.version !== FIRST_VERSION) {
      this.#isLoaded = false
      return 'unknown'
    }
    this.#apply(object)
    return 'read'
  }

  async #load (progress: Progress): Promise<boolean> {
    const listed = await this.#options.service.list(toShardPrefix(this.#options.shard), progress)
    if (listed.isErr) return false
    const objects = listed.value.objects.sort((one, other) => one.key < other.key ? -1 : 1)
    for (const object of objects) this.#apply(object)
    this.#isLoaded = true
    return true
  }

  #apply (object: StoredObject): void {
    const number = parseSegmentNumber(object.key)
    if (number < this.#nextNumber) return
    const segment = ledgerSegmentSchema.safeParse(object.value).data
    if (object.version === FIRST_VERSION) segment?.entries.forEach(entry => this.#index.apply(entry))
    this.#nextNumber = number + 1
  }

  /** Selects the entries that change the state, including outcomes of claims in the same segment. */
  #selectEffective (entries: LedgerEntry[]): LedgerEntry[] {
    const claimWriteIds = new Set(entries.flatMap(entry => entry.kind === 'claim' ? entry.fields.writeId : []))
    return entries.filter(entry => this.#index.canApply(entry) || (entry.kind !== 'claim' && claimWriteIds.has(entry.writeId)))
  }
}
