import { ConsistentHashRing } from './consistentHashRing'
import { buildDirectEndpoint } from './directEndpoint'
import { LeavingNotices } from './leavingNotices'

import type { DirectEndpoint, EndpointEntry } from './directEndpoint'
import type { LeavingNotice } from './leavingNotices'
import type { PromptSize } from './promptSizes'

/** A change of what is believed of the endpoints, for the log. */
export type DirectoryChange =
  | { kind: 'joined', entry: EndpointEntry }
  | { kind: 'restarted', entry: EndpointEntry }
  | { kind: 'draining', entry: EndpointEntry }
  | { kind: 'readyAgain', entry: EndpointEntry }
  /** Its entry went while the list could not be read; it has some time to come back. */
  | { kind: 'lapsed', entry: EndpointEntry }
  /** `wasLeaving` when it had said so in an answer before its entry went. */
  | { kind: 'gone', entry: EndpointEntry, wasLeaving: boolean }

/** What is known of a list beside its entries. */
export interface ListContext {
  /** Whether it could not be read for a while, so that entries may have lapsed without their endpoints' doing. */
  afterOutage: boolean
  /** Whether the store came back from an older copy lately, so that the list may lack what was known before. */
  isRestoredFromBackup?: boolean
  nowMs: number
}

interface ServiceIndex {
  endpoints: DirectEndpoint[]
  /** Endpoints by the size of the prompts that they are for. */
  ringBySize: Record<PromptSize, ConsistentHashRing>
  reservedIds: ReadonlySet<string>
}

/** Part of a service's endpoints that is kept for light prompts. */
const RESERVED_SHARE = 1 / 6

/**
 * How long an entry that lapsed during an outage of the list may take to come back: the platform
 * says about two seconds, and a little is added for its own delay.
 */
const LAPSE_GRACE_MS = 2300
/** Bound against a flood of starts; far above those that end while a process runs. */
const MAX_REMOVED_ENDPOINTS = 4096
const NO_IDS: ReadonlySet<string> = new Set()

