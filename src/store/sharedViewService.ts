import { Result } from 'true-myth'

import { readClock } from '../base/clockReading'
import { createUnavailable } from './objectServiceAnswers'
import { ViewCache } from './viewCache'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ViewAnswer } from '../protocol/viewMessages'
import type { CallResult } from './objectServiceAnswers'
import type { ListedInstance, ListedObjects, ObjectService, StoredObject, WatchBatch, WriteCondition } from './objectService'

/** Another process that reads the store and hands on what it reads. */
export interface ViewReader {
  id: string
  listView (prefix: string, progress: Progress): Promise<Result<ViewAnswer, string>>
  watchView (prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<Result<ViewAnswer, string>>
}

/** Whether changes must be in force within seconds, or only help where they come soon. */
export type ViewUrgency = 'prompt' | 'relaxed'

interface ViewTiming {
  /** How long a reader may hold a follower's watch. */
  peerWatchMs: number
  /** Age of a view that shows that its reader has lost the store. */
  maxAgeMs: number
  /** Longest watch of a process that others follow, so that it notices in time when it has lost the store. */
  readerWatchMs: number
}

export interface SharedViewServiceOptions {
  clock: Clock
  store: ObjectService
  /** Prefixes that are read through others, with how soon their changes must be known; all else goes to the store. */
  prefixes: ReadonlyMap<string, ViewUrgency>
  /** Chooses whose view to follow; null for the store itself. */
  chooseReader: () => ViewReader | null
  handleAnswer: (reader: ViewReader) => void
  /** Told that a reader gave no usable view. */
  handleFailure: (reader: ViewReader, reason: string) => void
}

/**
 * How long a reader may hold a watch. A reader that froze or whose connection fell silent must be
 * noticed, and the store read in its place, well inside the 2 s in which a change has to be in force.
 */
const TIMINGS: Record<ViewUrgency, ViewTiming> = {
  prompt: { peerWatchMs: 600, maxAgeMs: 3_000, readerWatchMs: 1_100 },
  relaxed: { peerWatchMs: 5_000, maxAgeMs: 30_000, readerWatchMs: 10_000 }
}
const PEER_GRACE_MS = 300
/** Least time for a call that waits for nothing: a busy reader takes some. */
const MIN_CALL_MS = 600
/** Time since the last question after which nobody follows this process any more. */
const FOLLOWED_MS = 10_000
const LEAVING: ViewAnswer = { kind: 'unavailable', reason: 'this gateway stops' }

/**
 * The store, read through another process of the failure domain where there is one, so that the calls
 * of the store do not grow with the processes. Falls back to the store itself whenever the other gives
 * nothing, and serves what it reads itself to others.
 */
export class SharedViewService implements ObjectService {
  readonly #options: SharedViewServiceOptions
  readonly #cache: ViewCache
  /** Last position in the store by prefix, behind which no reader's list may lead. */
  readonly #revisions = new Map<string, number>()
  #followedAtMs = -Infinity
  #isLeaving = false

  constructor (options: SharedViewServiceOptions) {
    this.#options = options
    this.#cache = new ViewCache(options.clock)
  }

