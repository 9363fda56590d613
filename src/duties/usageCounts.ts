import type { ProcessCountsMessage } from '../protocol/usageMessages'

interface CountEntry {
  count: number
  /** Revision of the table at which the count last changed. */
  revision: number
}

/** Counts of one process in one window. */
interface WindowCounts {
  /** Revision of the table at which one of them last changed. */
  revision: number
  entries: Map<string, CountEntry>
}

interface ProcessCounts {
  domain: string
  sinceMs: number
  windows: Map<number, WindowCounts>
}

export interface UsageCountsOptions {
  /** Id of this process. */
  process: string
  domain: string
  /** Unix milliseconds since which this process counts. */
  sinceMs: number
  maxEntries?: number
}

/** Whose counts are listed: those of the processes of this failure domain, or all that are known. */
export type CountScope = 'domain' | 'all'

/** Counts that a receiver does not know yet, and the revision up to which it knows all of them then. */
export interface UnknownCounts {
  counts: ProcessCountsMessage[]
  revision: number
}

/** Maximum number of counts over all processes, windows and workspaces. */
const DEFAULT_MAX_ENTRIES = 200_000
/** Windows that are kept. Older ones could only be reported long after they were due. */
const MAX_WINDOWS = 8
const MAX_PROCESSES = 2_000

/**
 * Counts the requests that began, by process, window and workspace. Counts of a process in a window only grow, and a
 * merge takes the larger one, so that messages may be lost, repeated or overtake each other.
 *
 * @example
 * const counts = new UsageCounts({ process: 'p-1', domain: 'a', sinceMs: Date.now() })
 * counts.recordRun('archivists', 353_445_120)
 * counts.computeTotals(353_445_120) // [['archivists', 1]]
 */
export class UsageCounts {
  readonly #options: UsageCountsOptions
  readonly #processes = new Map<string, ProcessCounts>()
  #revision = 0
  #entries = 0
  #leftOut = 0
  /** Windows below this one are settled or too old. */
  #firstWindow = -Infinity

  constructor (options: UsageCountsOptions) {
    this.#options = options
    this.#processes.set(options.process, { domain: options.domain, sinceMs: options.sinceMs, windows: new Map() })
  }

  /** Number of counts that are kept. */
  get entryCount (): number {
    return this.#entries
  }

  /** Number of counts that were not kept, because there were too many. */
  get leftOutCount (): number {
    return this.#leftOut
  }

  /** Unix milliseconds since which any of the known processes counts. */
  get sinceMs (): number {
    return Math.min(...[...this.#processes.values()].map(({ sinceMs }) => sinceMs))
  }

  /** First window that is still kept; -Infinity before any was removed. */
  get firstWindow (): number {
    return this.#firstWindow
  }

  /** Counts one run of a request of this process. */
  recordRun (workspace: string, window: number): void {
    const own = this.#processes.get(this.#options.process)!
    this.#updateCount(own, window, workspace, (own.windows.get(window)?.entries.get(workspace)?.count ?? 0) + 1)
  }

  /** Merges counts that another gateway told. */
  merge (messages: readonly ProcessCountsMessage[]): void {
    for (const [id, domain, sinceMs, windows] of messages) {
      if (id === this.#options.process) continue
      const known = this.#processes.get(id) ?? this.#addProcess(id, domain, sinceMs)
      if (known === null) continue
      for (const [window, counts] of windows) for (const [workspace, count] of counts) this.#updateCount(known, window, workspace, count)
    }
  }

  /** Lists the counts, by default of this failure domain, that changed after a revision, at most `maxEntries` of them, the oldest change first. */
  listUnknown (afterRevision: number, maxEntries: number, scope: CountScope = 'domain'): UnknownCounts {
    const changed: Array<{ id: string, window: number, workspace: string, entry: CountEntry }> = []
    for (const [id, { domain, windows }] of this.#processes) {
      if (scope === 'domain' && domain !== this.#options.domain) continue
      for (const [window, { revision, entries }] of windows) {
        if (revision <= afterRevision) continue
        for (const [workspace, entry] of entries) if (entry.revision > afterRevision) changed.push({ id, window, workspace, entry })
      }
    }
    changed.sort((one, other) => one.entry.revision - other.entry.revision)
    const told = changed.slice(0, maxEntries)
    const groups = new Map<string, Map<number, Array<[string, number]>>>()
    for (const { id, window, workspace, entry } of told) {
      const windows = groups.get(id) ?? new Map<number, Array<[string, number]>>()
      const counts = windows.get(window) ?? []
      counts.push([workspace, entry.count])
      groups.set(id, windows.set(window, counts))
    }
    const counts = [...groups].map(([id, windows]): ProcessCountsMessage => {
      const { domain, sinceMs } = this.#processes.get(id)!
      return [id, domain, sinceMs, [...windows]]
    })
    return { counts, revision: told.at(-1)?.entry.revision ?? afterRevision }
  }

  /** Sums the counts of all processes in a window, by workspace in the order of their names. */
  computeTotals (window: number): Array<[string, number]> {
    const sums = new Map<string, number>()
    for (const { windows } of this.#processes.values()) {
      for (const [workspace, { count }] of windows.get(window)?.entries ?? []) sums.set(workspace, (sums.get(workspace) ?? 0) + count)
    }
    return [...sums].sort(([one], [other]) => one < other ? -1 : 1)
  }

  /** Removes the windows that are settled, and those that are too old to be reported. */
  expire (settledWindow: number, currentWindow: number): void {
    this.#firstWindow = Math.max(this.#firstWindow, settledWindow + 1, currentWindow - MAX_WINDOWS + 1)
    for (const [id, { windows }] of this.#processes) {
      for (const [window, { entries }] of windows) {
        if (window >= this.#firstWindow) continue
        this.#entries -= entries.size
        windows.delete(window)
      }
      if (windows.size === 0 && id !== this.#options.process) this.#processes.delete(id)
    }
  }

  #addProcess (id: string, domain: string, sinceMs: number): ProcessCounts | null {
    if (this.#processes.size >= MAX_PROCESSES) {
      this.#leftOut += 1
      return null
    }
    const added: ProcessCounts = { domain, sinceMs, windows: new Map() }
    this.#processes.set(id, added)
    return added
  }

  #updateCount ({ windows }: ProcessCounts, window: number, workspace: string, count: number): void {
    if (window < this.#firstWindow) return
    const known = windows.get(window) ?? { revision: 0, entries: new Map<string, CountEntry>() }
    const entry = known.entries.get(workspace)
    if (entry !== undefined && entry.count >= count) return
    if (entry === undefined && this.#entries >= (this.#options.maxEntries ?? DEFAULT_MAX_ENTRIES)) {
      this.#leftOut += 1
      return
    }
    if (entry === undefined) this.#entries += 1
    this.#revision += 1
    known.revision = this.#revision
    known.entries.set(workspace, { count, revision: this.#revision })
    windows.set(window, known)
  }
}