/**
 * The endpoints that a gateway reaches directly, as the platform lists them. An entry that is
 * deleted is gone at once; one that is missing after an outage of the list gets a grace period.
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
  /** Starts of endpoints that are gone, by id. */
  readonly #removedStartTimes = new Map<string, number>()
  #byService = new Map<string, ServiceIndex>()

  listAll (): DirectEndpoint[] {
    return [...this.#endpoints.values()]
  }

  /** Lists the endpoints of a service that take new requests. */
  listReady (service: string): readonly DirectEndpoint[] {
    return this.#byService.get(service)?.endpoints ?? []
  }

  /** Lists the first `count` ready endpoints that should hold `prefix`, the preferred one first. */
  listHomeEndpoints (service: string, prefix: string, size: PromptSize, count: number): DirectEndpoint[] {
    const ids = this.#byService.get(service)?.ringBySize[size].findOwners(prefix, count) ?? []
    return ids.flatMap(id => this.#endpoints.get(id) ?? [])
  }

  /** Gets the milliseconds that an answer takes at the endpoint that is fastest lately; 0 when none is known. */
  getTypicalAnswerMs (service: string): number {
    const known = this.listReady(service).map(endpoint => endpoint.answerMs).filter(answerMs => answerMs > 0)
    return known.length === 0 ? 0 : Math.min(...known)
  }

  /** Gets the ids of the endpoints that are kept for light prompts. */
  getReservedIds (service: string): ReadonlySet<string> {
    return this.#byService.get(service)?.reservedIds ?? NO_IDS
  }

  /** Tells whether the endpoint still takes new requests as the same process. */
  isReady (endpoint: DirectEndpoint): boolean {
    return this.#endpoints.get(endpoint.entry.id) === endpoint && this.#canTakeRequests(endpoint)
  }

  /** Takes in that an endpoint is leaving; false when it was known. */
  recordLeaving (notice: LeavingNotice): boolean {
    const isNew = this.#leaving.record(notice)
    if (isNew) this.#buildIndex()
    return isNew
  }

  /** Lists what is known to leave while the list still calls it ready. */
  listLeaving (): LeavingNotice[] {
    return this.listAll().flatMap(({ entry }) => entry.state === 'ready' ? this.#leaving.get(entry.id, entry.bornAtMs) ?? [] : [])
  }

  /** Takes the whole list; what is not in it is gone, or has lapsed if the list was out of reach or is an older copy. */
  applyList (all: readonly EndpointEntry[], context: ListContext): DirectoryChange[] {
    const entries = context.isRestoredFromBackup === true ? all.flatMap(entry => this.#reconcileEntry(entry) ?? []) : all
    const listed = new Set(entries.map(entry => entry.id))
    const changes = entries.flatMap(entry => this.#put(entry))
    const missing = [...this.#endpoints.keys()].filter(id => !listed.has(id) && !this.#lapsedUntilMs.has(id))
    for (const id of missing) changes.push(...context.afterOutage ? this.#markLapsed(id, context.nowMs) : this.#remove(id))
    this.#buildIndex()
    return changes
  }

  /** Takes changed entries and ids whose entries were deleted. */
  applyChanges (entries: readonly EndpointEntry[], deletedIds: readonly string[]): DirectoryChange[] {
    const changes = [...entries.flatMap(entry => this.#put(entry)), ...deletedIds.flatMap(id => this.#remove(id))]
    this.#buildIndex()
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

  /** Corrects an entry of an older copy by what is known of the same start; null when that is gone. */
  #reconcileEntry (entry: EndpointEntry): EndpointEntry | null {
    if (this.#removedStartTimes.get(entry.id) === entry.bornAtMs) return null
    const known = this.#endpoints.get(entry.id)?.entry
    return known?.bornAtMs === entry.bornAtMs ? { ...entry, state: known.state } : entry
  }

  #put (entry: EndpointEntry): DirectoryChange[] {
    this.#lapsedUntilMs.delete(entry.id)
    this.#removedStartTimes.delete(entry.id)
    const known = this.#endpoints.get(entry.id)
    const isSame = known !== undefined && known.entry.bornAtMs === entry.bornAtMs && known.entry.address === entry.address && known.entry.service === entry.service
    if (!isSame) {
      this.#endpoints.set(entry.id, buildDirectEndpoint(entry))
      return [{ kind: known === undefined ? 'joined' : 'restarted', entry }]
    }
    const previousState = known.entry.state
    known.entry = entry
    if (previousState === entry.state) return []
    return [{ kind: entry.state === 'draining' ? 'draining' : 'readyAgain', entry }]
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
    this.#recordRemoved(entry)
    return [{ kind: 'gone', entry, wasLeaving: this.#leaving.has(id, entry.bornAtMs) }]
  }

  #recordRemoved ({ id, bornAtMs }: EndpointEntry): void {
    this.#removedStartTimes.set(id, bornAtMs)
    const [oldest] = this.#removedStartTimes.keys()
    if (this.#removedStartTimes.size > MAX_REMOVED_ENDPOINTS && oldest !== undefined) this.#removedStartTimes.delete(oldest)
  }

  #canTakeRequests ({ entry }: DirectEndpoint): boolean {
    return entry.state === 'ready' && !this.#leaving.has(entry.id, entry.bornAtMs)
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

function buildServiceIndex (endpoints: DirectEndpoint[]): ServiceIndex {
  const ids = endpoints.map(endpoint => endpoint.entry.id).sort()
  const reserved = ids.slice(0, Math.floor(RESERVED_SHARE * ids.length))
  const heavy = new ConsistentHashRing(ids.slice(reserved.length))
  const light = reserved.length > 0 ? new ConsistentHashRing(reserved) : heavy
  return { endpoints, ringBySize: { light, heavy }, reservedIds: new Set(reserved) }
}
