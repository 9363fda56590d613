import { BoundedMap } from '../base/boundedMap'
import { ConsistentHashRing } from './consistentHashRing'
import { buildDirectEndpoint } from './directEndpoint'
import { DEFAULT_PREFILL_TOKENS_PER_MS, ServiceRate } from './engines/serviceRate'
import { LeavingNotices } from './leavingNotices'

import type { DirectEndpoint, EndpointEntry } from './directEndpoint'
import type { LeavingNotice } from './leavingNotices'
import type { PromptSize } from './promptSizes'

/** A change in the view of the endpoints, for the log. */
export type DirectoryChange =
  | { kind: 'joined', entry: EndpointEntry }
  | { kind: 'restarted', entry: EndpointEntry }
  | { kind: 'draining', entry: EndpointEntry }
  | { kind: 'readyAgain', entry: EndpointEntry }
  /** The entry disappeared while the list could not be read. It has a grace period to return. */
  | { kind: 'lapsed', entry: EndpointEntry }
  /** `wasLeaving` is true when a notice announced that the endpoint was leaving before its entry was removed. */
  | { kind: 'gone', entry: EndpointEntry, wasLeaving: boolean }

/** Circumstances in which an endpoint list was read. */
export interface ListContext {
  /** Whether the list could not be read for a while, so that entries of healthy endpoints may have lapsed. */
  afterOutage: boolean
  /** Whether the object service was recently restored from an older backup, so that the list may lack known entries. */
  isRestoredFromBackup?: boolean
  nowMs: number
}

/** Endpoints that accept requests: all of a service, or those of one software version. */
interface EndpointPool {
  endpoints: DirectEndpoint[]
  /** Hash rings of the endpoints for light and for heavy prompts. */
  ringBySize: Record<PromptSize, ConsistentHashRing>
  reservedIds: ReadonlySet<string>
}

interface ServiceIndex {
  all: EndpointPool
  /** Endpoints whose entries name no version are in none of these. */
  byVersion: ReadonlyMap<string, EndpointPool>
  countByVersion: ReadonlyMap<string, number>
}

/** Fraction of a service's endpoints that is reserved for light prompts. */
const RESERVED_SHARE = 1 / 6

/**
 * Grace period in milliseconds for an entry that lapsed during an outage of the list to return. The
 * platform specifies about two seconds; the rest covers its own delay.
 */
const LAPSE_GRACE_MS = 2300
/** Maximum number of remembered removals. Protects against a flood of starts; far above the endpoints that end while a process runs. */
const MAX_REMOVED_ENDPOINTS = 4096
/** Maximum number of services whose prefill rates are remembered, far above those of a configuration. */
const MAX_SERVICE_RATES = 1024
const NO_IDS: ReadonlySet<string> = new Set()
const NO_COUNTS: ReadonlyMap<string, number> = new Map()

/** Milliseconds within which reports of a broken connection are taken for the same sign. */
const DOUBT_TOLERANCE_MS = 1000

/**
 * Tracks the endpoints that a gateway reaches directly, from the platform's list. A deleted entry
 * removes its endpoint immediately. An entry that is missing after an outage of the list gets a grace
 * period.
 *
 * @example
 * const directory = new EndpointDirectory()
 * directory.applyList(entries, { afterOutage: false, nowMs })
 * directory.listReady('archive')
 */
export class EndpointDirectory {
  readonly #endpoints = new Map<string, DirectEndpoint>()
  readonly #lapsedUntilMs = new Map<string, number>()
  readonly #leaving = new LeavingNotices()
  /** Start times of removed endpoints in Unix milliseconds, by id. */
  readonly #removedStartTimes = new BoundedMap<string, number>(MAX_REMOVED_ENDPOINTS)
  /** Processes that another one has replaced under their id, as `formatProcess` writes them. They have ended, whatever entry comes back. */
  readonly #replaced = new BoundedMap<string, true>(MAX_REMOVED_ENDPOINTS)
  /** Remembered after the last endpoint of a service has gone, as a prior for its next one. */
  readonly #serviceRates = new BoundedMap<string, ServiceRate>(MAX_SERVICE_RATES)
  #byService = new Map<string, ServiceIndex>()

