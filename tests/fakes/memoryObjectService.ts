import { Result } from 'true-myth'

import type { Progress } from '../../src/base/progress'
import type { ListedInstance, ObjectService, ObjectServiceError, StoredObject, WatchBatch, WatchEvent, WriteCondition } from '../../src/store/objectService'

const MAX_VALUE_BYTES = 1_048_576

/** Faults of one connection to the store; each can be switched at any time. */
export interface ServiceFaults {
  /** Every call is refused. */
  outage: boolean
  /** Number of next writes that are applied while their responses are lost. */
  lostAnswers: number
  /** Number of next writes that are lost: not applied, and without a response. */
  lostWrites: number
  /** Watches return no events until this is false again. */
  holdWatches: boolean
  /** Batches that the next watches return at once, regardless of the store's contents. */
  injectedBatches: WatchBatch[]
  /** Called before each write is applied, for example to let another writer win the race. */
  beforePut: ((key: string) => Promise<void>) | null
}

/** Objects in memory, shared by all connections of one test. */
export class MemoryObjectStore {
  readonly objects = new Map<string, StoredObject>()
  readonly instances: ListedInstance[] = []
  readonly events: WatchEvent[] = []
  readonly #lastVersions = new Map<string, number>()
  readonly #listeners = new Set<() => void>()

  get revision (): number {
    return this.events.length
  }

