import { systemClock } from '../base/clock'
import { computeEarlierReading, readClock } from '../base/clockReading'
import { Progress } from '../base/progress'

import { Backoff, addJitter } from './backoff'
import { BackgroundTask } from './backgroundTask'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'
import type { ObjectService, ObjectServiceError, StoredObject, WatchEvent } from './objectService'

export interface PrefixWatcherOptions {
  service: ObjectService
  prefix: string
  /** Called with all objects and the position of the list. Objects that are not listed no longer exist. */
  handleList: (objects: StoredObject[], revision: number) => void
  /** Called with changes, in the order in which they were made. */
  handleEvents: (events: WatchEvent[]) => void
  /**
   * Called with the time at which the view was current: the start of the last call, or earlier if
   * another process read the view.
   */
  handleConfirmed?: (startedAt: ClockReading) => void
  /** Called with the error of a failed call. */
  handleFailed?: (error: ObjectServiceError) => void
  onError?: (error: unknown) => void
  clock?: Clock
  getRandom?: () => number
  timing?: Partial<WatcherTiming>
}

/** Timeouts and delays of a watcher's calls, in milliseconds. */
export interface WatcherTiming {
  /** Time for which one watch waits for changes. */
  watchMs: number
  /** Time after the end of a watch within which its response must arrive. */
  watchGraceMs: number
  listTimeoutMs: number
  /**
   * Shortest and longest delay before the next watch. The delay doubles while changes are frequent, to
   * limit the call rate.
   */
  minRearmMs: number
  maxRearmMs: number
  /** Shortest and longest backoff delay after a failed call. */
  backoffBaseMs: number
  backoffCapMs: number
}

const DEFAULT_TIMING: WatcherTiming = {
  watchMs: 30_000,
  watchGraceMs: 5_000,
  listTimeoutMs: 10_000,
  minRearmMs: 200,
  maxRearmMs: 2_000,
  backoffBaseMs: 500,
  backoffCapMs: 10_000
}
/** A watch that ends sooner than this, in milliseconds, shows that changes are frequent. */
const FREQUENT_CHANGE_MS = 1_000

/**
 * Watches all objects below a prefix: lists them, then watches for changes with a jittered delay
 * between watches. It lists again after an outage, or when its position is too old. While the service
 * is down, or returns an older state than before, it reports nothing, so that the last view stays.
 */
export class PrefixWatcher {
  readonly #options: PrefixWatcherOptions
  readonly #clock: Clock
  readonly #getRandom: () => number
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  /** Position from which to watch; null when the next step must list. */
  #revision: number | null = null
  #lastRevision = 0
  readonly #timing: WatcherTiming
  #watchDelayMs: number
  /** The call in flight, so that a resync can abort it. */
  #call: Progress | null = null
  #isResyncing = false

  constructor (options: PrefixWatcherOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#getRandom = options.getRandom ?? Math.random
    this.#timing = { ...DEFAULT_TIMING, ...options.timing }
    this.#watchDelayMs = this.#timing.minRearmMs
    this.#backoff = new Backoff({ baseMs: this.#timing.backoffBaseMs, capMs: this.#timing.backoffCapMs, getRandom: this.#getRandom })
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: options.onError })
  }

  start (): void {
    this.#task.start()
  }

  async stop (): Promise<void> {
    await this.#task.stop()
  }

  /** Aborts the call in flight and lists all objects again at once. */
  startResync (): void {
    if (this.#revision !== null) {
      this.#isResyncing = true
      this.#call?.abort('the view is being resynced')
    }
    this.#task.notify()
  }

  /** Returns whether the view is in sync with the service; false before the first list and during an outage. */
  isSynced (): boolean {
    return this.#revision !== null
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const startedMs = this.#clock.getMonotonicMs()
    const succeeded = this.#revision === null ? await this.#list(signal) : await this.#watch(this.#revision, signal)
    if (!succeeded) {
      this.#revision = null
      return this.#clearResync() ? 0 : this.#backoff.advance()
    }
    this.#backoff.reset()
    const isFrequent = this.#clock.getMonotonicMs() - startedMs < FREQUENT_CHANGE_MS
    this.#watchDelayMs = isFrequent ? Math.min(this.#timing.maxRearmMs, 2 * this.#watchDelayMs) : this.#timing.minRearmMs
    return addJitter(this.#watchDelayMs, this.#getRandom)
  }

  async #list (signal: AbortSignal): Promise<boolean> {
    const { service, prefix, handleList } = this.#options
    const startedAt = readClock(this.#clock)
    const progress = this.#openCall(`listing ${prefix}`, this.#timing.listTimeoutMs, signal)
    const result = await service.list(prefix, progress)
    if (result.isErr) return this.#fail(result.error)
    if (signal.aborted || result.value.revision < this.#lastRevision) return false
    this.#isResyncing = false
    this.#setRevision(result.value.revision)
    handleList(result.value.objects, result.value.revision)
    this.#options.handleConfirmed?.(computeEarlierReading(startedAt, result.value.ageMs ?? 0))
    return true
  }

  async #watch (revision: number, signal: AbortSignal): Promise<boolean> {
    const { service, prefix, handleEvents } = this.#options
    const watchMs = Math.round(addJitter(this.#timing.watchMs, this.#getRandom))
    const startedAt = readClock(this.#clock)
    const progress = this.#openCall(`watching ${prefix}`, watchMs + this.#timing.watchGraceMs, signal)
    const result = await service.watch(prefix, revision, watchMs, progress)
    if (result.isErr) return this.#fail(result.error)
    if (signal.aborted || result.value.revision < revision) return false
    this.#setRevision(result.value.revision)
    if (result.value.events.length > 0) handleEvents(result.value.events)
    this.#options.handleConfirmed?.(computeEarlierReading(startedAt, result.value.ageMs ?? 0))
    return true
  }

  #openCall (title: string, timeoutMs: number, signal: AbortSignal): Progress {
    this.#call = new Progress({ title, timeoutMs, signal, clock: this.#clock })
    return this.#call
  }

  #fail (error: ObjectServiceError): false {
    if (!this.#isResyncing) this.#options.handleFailed?.(error)
    return false
  }

  #clearResync (): boolean {
    const wasResyncing = this.#isResyncing
    this.#isResyncing = false
    return wasResyncing
  }

  #setRevision (revision: number): void {
    this.#revision = revision
    this.#lastRevision = revision
  }
}
