import { systemClock } from '../base/clock'
import { Progress } from '../base/progress'

import { Backoff, spreadPeriod } from './backoff'
import { BackgroundTask } from './backgroundTask'

import type { Clock } from '../base/clock'
import type { ObjectService, StoredObject, WatchEvent } from './objectService'

export interface PrefixWatcherOptions {
  service: ObjectService
  prefix: string
  /** Takes the whole present state; objects that are not listed are gone. */
  handleList: (objects: StoredObject[]) => void
  /** Takes changes in the order in which they were made. */
  handleEvents: (events: WatchEvent[]) => void
  onError?: (error: unknown) => void
  clock?: Clock
  getRandom?: () => number
  /** Milliseconds for which one watch waits. */
  watchMs?: number
}

const DEFAULT_WATCH_MS = 30_000
const LIST_TIMEOUT_MS = 10_000
const WATCH_GRACE_MS = 5_000
const BACKOFF_BASE_MS = 500
const BACKOFF_CAP_MS = 10_000
/** Delay before the next watch; it doubles while changes come densely, to bound the calls. */
const MIN_REARM_MS = 200
const MAX_REARM_MS = 2_000
/** A watch that ends sooner than this shows that changes come densely. */
const DENSE_WATCH_MS = 1_000

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
  #rearmMs = MIN_REARM_MS

  constructor (options: PrefixWatcherOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#getRandom = options.getRandom ?? Math.random
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom: this.#getRandom })
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: options.onError })
  }

  start (): void {
    this.#task.start()
  }

  async stop (): Promise<void> {
    await this.#task.stop()
  }

  /** Whether the view follows the service; false before the first list and during an outage. */
  isFollowing (): boolean {
    return this.#revision !== null
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const startedMs = this.#clock.getMonotonicMs()
    const succeeded = this.#revision === null ? await this.#list(signal) : await this.#watch(this.#revision, signal)
    if (!succeeded) {
      this.#revision = null
      return this.#backoff.advance()
    }
    this.#backoff.reset()
    const isDense = this.#clock.getMonotonicMs() - startedMs < DENSE_WATCH_MS
    this.#rearmMs = isDense ? Math.min(MAX_REARM_MS, 2 * this.#rearmMs) : MIN_REARM_MS
    return spreadPeriod(this.#rearmMs, this.#getRandom)
  }

  async #list (signal: AbortSignal): Promise<boolean> {
    const { service, prefix, handleList } = this.#options
    const result = await service.list(prefix, new Progress({ title: `listing ${prefix}`, timeoutMs: LIST_TIMEOUT_MS, signal }))
    if (result.isErr || signal.aborted || result.value.revision < this.#lastRevision) return false
    this.#setRevision(result.value.revision)
    handleList(result.value.objects)
    return true
  }

  async #watch (revision: number, signal: AbortSignal): Promise<boolean> {
    const { service, prefix, handleEvents } = this.#options
    const watchMs = spreadPeriod(this.#options.watchMs ?? DEFAULT_WATCH_MS, this.#getRandom)
    const progress = new Progress({ title: `watching ${prefix}`, timeoutMs: watchMs + WATCH_GRACE_MS, signal })
    const result = await service.watch(prefix, revision, watchMs, progress)
    if (result.isErr || signal.aborted) return false
    if (result.value.revision < revision) return false
    this.#setRevision(result.value.revision)
    if (result.value.events.length > 0) handleEvents(result.value.events)
    return true
  }

  #setRevision (revision: number): void {
    this.#revision = revision
    this.#lastRevision = revision
  }
}
