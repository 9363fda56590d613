import { Result } from 'true-myth'

import { readClock } from '../base/clockReading'
import { createUnavailable } from './objectServiceResponses'
import { ViewCache } from './viewCache'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ViewAnswer } from '../protocol/viewMessages'
import type { CallResult } from './objectServiceResponses'
import type { ListedInstance, ListedObjects, ObjectService, StoredObject, WatchBatch, WriteCondition } from './objectService'

/** Another process that reads the object service and serves its view to peers. */
export interface ViewReader {
  id: string
  listView (prefix: string, progress: Progress): Promise<Result<ViewAnswer, string>>
  watchView (prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<Result<ViewAnswer, string>>
}

export interface SharedViewServiceOptions {
  clock: Clock
  store: ObjectService
  /** Prefixes that may be read through a peer; all other calls go to the object service. */
  prefixes: readonly string[]
  /** Chooses the peer whose view to read; null to read the object service itself. */
  chooseReader: () => ViewReader | null
  handleAnswer: (reader: ViewReader) => void
  /** Called when a reader returned no usable view. */
  handleFailure: (reader: ViewReader, reason: string) => void
}

/**
 * Longest watch at a peer, in milliseconds. A change must be in force within 2 s. Within that time a
 * frozen reader or a stalled connection must be detected and the object service read directly.
 */
const PEER_WATCH_MS = 600
const PEER_WATCH_GRACE_MS = 300
/**
 * Largest age of a peer's view in milliseconds: two of the reader's own watches. An older view shows
 * that the reader has lost the object service.
 */
const MAX_PEER_VIEW_AGE_MS = 3_000
/**
 * Longest watch, in milliseconds, of a process whose view peers read. It bounds the time until the
 * process detects that it has lost the object service.
 */
const SERVING_WATCH_MS = 1_100
/**
 * Milliseconds without a call of a peer after which this process counts as having no followers. A
 * follower is a peer that reads the view of this process.
 */
const FOLLOWER_EXPIRY_MS = 10_000
const STOPPING_ANSWER: ViewAnswer = { kind: 'unavailable', reason: 'this gateway stops' }

/**
 * Reads the object service through another process of the failure domain if there is one, so that the
 * load on the object service does not grow with the number of processes. Falls back to the object
 * service when that process returns nothing, and serves its own reads to peers.
 */
export class SharedViewService implements ObjectService {
  readonly #options: SharedViewServiceOptions
  readonly #cache: ViewCache
  /** Last known position by prefix. A reader's list with an older position is rejected. */
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
    // a process with followers must list first when it starts to read by itself in the middle of a watch
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

  /** Answers a list request of a peer. */
  answerList (prefix: string): ViewAnswer {
    if (this.#isStopping) return STOPPING_ANSWER
    this.#lastFollowerCallAtMs = this.#options.clock.getMonotonicMs()
    return this.#cache.answerList(prefix)
  }

  /** Answers a watch request of a peer, as soon as there are changes. */
  async answerWatch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ViewAnswer> {
    if (this.#isStopping) return STOPPING_ANSWER
    this.#lastFollowerCallAtMs = this.#options.clock.getMonotonicMs()
    return await this.#cache.answerWatch(prefix, afterRevision, Math.min(waitMs, PEER_WATCH_MS), signal)
  }

  /** Stops serving the view to peers, so that they read elsewhere before this process stops. */
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
    const checked = this.#checkAnswer(reader, answer)
    if (checked.isErr) return Result.err(checked.error)
    if (checked.value.kind !== 'objects') return this.#fail(reader, `it answered a list request with '${checked.value.kind}'`)
    if (checked.value.revision < (this.#revisions.get(prefix) ?? 0)) return this.#fail(reader, 'its view is behind this gateway')
    return this.#recordRevision(prefix, Result.ok(checked.value))
  }

  async #watchFromPeer (reader: ViewReader, prefix: string, afterRevision: number, waitMs: number, progress: Progress): Promise<CallResult<WatchBatch>> {
    const answer = await reader.watchView(prefix, afterRevision, waitMs, createPeerProgress(progress))
    const checked = this.#checkAnswer(reader, answer)
    if (checked.isErr) return Result.err(checked.error)
    if (checked.value.kind !== 'changes') return this.#fail(reader, `it answered a watch request with '${checked.value.kind}'`)
    return this.#recordRevision(prefix, Result.ok(checked.value))
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

/** Limits the time of a call to a peer. The caller's own deadline is meant for the object service and is longer. */
function createPeerProgress (progress: Progress): Progress {
  return progress.createChild('reading the view of another gateway', PEER_WATCH_MS + PEER_WATCH_GRACE_MS)
}