  async list (prefix: string, progress: Progress): Promise<CallResult<ListedObjects>> {
    const reader = this.#chooseReader(prefix)
    if (reader !== null) return await this.#listByReader(reader, prefix, progress)
    const startedAt = readClock(this.#options.clock)
    const listed = await this.#options.store.list(prefix, progress)
    if (listed.isErr) this.#cache.recordLost(prefix)
    else this.#cache.recordList(prefix, listed.value, startedAt)
    return this.#recordRevision(prefix, listed)
  }

  async watch (prefix: string, afterRevision: number, timeoutMs: number, progress: Progress): Promise<CallResult<WatchBatch>> {
    const reader = this.#chooseReader(prefix)
    if (reader !== null) return await this.#watchByReader(reader, prefix, afterRevision, Math.min(timeoutMs, this.#getTiming(prefix).peerWatchMs), progress)
    // a process that others follow lists anew when it began to read by itself in the middle of a watch
    if (this.#isFollowed() && !this.#cache.hasView(prefix)) return Result.err({ kind: 'conflict', current: null })
    const startedAt = readClock(this.#options.clock)
    const waitMs = this.#isFollowed() ? Math.min(timeoutMs, this.#getTiming(prefix).readerWatchMs) : timeoutMs
    const batch = await this.#options.store.watch(prefix, afterRevision, waitMs, progress)
    if (batch.isErr) this.#cache.recordLost(prefix)
    else this.#cache.recordChanges(prefix, afterRevision, batch.value, startedAt)
    return this.#recordRevision(prefix, batch)
  }

  async get (key: string, progress: Progress): Promise<CallResult<StoredObject | null>> {
    return await this.#options.store.get(key, progress)
  }

  async put (key: string, value: unknown, condition: WriteCondition, progress: Progress): Promise<CallResult<{ version: number }>> {
    return await this.#options.store.put(key, value, condition, progress)
  }

  async delete (key: string, version: number, progress: Progress): Promise<CallResult<null>> {
    return await this.#options.store.delete(key, version, progress)
  }

  async listInstances (progress: Progress): Promise<CallResult<ListedInstance[]>> {
    return await this.#options.store.listInstances(progress)
  }

  /** Answers a process that follows this one. */
  answerList (prefix: string): ViewAnswer {
    if (this.#isLeaving) return LEAVING
    this.#followedAtMs = this.#options.clock.getMonotonicMs()
    return this.#cache.answerList(prefix)
  }

  /** Answers a process that follows this one, as soon as there is something new. */
  async answerWatch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ViewAnswer> {
    if (this.#isLeaving) return LEAVING
    this.#followedAtMs = this.#options.clock.getMonotonicMs()
    return await this.#cache.answerWatch(prefix, afterRevision, Math.min(waitMs, this.#getTiming(prefix).peerWatchMs), signal)
  }

  /** Sends those who follow this process elsewhere, since it stops. */
  stopServing (): void {
    this.#isLeaving = true
    this.#cache.clear()
  }

  #chooseReader (prefix: string): ViewReader | null {
    if (this.#isLeaving || !this.#options.prefixes.has(prefix)) return null
    const reader = this.#options.chooseReader()
    if (reader !== null) this.#cache.clear()
    return reader
  }

  #getTiming (prefix: string): ViewTiming {
    return TIMINGS[this.#options.prefixes.get(prefix) ?? 'prompt']
  }

  #recordRevision<T extends { revision: number }> (prefix: string, result: CallResult<T>): CallResult<T> {
    if (result.isOk) this.#revisions.set(prefix, Math.max(result.value.revision, this.#revisions.get(prefix) ?? 0))
    return result
  }

  #isFollowed (): boolean {
    return !this.#isLeaving && this.#options.clock.getMonotonicMs() - this.#followedAtMs < FOLLOWED_MS
  }

  async #listByReader (reader: ViewReader, prefix: string, progress: Progress): Promise<CallResult<ListedObjects>> {
    const answer = await reader.listView(prefix, openCall(progress, 0))
    const found = this.#checkAnswer(reader, prefix, answer)
    if (found.isErr) return Result.err(found.error)
    if (found.value.kind !== 'objects') return this.#fail(reader, `it answered a list by '${found.value.kind}'`)
    if (found.value.revision < (this.#revisions.get(prefix) ?? 0)) return this.#fail(reader, 'it knows less than this gateway')
    return this.#recordRevision(prefix, Result.ok(found.value))
  }

  async #watchByReader (reader: ViewReader, prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<CallResult<WatchBatch>> {
    const answer = await reader.watchView(prefix, afterRevision, waitMs, openCall(progress, waitMs))
    const found = this.#checkAnswer(reader, prefix, answer)
    if (found.isErr) return Result.err(found.error)
    if (found.value.kind !== 'changes') return this.#fail(reader, `it answered a watch by '${found.value.kind}'`)
    return this.#recordRevision(prefix, Result.ok(found.value))
  }

  #checkAnswer (reader: ViewReader, prefix: string, answer: Result<ViewAnswer, string>): CallResult<Extract<ViewAnswer, { ageMs: number }>> {
    if (answer.isErr) return this.#fail(reader, answer.error)
    switch (answer.value.kind) {
      case 'unavailable': return this.#fail(reader, answer.value.reason)
      case 'positionGone': return Result.err({ kind: 'conflict', current: null })
      case 'objects':
      case 'changes':
        if (answer.value.ageMs > this.#getTiming(prefix).maxAgeMs) return this.#fail(reader, `its view is ${Math.round(answer.value.ageMs)} ms old`)
        this.#options.handleAnswer(reader)
        return Result.ok(answer.value)
    }
  }

  #fail<T> (reader: ViewReader, reason: string): CallResult<T> {
    this.#options.handleFailure(reader, reason)
    return createUnavailable(`${reader.id}: ${reason}`)
  }
}

/** Bounds a call of another process; its caller's own deadline is made for the store. */
function openCall (progress: Progress, waitMs: number): Progress {
  return progress.openPart('asking another gateway', Math.max(MIN_CALL_MS, waitMs) + PEER_GRACE_MS)
}