  listAll (): DirectEndpoint[] {
    return [...this.#endpoints.values()]
  }

  /** Lists the endpoints of a service that accept new requests; with `version`, only those of that software version. */
  listReady (service: string, version: string | null = null): readonly DirectEndpoint[] {
    return this.#getPool(service, version)?.endpoints ?? []
  }

  /** Counts the endpoints of a service that accept new requests, by software version. */
  countReadyVersions (service: string): ReadonlyMap<string, number> {
    return this.#byService.get(service)?.countByVersion ?? NO_COUNTS
  }

  /** Lists the first `count` ready endpoints for `prefix` on the hash ring: its home endpoint first, then its alternates. */
  listHomeEndpoints (pool: { service: string, version: string | null }, prefix: string, size: PromptSize, count: number): DirectEndpoint[] {
    const ids = this.#getPool(pool.service, pool.version)?.ringBySize[size].findOwners(prefix, count) ?? []
    return ids.flatMap(id => this.#endpoints.get(id) ?? [])
  }

  /** Returns the milliseconds that an answer takes at the endpoint that was fastest recently; 0 when unknown. */
  getTypicalAnswerMs (service: string): number {
    const known = this.listReady(service).map(endpoint => endpoint.answerMs).filter(answerMs => answerMs > 0)
    return known.length === 0 ? 0 : Math.min(...known)
  }

  /** Returns the prompt tokens that the endpoints of a service typically prefill per millisecond. */
  getPrefillTokensPerMs (_service: string): number {
    return DEFAULT_PREFILL_TOKENS_PER_MS
  }

  /** Returns the ids of the endpoints that are reserved for light prompts. */
  getReservedIds (service: string, version: string | null = null): ReadonlySet<string> {
    return this.#getPool(service, version)?.reservedIds ?? NO_IDS
  }

  /** Returns whether the endpoint is still the same process and accepts new requests. */
  isReady (endpoint: DirectEndpoint): boolean {
    return this.#endpoints.get(endpoint.entry.id) === endpoint && this.#canTakeRequests(endpoint)
  }

  /**
   * Records that an endpoint is leaving.
   *
   * @returns false when this was already known
   */
  recordLeaving (notice: LeavingNotice): boolean {
    const isNew = this.#leaving.record(notice)
    if (isNew) this.#buildIndex()
    return isNew
  }

  /** Records that nothing listens at the endpoint's address, so that its process has ended. */
  recordRefused (entry: EndpointEntry, nowMs: number): void {
    const endpoint = this.#endpoints.get(entry.id)
    if (endpoint?.entry.bornAtMs === entry.bornAtMs) endpoint.refusedAtMs = nowMs
  }

  /** Records that another gateway saw a sign, at `atMs`, that an endpoint's process may have ended. */
  recordDoubt ({ id, bornAtMs }: Pick<EndpointEntry, 'id' | 'bornAtMs'>, atMs: number): void {
    const endpoint = this.#endpoints.get(id)
    if (endpoint === undefined || endpoint.entry.bornAtMs !== bornAtMs) return
    // the time of one sign differs a little with each gateway that passes it on
    if (endpoint.brokenAtMs === null || atMs > endpoint.brokenAtMs + DOUBT_TOLERANCE_MS) endpoint.brokenAtMs = atMs
  }

  /** Records that an entry, read by a call that started at `startedAtMs`, is that of the known process. */
  recordConfirmed (entry: EndpointEntry, startedAtMs: number): void {
    const endpoint = this.#endpoints.get(entry.id)
    if (endpoint !== undefined && isSameProcess(endpoint.entry, entry)) endpoint.confirmedAtMs = Math.max(endpoint.confirmedAtMs, startedAtMs)
  }

  /** Lists the notices of leaving endpoints whose list entries are still ready. */
  listLeaving (): LeavingNotice[] {
    return this.listAll().flatMap(({ entry }) => entry.state === 'ready' ? this.#leaving.get(entry.id, entry.bornAtMs) ?? [] : [])
  }

  /**
   * Applies a complete list. A known endpoint that is missing from it is removed. After an outage of
   * the list it counts as lapsed and gets the grace period instead. Entries from an older backup are
   * reconciled with the known state first.
   */
  applyList (all: readonly EndpointEntry[], context: ListContext): DirectoryChange[] {
    const entries = context.isRestoredFromBackup === true ? all.flatMap(entry => this.#reconcileEntry(entry) ?? []) : all
    const listed = new Set(entries.map(entry => entry.id))
    const changes = entries.flatMap(entry => this.#put(entry))
    const missing = [...this.#endpoints.keys()].filter(id => !listed.has(id) && !this.#lapsedUntilMs.has(id))
    for (const id of missing) changes.push(...context.afterOutage ? this.#markLapsed(id, context.nowMs) : this.#remove(id))
    if (changes.length > 0) this.#buildIndex()
    return changes
  }

  /** Applies changed entries and the ids of deleted entries. */
  applyChanges (entries: readonly EndpointEntry[], deletedIds: readonly string[]): DirectoryChange[] {
    const changes = [...entries.flatMap(entry => this.#put(entry)), ...deletedIds.flatMap(id => this.#remove(id))]
    // endpoints renew their entries often, and a hash ring is dear to build
    if (changes.length > 0) this.#buildIndex()
    return changes
  }

  /** Removes lapsed endpoints whose grace period is over. */
  expire (nowMs: number): DirectoryChange[] {
    const expired = [...this.#lapsedUntilMs].filter(([, untilMs]) => nowMs >= untilMs).map(([id]) => id)
    if (expired.length === 0) return []
    const changes = expired.flatMap(id => this.#remove(id))
    this.#buildIndex()
    return changes
  }

  /**
   * Reconciles an entry from an older backup with the known state of the same start.
   *
   * @returns null when that start was already removed, or is older than the known one
   */
  #reconcileEntry (entry: EndpointEntry): EndpointEntry | null {
    if (this.#removedStartTimes.get(entry.id) === entry.bornAtMs || this.#replaced.has(formatProcess(entry))) return null
    const known = this.#endpoints.get(entry.id)?.entry
    if (known === undefined) return entry
    if (entry.bornAtMs < known.bornAtMs) return null
    return known.bornAtMs === entry.bornAtMs ? { ...entry, state: known.state } : entry
  }

  #put (entry: EndpointEntry): DirectoryChange[] {
    // a late write of a process that has ended; its successor writes again
    if (this.#replaced.has(formatProcess(entry))) return []
    this.#lapsedUntilMs.delete(entry.id)
    this.#removedStartTimes.delete(entry.id)
    const known = this.#endpoints.get(entry.id)
    if (known === undefined || !isSameProcess(known.entry, entry)) {
      if (known !== undefined && known.entry.bornAtMs !== entry.bornAtMs) this.#replaced.set(formatProcess(known.entry), true)
      this.#endpoints.set(entry.id, buildDirectEndpoint(entry, this.#getServiceRate(entry.service)))
      return [{ kind: known === undefined ? 'joined' : 'restarted', entry }]
    }
    const previousState = known.entry.state
    known.entry = entry
    if (previousState === entry.state) return []
    return [{ kind: entry.state === 'draining' ? 'draining' : 'readyAgain', entry }]
  }

  #getServiceRate (service: string): ServiceRate {
    const rate = this.#serviceRates.get(service) ?? new ServiceRate()
    this.#serviceRates.set(service, rate)
    return rate
  }

  #markLapsed (id: string, nowMs: number): DirectoryChange[] {
    const endpoint = this.#endpoints.get(id)
    if (endpoint === undefined) return []
    this.#lapsedUntilMs.set(id, nowMs + LAPSE_GRACE_MS)
    return [{ kind: 'lapsed', entry: endpoint.entry }]
  }

  #remove (id: string): DirectoryChange[] {
    const endpoint = this.#endpoints.get(id)
    this.#endpoints.delete(id)
    this.#lapsedUntilMs.delete(id)
    if (endpoint === undefined) return []
    const { entry } = endpoint
    this.#removedStartTimes.set(id, entry.bornAtMs)
    return [{ kind: 'gone', entry, wasLeaving: this.#leaving.has(id, entry.bornAtMs) }]
  }

  #canTakeRequests ({ entry }: DirectEndpoint): boolean {
    return entry.state === 'ready' && !this.#leaving.has(entry.id, entry.bornAtMs)
  }

  #getPool (service: string, version: string | null): EndpointPool | undefined {
    const index = this.#byService.get(service)
    return version === null ? index?.all : index?.byVersion.get(version)
  }

  #buildIndex (): void {
    const byService = new Map<string, DirectEndpoint[]>()
    for (const endpoint of this.#endpoints.values()) {
      if (!this.#canTakeRequests(endpoint)) continue
      const { service } = endpoint.entry
      byService.set(service, [...byService.get(service) ?? [], endpoint])
    }
    this.#byService = new Map([...byService].map(([service, endpoints]) => [service, buildServiceIndex(endpoints)]))
  }
}

function formatProcess ({ id, bornAtMs }: EndpointEntry): string {
  return `${id}@${bornAtMs}`
}

function isSameProcess (one: EndpointEntry, other: EndpointEntry): boolean {
  return one.bornAtMs === other.bornAtMs && one.address === other.address && one.service === other.service && one.version === other.version
}

function buildServiceIndex (endpoints: DirectEndpoint[]): ServiceIndex {
  const groups = new Map<string, DirectEndpoint[]>()
  for (const endpoint of endpoints) {
    const { version } = endpoint.entry
    if (version !== null) groups.set(version, [...groups.get(version) ?? [], endpoint])
  }
  const all = buildPool(endpoints)
  // mostly one version serves, and a hash ring is dear to build
  const byVersion = new Map([...groups].map(([version, group]) => [version, group.length === endpoints.length ? all : buildPool(group)]))
  return { all, byVersion, countByVersion: new Map([...groups].map(([version, group]) => [version, group.length])) }
}

function buildPool (endpoints: DirectEndpoint[]): EndpointPool {
  const ids = endpoints.map(endpoint => endpoint.entry.id).sort()
  const reserved = ids.slice(0, Math.floor(RESERVED_SHARE * ids.length))
  const heavy = new ConsistentHashRing(ids.slice(reserved.length))
  const light = reserved.length > 0 ? new ConsistentHashRing(reserved) : heavy
  return { endpoints, ringBySize: { light, heavy }, reservedIds: new Set(reserved) }
}