  put (key: string, value: unknown): StoredObject {
    const object = { key, version: this.#createVersion(key), value: structuredClone(value) }
    this.objects.set(key, object)
    this.#append({ kind: 'put', object })
    return object
  }

  delete (key: string): void {
    this.objects.delete(key)
    this.#append({ kind: 'delete', key, version: this.#createVersion(key) })
  }

  /** Calls `listener` after each change and each `notify`; returns a function that removes the listener. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Wakes all waiting watches, so that they re-check their faults. */
  notify (): void {
    for (const listener of [...this.#listeners]) listener()
  }

  #createVersion (key: string): number {
    const version = (this.#lastVersions.get(key) ?? 0) + 1
    this.#lastVersions.set(key, version)
    return version
  }

  #append (event: WatchEvent): void {
    this.events.push(event)
    this.notify()
  }
}

/**
 * Connection of one process to a store in memory, with switchable faults.
 *
 * @example
 * const store = new MemoryObjectStore()
 * const service = new MemoryObjectService(store)
 * service.setFaults({ outage: true })
 */
export class MemoryObjectService implements ObjectService {
  readonly store: MemoryObjectStore
  /** Number of calls by kind, including refused ones. */
  readonly calls = { get: 0, list: 0, put: 0, delete: 0, watch: 0, listInstances: 0 }
  /** Keys read and written, in order. */
  readonly log: string[] = []
  readonly faults: ServiceFaults = {
    outage: false, lostAnswers: 0, lostWrites: 0, holdWatches: false, injectedBatches: [], beforePut: null
  }

  constructor (store = new MemoryObjectStore()) {
    this.store = store
  }

  /** Switches faults and wakes the waiting watches. */
  setFaults (faults: Partial<ServiceFaults>): void {
    Object.assign(this.faults, faults)
    this.store.notify()
  }

  async get (key: string, _progress: Progress): Promise<Result<StoredObject | null, ObjectServiceError>> {
    this.#record('get', key)
    if (this.faults.outage) return createOutageError()
    return Result.ok(structuredClone(this.store.objects.get(key) ?? null))
  }

  async list (prefix: string, _progress: Progress): Promise<Result<{ objects: StoredObject[], revision: number }, ObjectServiceError>> {
    this.#record('list', prefix)
    if (this.faults.outage) return createOutageError()
    const objects = [...this.store.objects.values()].filter(object => object.key.startsWith(prefix))
    return Result.ok(structuredClone({ objects, revision: this.store.revision }))
  }

  async put (key: string, value: unknown, condition: WriteCondition, _progress: Progress): Promise<Result<{ version: number }, ObjectServiceError>> {
    this.#record('put', key)
    if (this.faults.outage) return createOutageError()
    await this.faults.beforePut?.(key)
    if (JSON.stringify(value).length > MAX_VALUE_BYTES) return createError(`the value of ${key} is larger than one megabyte`)
    if (this.#takeFault('lostWrites')) return createUnknownOutcome(key)
    const current = this.store.objects.get(key) ?? null
    if (!isConditionMet(condition, current)) {
      if (this.#takeFault('lostAnswers')) return createUnknownOutcome(key)
      return Result.err({ kind: 'conflict', current: structuredClone(current) })
    }
    const { version } = this.store.put(key, value)
    return this.#takeFault('lostAnswers') ? createUnknownOutcome(key) : Result.ok({ version })
  }

  async delete (key: string, version: number, _progress: Progress): Promise<Result<null, ObjectServiceError>> {
    this.#record('delete', key)
    if (this.faults.outage) return createOutageError()
    const current = this.store.objects.get(key) ?? null
    if (current?.version !== version) return Result.err({ kind: 'conflict', current: structuredClone(current) })
    this.store.delete(key)
    return this.#takeFault('lostAnswers') ? createUnknownOutcome(key) : Result.ok(null)
  }

  async watch (prefix: string, afterRevision: number, timeoutMs: number, progress: Progress): Promise<Result<WatchBatch, ObjectServiceError>> {
    this.#record('watch', prefix)
    const injected = this.faults.injectedBatches.shift()
    if (injected !== undefined) return Result.ok(injected)
    if (this.faults.outage) return createOutageError()
    return await new Promise(resolve => {
      const finish = (result: Result<WatchBatch, ObjectServiceError>) => {
        clearTimeout(timer)
        stopWatch()
        progress.signal.removeEventListener('abort', handleAbort)
        resolve(result)
      }
      const handleAbort = () => finish(createError('the watch was aborted'))
      const check = () => {
        if (this.faults.outage) return finish(createOutageError())
        if (this.faults.holdWatches) return
        const events = this.#listEvents(prefix, afterRevision)
        if (events.length > 0) finish(Result.ok({ events, revision: this.store.revision }))
      }
      const timer = setTimeout(() => finish(Result.ok({ events: [], revision: afterRevision })), timeoutMs)
      const stopWatch = this.store.watch(check)
      progress.signal.addEventListener('abort', handleAbort, { once: true })
      if (progress.signal.aborted) return handleAbort()
      check()
    })
  }

  async listInstances (_progress: Progress): Promise<Result<ListedInstance[], ObjectServiceError>> {
    this.#record('listInstances', '')
    if (this.faults.outage) return createOutageError()
    return Result.ok(structuredClone(this.store.instances))
  }

  #listEvents (prefix: string, afterRevision: number): WatchEvent[] {
    const events = this.store.events.slice(afterRevision)
    return structuredClone(events.filter(event => (event.kind === 'put' ? event.object.key : event.key).startsWith(prefix)))
  }

  #record (kind: keyof MemoryObjectService['calls'], key: string): void {
    this.calls[kind] += 1
    this.log.push(`${kind} ${key}`)
  }

  #takeFault (kind: 'lostAnswers' | 'lostWrites'): boolean {
    if (this.faults[kind] <= 0) return false
    this.faults[kind] -= 1
    return true
  }
}

function isConditionMet (condition: WriteCondition, current: StoredObject | null): boolean {
  switch (condition.kind) {
    case 'absent': return current === null
    case 'version': return current?.version === condition.version
  }
}

function createOutageError<T> (): Result<T, ObjectServiceError> {
  return createError('the platform is unavailable')
}

function createError<T> (message: string): Result<T, ObjectServiceError> {
  return Result.err({ kind: 'unavailable', message })
}

function createUnknownOutcome<T> (key: string): Result<T, ObjectServiceError> {
  return Result.err({ kind: 'unknownOutcome', message: `no response to the write of ${key}` })
}
