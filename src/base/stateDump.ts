import { stringify } from 'yaml'

/** State of a process by section name. */
export type StateSections = Record<string, unknown>

const MAX_LIST_ITEMS = 500

/**
 * Collects the state of each component of a process for a dump on request.
 *
 * @example
 * const dump = new StateDump()
 * dump.register('queue', () => queue.readState())
 */
export class StateDump {
  readonly #sections = new Map<string, () => unknown>()

  /** Registers a section; `read` returns its state as plain data, without prompts or keys. */
  register (name: string, read: () => unknown): void {
    if (this.#sections.has(name)) throw new Error(`the state dump already has a section '${name}'`)
    this.#sections.set(name, read)
  }

  /** Reads every section; one that fails contains its error and does not affect the others. */
  readAll (): StateSections {
    return Object.fromEntries([...this.#sections].map(([name, read]) => [name, readSection(read)]))
  }
}

/**
 * Formats a dump for people to read.
 *
 * @example
 * formatState({ queue: { length: 3 } }) // 'queue:\n  length: 3\n'
 */
export function formatState (state: StateSections): string {
  return stringify(state, { lineWidth: 0 })
}

function readSection (read: () => unknown): unknown {
  try {
    return toPlainData(read())
  } catch (error) {
    return { error: String(error).slice(0, 500) }
  }
}

function toPlainData (value: unknown): unknown {
  return JSON.parse(JSON.stringify(value ?? null, (_key, item: unknown) => {
    if (item instanceof Map) return Object.fromEntries([...item].slice(0, MAX_LIST_ITEMS))
    if (item instanceof Set) return [...item].slice(0, MAX_LIST_ITEMS)
    if (Array.isArray(item) && item.length > MAX_LIST_ITEMS) return [...item.slice(0, MAX_LIST_ITEMS), `and ${item.length - MAX_LIST_ITEMS} more`]
    return item
  }))
}
