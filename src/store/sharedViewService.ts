import { Result } from 'true-myth'

import { readClock } from '../base/clockReading'
import { createUnavailable } from './objectServiceResponses'
import { ViewCache } from './viewCache'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ViewAnswer } from '../protocol/viewMessages'
import type { CallResult } from './objectServiceResponses'
import type { ListedInstance, ListedObjects, ObjectService, StoredObject, WatchBatch, WriteCondition } from './objectService'

/** Another process that reads the store and hands on what it reads. */
export interface ViewReader {
  id: string
  listView (prefix: string, progress: Progress): Promise<Result<ViewAnswer, string>>
  watchView (prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<Result<ViewAnswer, string>>
}

export interface SharedViewServiceOptions {
  clock: Clock
  store: ObjectService
  /** Prefixes that are read through others; all else goes to the store. */
  prefixes: readonly string[]
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
const PEER_WATCH_MS = 600
const PEER_WATCH_GRACE_MS = 300
/** A view older than this shows that its reader has lost the store: two of the reader's own watches. */
const MAX_PEER_VIEW_AGE_MS = 3_000
/** Longest watch of a process that others follow, so that it notices soon when it has lost the store. */
const SERVING_WATCH_MS = 1_100
/** Time since the last question after which nobody follows this process any more. */
const FOLLOWER_EXPIRY_MS = 10_000
const STOPPING_ANSWER: ViewAnswer = { kind: 'unavailable', reason: 'this gateway stops' }

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
  #lastFollowerCallAtMs = -Infinity
  #isStopping = false

  constructor (options: SharedViewServiceOptions) {
    this.#options = options
    this.#cache = new ViewCache(options.clock)
  }

  async list (prefix: string, progress: Progress): Promise<CallResult<ListedObjects>> {
    const reader = this.#chooseReader(prefix)
    if (reader !== null) return await this.#listFromPeer(reader, prefix, progress)
    const startedAt = readClock(this.#options.clock)
    const listed = await this.#options.store.list(prefix, progress)
    if (listed.isErr) this.#cache.dropView(prefix)
    else this.#cache.recordList(prefix, listed.value, startedAt)
    return this.#recordRevision(prefix, listed)
  }

  async watch (prefix: string, afterRevision: number, timeoutMs: number, progress: Progress): Promise<CallResult<WatchBatch>> {
    const reader = this.#chooseReader(prefix)
    if (reader !== null) return await this.#watchFromPeer(reader, prefix, afterRevision, Math.min(timeoutMs, PEER_WATCH_MS), progress)
    // a process that others follow lists anew when it began to read by itself in the middle of a watch
    if (this.#hasFollowers() && !this.#cache.hasView(prefix)) return Result.err({ kind: 'conflict', current: null })
    const startedAt = readClock(this.#options.clock)
    const waitMs = this.#hasFollowers() ? Math.min(timeoutMs, SERVING_WATCH_MS) : timeoutMs
    const batch = await this.#options.store.watch(prefix, afterRevision, waitMs, progress)
    if (batch.isErr) this.#cache.dropView(prefix)
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
    if (this.#isStopping) return STOPPING_ANSWER
    this.#lastFollowerCallAtMs = this.#options.clock.getMonotonicMs()
    return this.#cache.answerList(prefix)
  }

  /** Answers a process that follows this one, as soon as there is something new. */
  async answerWatch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ViewAnswer> {
    if (this.#isStopping) return STOPPING_ANSWER
    this.#lastFollowerCallAtMs = this.#options.clock.getMonotonicMs()
    return await this.#cache.answerWatch(prefix, afterRevision, Math.min(waitMs, PEER_WATCH_MS), signal)
  }

  /** Sends those who follow this process elsewhere, since it stops. */
  stopServing (): void {
    this.#isStopping = true
    this.#cache.clear()
  }

  #chooseReader (prefix: string): ViewReader | null {
    if (this.#isStopping || !this.#options.prefixes.includes(prefix)) return null
    const reader = this.#options.chooseReader()
    if (reader !== null) this.#cache.clear()
    return reader
  }

  #recordRevision<T extends { revision: number }> (prefix: string, result: CallResult<T>): CallResult<T> {
    if (result.isOk) this.#revisions.set(prefix, Math.max(result.value.revision, this.#revisions.get(prefix) ?? 0))
    return result
  }

  #hasFollowers (): boolean {
    return !this.#isStopping && this.#options.clock.getMonotonicMs() - this.#lastFollowerCallAtMs < FOLLOWER_EXPIRY_MS
  }

  async #listFromPeer (reader: ViewReader, prefix: string, progress: Progress): Promise<CallResult<ListedObjects>> {
    const answer = await reader.listView(prefix, createPeerProgress(progress))
    const found = this.#checkAnswer(reader, answer)
    if (found.isErr) return Result.err(found.error)
    if (found.value.kind !== 'objects') return this.#fail(reader, `it answered a list by '${found.value.kind}'`)
    if (found.value.revision < (this.#revisions.get(prefix) ?? 0)) return this.#fail(reader, 'it knows less than this gateway')
    return this.#recordRevision(prefix, Result.ok(found.value))
  }

  async #watchFromPeer (reader: ViewReader, prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<CallResult<WatchBatch>> {
    const answer = await reader.watchView(prefix, afterRevision, waitMs, createPeerProgress(progress))
    const found = this.#checkAnswer(reader, answer)
    if (found.isErr) return Result.err(found.error)
    if (found.value.kind !== 'changes') return this.#fail(reader, `it answered a watch by '${found.value.kind}'`)
    return this.#recordRevision(prefix, Result.ok(found.value))
  }

  #checkAnswer (reader: ViewReader, answer: Result<ViewAnswer, string>): CallResult<Extract<ViewAnswer, { ageMs: number }>> {
    if (answer.isErr) return this.#fail(reader, answer.error)
    switch (answer.value.kind) {
      case 'unavailable': return this.#fail(reader, answer.value.reason)
      case 'positionGone': return Result.err({ kind: 'conflict', current: null })
      case 'objects':
      case 'changes':
        if (answer.value.ageMs > MAX_PEER_VIEW_AGE_MS) return this.#fail(reader, `its view is ${Math.round(answer.value.ageMs)} ms old`)
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
function createPeerProgress (progress: Progress): Progress {
  return progress.openPart('asking another gateway', PEER_WATCH_MS + PEER_WATCH_GRACE_MS)
}
