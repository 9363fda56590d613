/** Label names and values that identify one series of a metric. */
export type Labels = Readonly<Record<string, string>>

const MAX_LABEL_SETS = 200
const MAX_VALUE_CHARACTERS = 100
const OVERFLOW_VALUE = 'other'

/** Holds one item for each set of labels, up to a limit; further sets share one item. */
export class LabelSets<T> {
  readonly #create: () => T
  readonly #items = new Map<string, { labels: Labels, item: T }>()

  constructor (create: () => T) {
    this.#create = create
  }

  /** Returns the item of `labels`; creates it if there is none. */
  getOrCreate (labels: Labels): T {
    const found = this.#items.get(buildKey(labels))
    if (found !== undefined) return found.item
    const storedLabels = this.#items.size < MAX_LABEL_SETS ? labels : getOverflowLabels(labels)
    const key = buildKey(storedLabels)
    const entry = this.#items.get(key) ?? { labels: storedLabels, item: this.#create() }
    this.#items.set(key, entry)
    return entry.item
  }

  list (): Array<{ labels: Labels, item: T }> {
    return [...this.#items.values()]
  }
}

/**
 * Formats labels for the Prometheus text format.
 *
 * @example
 * formatLabels({ class: 'panel' }) // '{class="panel"}'
 */
export function formatLabels (labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => `${name}="${formatValue(value)}"`)
  return parts.length === 0 ? '' : `{${parts.join(',')}}`
}

function buildKey (labels: Labels): string {
  return Object.values(labels).join('\0')
}

function getOverflowLabels (labels: Labels): Labels {
  return Object.fromEntries(Object.keys(labels).map(name => [name, OVERFLOW_VALUE]))
}

function formatValue (value: string): string {
  const truncated = value.slice(0, MAX_VALUE_CHARACTERS)
  return truncated.replace(/\\/g, '\\\\').replace(/"/g, '\\"').replace(/\n/g, '\\n')
}
