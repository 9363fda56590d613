import type { StoredObject, WatchBatch, WatchEvent, WriteCondition } from '../../src/store/objectService'

export type WriteResult =
  | { kind: 'written', version: number }
  | { kind: 'conflict', current: StoredObject | null }

export type EventsResult =
  | { kind: 'events', batch: WatchBatch }
  | { kind: 'tooOld' }

interface HistoryEntry {
  revision: number
  event: WatchEvent
}

export interface ObjectStoreOptions {
  /** Minimum number of recent changes kept for watches. */
  historyLength: number
}

/** Stores versioned objects with a bounded history of changes. The versions of a key increase across deletes. */
export class ObjectStore {
  readonly #historyLength: number
  readonly #objects = new Map<string, StoredObject>()
  readonly #versions = new Map<string, number>()
  #history: HistoryEntry[] = []
  #revision = 0

  constructor (options: ObjectStoreOptions) {
    this.#historyLength = options.historyLength
  }

  get revision (): number {
    return this.#revision
  }

  get (key: string): StoredObject | null {
    return this.#objects.get(key) ?? null
  }

  list (prefix: string): StoredObject[] {
    const found = [...this.#objects.values()].filter(object => object.key.startsWith(prefix))
    return found.sort((left, right) => left.key < right.key ? -1 : 1)
  }

  /** Returns the changes under `prefix` after revision `after`. */
  readEvents (prefix: string, after: number): EventsResult {
    const oldestKept = this.#history[0]?.revision ?? this.#revision + 1
    if (after < oldestKept - 1 || after > this.#revision) return { kind: 'tooOld' }
    const events = this.#history
      .filter(entry => entry.revision > after && getEventKey(entry.event).startsWith(prefix))
      .map(entry => entry.event)
    return { kind: 'events', batch: { events, revision: this.#revision } }
  }

  /** Finds the last change to `key` before `version`; returns null if the history holds none. */
  findOlderEvent (key: string, version: number): WatchEvent | null {
    const older = this.#history.filter(({ event }) => getEventKey(event) === key && getEventVersion(event) < version)
    return older.at(-1)?.event ?? null
  }

  put (key: string, value: unknown, condition: WriteCondition): WriteResult {
    const current = this.get(key)
    if (!isConditionMet(condition, current)) return { kind: 'conflict', current }
    const version = this.#advanceVersion(key)
    const object = { key, version, value }
    this.#objects.set(key, object)
    this.#append({ kind: 'put', object })
    return { kind: 'written', version }
  }

  delete (key: string, version: number): WriteResult {
    const current = this.get(key)
    if (current?.version !== version) return { kind: 'conflict', current }
    this.#objects.delete(key)
    const deletedVersion = this.#advanceVersion(key)
    this.#append({ kind: 'delete', key, version: deletedVersion })
    return { kind: 'written', version: deletedVersion }
  }

  #advanceVersion (key: string): number {
    const version = (this.#versions.get(key) ?? 0) + 1
    this.#versions.set(key, version)
    return version
  }

  #append (event: WatchEvent): void {
    this.#revision += 1
    this.#history.push({ revision: this.#revision, event })
    if (this.#history.length > 2 * this.#historyLength) this.#history = this.#history.slice(-this.#historyLength)
  }
}

export function getEventKey (event: WatchEvent): string {
  return event.kind === 'put' ? event.object.key : event.key
}

export function getEventVersion (event: WatchEvent): number {
  return event.kind === 'put' ? event.object.version : event.version
}

function isConditionMet (condition: WriteCondition, current: StoredObject | null): boolean {
  switch (condition.kind) {
    case 'absent': return current === null
    case 'version': return current?.version === condition.version
  }
}
