import type { DirectEndpoint } from './directEndpoint'

/** What is known of the process at an endpoint's address. */
export interface ProcessKnowledge {
  /** Time at which the list of endpoints was last known to be current. */
  listReadAtMs: number
  /** Milliseconds after which the entry of a process that has ended is removed from the list. */
  entryLapseMs: number
  /** Time at which the endpoint last ended an idle connection; null when it did not. */
  idleEndedAtMs: number | null
  /** Returns whether a connection to the endpoint has been open since then. */
  hasConnectionSince: (sinceMs: number) => boolean
}

/**
 * Returns whether an endpoint is still the process that the list says. One that has ended may be back at the
 * same address under the same id, with another version of its software, before its new entry is read here.
 * Its old entry may stay in the list until it lapses.
 *
 * @example
 * isListedProcess({ refusedAtMs: null, brokenAtMs: null, confirmedAtMs: -Infinity }, knowledge) // true
 */
export function isListedProcess ({ refusedAtMs, brokenAtMs, confirmedAtMs }: Pick<DirectEndpoint, 'refusedAtMs' | 'brokenAtMs' | 'confirmedAtMs'>, knowledge: ProcessKnowledge): boolean {
  const { listReadAtMs, entryLapseMs, idleEndedAtMs, hasConnectionSince } = knowledge
  if (refusedAtMs !== null && listReadAtMs <= refusedAtMs + entryLapseMs) return false
  // all connections of a process end with it
  const readAtMs = Math.max(listReadAtMs, confirmedAtMs)
  return readAtMs > Math.max(brokenAtMs ?? -Infinity, idleEndedAtMs ?? -Infinity) || hasConnectionSince(readAtMs)
}
