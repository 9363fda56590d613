import { computeElapsedMs, hasDrifted } from '../base/clockReading'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'
import type { ViewAnswer } from '../protocol/viewMessages'
import type { ListedObjects, StoredObject, WatchBatch, WatchEvent } from './objectService'

/** The objects below one prefix, as this process read them. */
interface PrefixView {
  objects: Map<string, StoredObject>
  /** Changes since `oldestRevision`, in the order of arrival. */
  batches: Array<{ afterRevision: number, revision: number, events: WatchEvent[] }>
  oldestRevision: number
  revision: number
  confirmedAt: ClockReading
}

/** Largest number of change batches kept for peers: many seconds of changes, even when they are frequent. */
const MAX_BATCHES = 100

/**
 * Caches what this process reads from the object service itself, and serves it to peers. It serves no
 * view whose last call failed, and no view that another process read.
 *
 * @example
 * cache.recordList('servers/', listed, startedAt)
 * cache.answerList('servers/') // { kind: 'objects', objects, revision, ageMs: 3 }
 */
export class ViewCache {
  readonly #clock: Clock
  readonly #views = new Map<string, PrefixView>()
  readonly #waiters = new Set<() => void>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  recordList (prefix: string, listed: ListedObjects, startedAt: ClockReading): void {
    const { revision } = listed
    const objects = new Map(listed.objects.map(object => [object.key, object]))
    this.#views.set(prefix, { objects, batches: [], oldestRevision: revision, revision, confirmedAt: startedAt })
    this.#notifyWaiters()
  }

  recordChanges (prefix: string, afterRevision: number, batch: WatchBatch, startedAt: ClockReading): void {
    const view = this.#views.get(prefix)
    if (view === undefined) return
    if (view.revision !== afterRevision) return this.dropView(prefix)
    view.confirmedAt = startedAt
    view.revision = batch.revision
    if (batch.events.length === 0 && batch.revision === afterRevision) return
    view.batches.push({ afterRevision, revision: batch.revision, events: batch.events })
    if (view.batches.length > MAX_BATCHES) view.oldestRevision = view.batches.shift()!.revision
    for (const event of batch.events) applyEvent(view.objects, event)
    this.#notifyWaiters()
  }

  /** Drops a view that may be outdated, for example after a failed call. */
  dropView (prefix: string): void {
    if (this.#views.delete(prefix)) this.#notifyWaiters()
  }

  /** Drops all views, when this process no longer reads the object service itself. */
  clear (): void {
    this.#views.clear()
    this.#notifyWaiters()
  }

  /** Returns whether there is a view of the prefix to serve. */
  hasView (prefix: string): boolean {
    return this.#views.has(prefix)
  }

  answerList (prefix: string): ViewAnswer {
    const view = this.#views.get(prefix)
    if (view === undefined) return createUnavailable()
    const ageMs = this.#computeAgeMs(view)
    return ageMs === null ? createUnavailable() : { kind: 'objects', objects: [...view.objects.values()], revision: view.revision, ageMs }
  }

  /** Answers as soon as there are changes after `afterRevision`, or after `waitMs`, or when `signal` fires. */
  async answerWatch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ViewAnswer> {
    const untilMs = this.#clock.getMonotonicMs() + waitMs
    let remainingMs = waitMs
    for (;;) {
      const answer = this.#findChanges(prefix, afterRevision)
      const isEmpty = answer.kind === 'changes' && answer.revision <= afterRevision
      if (!isEmpty) return answer
      // a peer that is ahead of this view already has everything in it, so the view's age holds for its position too
      if (remainingMs <= 0 || signal.aborted) return { ...answer, revision: afterRevision }
      const hasChanged = await this.#waitForChange(remainingMs, signal)
      remainingMs = hasChanged ? untilMs - this.#clock.getMonotonicMs() : 0
    }
  }

  #findChanges (prefix: string, afterRevision: number): ViewAnswer {
    const view = this.#views.get(prefix)
    if (view === undefined) return createUnavailable()
    const ageMs = this.#computeAgeMs(view)
    if (ageMs === null) return createUnavailable()
    if (afterRevision >= view.revision) return { kind: 'changes', events: [], revision: view.revision, ageMs }
    const isBoundary = afterRevision === view.oldestRevision || view.batches.some(batch => batch.revision === afterRevision)
    if (!isBoundary) return { kind: 'positionGone' }
    const events = view.batches.filter(batch => batch.revision > afterRevision).flatMap(batch => batch.events)
    return { kind: 'changes', events, revision: view.revision, ageMs }
  }

  /** Returns the age of the view; null when the clocks have drifted apart, since the process may have been suspended. */
  #computeAgeMs (view: PrefixView): number | null {
    return hasDrifted(view.confirmedAt, this.#clock) ? null : Math.max(0, computeElapsedMs(view.confirmedAt, this.#clock))
  }

  /** Returns whether a view changed before the timeout. */
  async #waitForChange (timeoutMs: number, signal: AbortSignal): Promise<boolean> {
    return await new Promise(resolve => {
      const finish = (hasChanged: boolean) => {
        clearTimeout(timer)
        this.#waiters.delete(handleChange)
        signal.removeEventListener('abort', handleAbort)
        resolve(hasChanged)
      }
      const handleChange = () => finish(true)
      const handleAbort = () => finish(false)
      const timer = setTimeout(handleAbort, timeoutMs)
      this.#waiters.add(handleChange)
      signal.addEventListener('abort', handleAbort, { once: true })
    })
  }

  #notifyWaiters (): void {
    for (const finish of [...this.#waiters]) finish()
  }
}

function applyEvent (objects: Map<string, StoredObject>, event: WatchEvent): void {
  switch (event.kind) {
    case 'put':
      objects.set(event.object.key, event.object)
      break
    case 'delete':
      objects.delete(event.key)
      break
  }
}

function createUnavailable (): ViewAnswer {
  return { kind: 'unavailable', reason: 'this gateway does not read the store itself now' }
}
