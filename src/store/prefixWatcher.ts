import { systemClock } from '../base/clock'
import { computeEarlier, readClock } from '../base/clockReading'
import { Progress } from '../base/progress'

import { Backoff, addJitter } from './backoff'
import { BackgroundTask } from './backgroundTask'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'
import type { ObjectService, ObjectServiceError, StoredObject, WatchEvent } from './objectService'

export interface PrefixWatcherOptions {
  service: ObjectService
  prefix: string
  /** Takes the whole present state and its position; objects that are not listed are gone. */
  handleList: (objects: StoredObject[], revision: number) => void
  /** Takes changes in the order in which they were made. */
  handleEvents: (events: WatchEvent[]) => void
  /** Told that the view was the newest at a moment: the start of the call just answered, or before it where another process read. */
  handleConfirmed?: (startedAt: ClockReading) => void
  /** Told why a call gave nothing. */
  handleFailed?: (error: ObjectServiceError) => void
  onError?: (error: unknown) => void
  clock?: Clock
  getRandom?: () => number
  timing?: Partial<WatcherTiming>
}

/** How long the calls of a watcher wait, and how densely they come, in milliseconds. */
export interface WatcherTiming {
  /** For how long one watch waits for changes. */
  watchMs: number
  /** Time beyond that in which its answer must come. */
  watchGraceMs: number
  listTimeoutMs: number
  /** Delay before the next watch; it doubles while changes come densely, to bound the calls. */
  minRearmMs: number
  maxRearmMs: number
  /** Delays after a call that gave nothing. */
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
/** A watch that ends sooner than this shows that changes come densely. */
const FREQUENT_CHANGE_MS = 1_000

/**
 * Follows all objects below a prefix: lists them, then watches for changes, with a jittered re-arm.
 * After an outage or when the position is too old it lists again. While the service is down, or when
 * it answers with an older state than before, nothing is handed on, so that the last view stays.
 */
export class PrefixWatcher {
  readonly #options: PrefixWatcherOptions
  readonly #clock: Clock
  readonly #getRandom: () => number
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  /** Position to watch from; null when the next step must list. */
  #revision: number | null = null
  #lastRevision = 0
  readonly #timing: WatcherTiming
  #watchDelayMs: number
  /** The call under way, so that a refresh can end it. */
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

  /** Reads the whole state anew at once, in place of the call under way. */
  startResync (): void {
    if (this.#revision !== null) {
      this.#isResyncing = true
      this.#call?.abort('the view is read anew')
    }
    this.#task.notify()
  }

  /** Whether the view follows the service; false before the first list and during an outage. */
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
    this.#options.handleConfirmed?.(computeEarlier(startedAt, result.value.ageMs ?? 0))
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
    this.#options.handleConfirmed?.(computeEarlier(startedAt, result.value.ageMs ?? 0))
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
    const isRefreshing = this.#isResyncing
    this.#isResyncing = false
    return isRefreshing
  }

  #setRevision (revision: number): void {
    this.#revision = revision
    this.#lastRevision = revision
  }
}
