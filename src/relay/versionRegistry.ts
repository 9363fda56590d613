import { BoundedMap } from '../base/boundedMap'
import { Progress } from '../base/progress'
import { SharedCall } from '../base/sharedCall'
import { countBuckets, decideAssignmentChange, isUncertain, mergeRestored } from '../policy/versionAssignment'
import { MAX_ASSIGNMENT_AGE_MS, VersionView } from '../policy/versionView'
import { ViewFreshness } from '../policy/viewFreshness'
import { MAX_LONGEST_MS } from '../protocol/versionRecord'
import { Backoff, addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'
import { PrefixWatcher } from '../store/prefixWatcher'
import { RestoreDetector } from '../store/restoreDetector'
import { getEra } from '../store/storePosition'
import { buildVersionRecord, parseVersionRecord } from './versionRecords'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { AssignmentChange, AssignmentChangeReason, StreamLimits, VersionAssignment } from '../policy/versionAssignment'
import type { FreshnessVerdict } from '../policy/viewFreshness'
import type { ObjectService, StoredObject, WatchEvent, WriteCondition } from '../store/objectService'

export interface VersionRegistryOptions {
  clock: Clock
  random: () => number
  service: ObjectService
  log: DecisionLog
  /** Lists the services whose streams may be taken up, with the time limits of their routes. */
  listServices: () => ReadonlyMap<string, StreamLimits>
  /** Counts a service's endpoints that accept requests, by software version. */
  countReadyVersions: (service: string) => ReadonlyMap<string, number>
  /** Called when the versions at which a service's streams begin have changed. */
  handleChange: (service: string) => void
}

/** State of the assignment of one service at this gateway. */
interface ServiceState {
  view: VersionView | null
  /** Condition for the next write: the version of the stored record, or its absence. */
  condition: WriteCondition
  /** Latest known position of the record; a view that another gateway read may be older. */
  position: number
  /** Whether the stored record is missing or unreadable although one was there, or was written before a restore. */
  mustRewrite: boolean
  /** Versions that served before, as far as this process knows. */
  readonly knownVersions: Set<string>
  /** Time limits in milliseconds of callers that wait for a record that covers them, by route. */
  readonly required: Map<string, number>
  /** Reads the record; take-ups that wait share a call. */
  readonly read: SharedCall<boolean>
  /** The change that is due, and since when; null when the record can stay. */
  pending: { reason: AssignmentChangeReason, dueAtMs: number } | null
}

/** Prefix of the stored records; the rest of a key is the encoded name of the service. */
export const VERSION_RECORD_PREFIX = 'stream-versions/'
const CHECK_INTERVAL_MS = 100
const MAX_REQUIRED_ROUTES = 64
const WRITE_TIMEOUT_MS = 1000
const READ_TIMEOUT_MS = 500
/** Timing of the watch, so that the record is confirmed well within its maximum age. */
const WATCH_TIMING = { watchMs: 1500, watchGraceMs: 400, listTimeoutMs: 1000, minRearmMs: 5, maxRearmMs: 80, backoffBaseMs: 40, backoffCapMs: 600 }
/**
 * Milliseconds for which a change must be due before it is written. Lists of endpoints differ between gateways for a
 * moment; a release that replaces many endpoints is written in a few steps.
 */
const DELAY_MS: Record<AssignmentChangeReason, number> = { created: 0, restored: 0, longerLimit: 0, versionJoined: 50, versionLeft: 300, unbalanced: 500, expired: 100, aged: 0 }
/** Fraction of a delay by which gateways differ, and the minimum in milliseconds, so that mostly one of them writes. */
const DELAY_SPREAD = 0.5
const MIN_DELAY_SPREAD_MS = 60

/** Keeps the version assignments of all services in the object service, where every gateway reads and changes them. */
export class VersionRegistry {
  readonly #options: VersionRegistryOptions
  readonly #services = new Map<string, ServiceState>()
  readonly #watcher: PrefixWatcher
  readonly #writer: BackgroundTask
  readonly #freshness: ViewFreshness
  readonly #restoreDetector = new RestoreDetector()
  readonly #backoff: Backoff
  #isSynced = false

  constructor (options: VersionRegistryOptions) {
    const { clock, service, log, random } = options
    this.#options = options
    this.#freshness = new ViewFreshness({ clock, maxAgeMs: MAX_ASSIGNMENT_AGE_MS })
    this.#backoff = new Backoff({ baseMs: CHECK_INTERVAL_MS, capMs: 1000, getRandom: random })
    this.#watcher = new PrefixWatcher({
      service,
      clock,
      timing: WATCH_TIMING,
      prefix: VERSION_RECORD_PREFIX,
      handleList: (objects, revision) => this.#applyList(objects, revision),
      handleEvents: events => this.#applyEvents(events),
      handleConfirmed: confirmedAt => this.#freshness.recordConfirmation(confirmedAt),
      onError: error => log.writeError(error)
    })
    this.#writer = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: error => log.writeError(error) })
  }

  start (): void {
    this.#watcher.start()
    this.#writer.start(CHECK_INTERVAL_MS)
  }

  async stop (): Promise<void> {
    await Promise.all([this.#watcher.stop(), this.#writer.stop()])
  }

  /** Returns what is known of a service's assignment; null when it must not be used. */
  getView (service: string): VersionView | null {
    const state = this.#services.get(service)
    return state === undefined || state.mustRewrite ? null : state.view
  }

  /** Returns whether the assignments are recent enough to begin streams. */
  getFreshness (): FreshnessVerdict {
    const verdict = this.#freshness.getVerdict()
    if (verdict.kind === 'distrusted') this.#watcher.startResync()
    return verdict
  }

  /**
   * Reads the record of a service from the object service. Calls that are made while a read is under way share the next
   * one, because an answer shows only what was there when its call started.
   *
   * @returns whether the record was read
   */
  async readRecord (service: string): Promise<boolean> {
    return await this.#getState(service).read.run()
  }

  /** Requests that the record of a service covers callers of a route with this time limit. */
  requireLimit (service: string, route: string, limitMs: number): void {
    const { required } = this.#getState(service)
    if (limitMs <= (required.get(route) ?? 0)) return
    required.set(route, limitMs)
    this.#writer.notify()
  }

  /** Lists the assignments, for the metrics and the state dump. */
  listAssignments (): Array<{ service: string, assignment: VersionAssignment, isUsable: boolean }> {
    return [...this.#services].flatMap(([service, { view, mustRewrite }]) => view === null ? [] : [{ service, assignment: view.assignment, isUsable: !mustRewrite }])
  }

  #applyList (objects: StoredObject[], revision: number): void {
    this.#restoreDetector.recordPosition(revision)
    this.#isSynced = true
    const listed = new Set(objects.map(({ key }) => parseService(key)))
    for (const object of objects) this.#applyObject(object)
    for (const service of this.#services.keys()) if (!listed.has(service)) this.#recordMissing(service, revision)
  }

  #applyEvents (events: WatchEvent[]): void {
    for (const event of events) {
      if (event.kind === 'put') this.#applyObject(event.object)
      else this.#recordMissing(parseService(event.key), event.version)
    }
  }

  #applyObject ({ key, value, version }: StoredObject): void {
    this.#restoreDetector.recordPosition(version)
    const service = parseService(key)
    const state = this.#getState(service)
    if (version < state.position) return
    state.position = version
    state.condition = { kind: 'version', version }
    const stored = parseVersionRecord(value)
    const isOutdated = stored !== null && (stored.era < getEra(version) || stored.sequence < (state.view?.assignment.sequence ?? 0))
    if (stored !== null && !isOutdated) return this.#adopt(service, stored)
    state.mustRewrite = true
    if (stored !== null) this.#setAssignment(state, state.view === null ? stored : mergeRestored(state.view.assignment, stored))
    this.#options.log.write('notable', { event: 'versionRecordDistrusted', service, reason: stored === null ? 'unreadable' : 'olderCopy', sequence: stored?.sequence ?? null, era: getEra(version) })
  }

  #recordMissing (service: string, position: number): void {
    const state = this.#getState(service)
    if (position < state.position) return
    state.position = position
    state.condition = { kind: 'absent' }
    if (state.view !== null) state.mustRewrite = true
  }

  #adopt (service: string, assignment: VersionAssignment): void {
    const state = this.#getState(service)
    state.mustRewrite = false
    // the versions of the first record served before this process started; for a later one its list of endpoints may be behind
    if (state.view === null) for (const version of countBuckets(assignment).keys()) state.knownVersions.add(version)
    if (state.view?.assignment.sequence === assignment.sequence && state.view.assignment.era === assignment.era) return
    const before = state.view?.assignment ?? null
    this.#setAssignment(state, assignment)
    // while versions change, the ages of moves are written often
    if (before !== null && hasSameVersions(before, assignment)) return
    this.#options.log.write('notable', { event: 'versionsAssigned', service, ...describeAssignment(assignment) })
    this.#options.handleChange(service)
  }

  #setAssignment (state: ServiceState, assignment: VersionAssignment): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    if (state.view === null) state.view = new VersionView(assignment, nowMs)
    else state.view.adopt(assignment, nowMs)
  }

  async #read (service: string): Promise<boolean> {
    const { service: store, clock } = this.#options
    const progress = new Progress({ title: 'reading a version record', timeoutMs: READ_TIMEOUT_MS, clock })
    const found = await store.get(toKey(service), progress)
    if (found.isErr || found.value === null) return false
    this.#applyObject(found.value)
    return true
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    if (!this.#isSynced) return CHECK_INTERVAL_MS
    for (const [service, limits] of this.#options.listServices()) {
      const change = this.#findDueChange(service, limits)
      if (change === null) continue
      if (!await this.#write(service, change, signal)) return this.#backoff.advance()
      this.#backoff.reset()
    }
    return CHECK_INTERVAL_MS
  }

  /** Finds the change of a service's assignment that has been due for long enough. */
  #findDueChange (service: string, limits: StreamLimits): AssignmentChange | null {
    const { clock, countReadyVersions } = this.#options
    const state = this.#getState(service)
    const nowMs = clock.getMonotonicMs()
    const readyByVersion = countReadyVersions(service)
    for (const version of readyByVersion.keys()) state.knownVersions.add(version)
    const era = this.#restoreDetector.era ?? 0
    const { view } = state
    const current = view === null ? null : state.mustRewrite ? { ...view.assignment, era: -1 } : view.assignment
    const change = decideAssignmentChange(current, {
      readyByVersion,
      knownVersions: state.knownVersions,
      limits: addRequired(limits, state.required),
      era,
      mayBeLost: era > 0 || state.mustRewrite,
      getAgeMs: bucket => view === null ? 0 : nowMs - view.getMovedAtMs(bucket),
      isExpired: bucket => view?.isExpired(bucket, nowMs) === true
    })
    if (change === null) state.pending = null
    else if (state.pending?.reason !== change.reason) state.pending = { reason: change.reason, dueAtMs: nowMs + this.#chooseDelayMs(change.reason) }
    return state.pending !== null && nowMs >= state.pending.dueAtMs ? change : null
  }

  #chooseDelayMs (reason: AssignmentChangeReason): number {
    const delayMs = DELAY_MS[reason]
    return addJitter(delayMs, this.#options.random) + this.#options.random() * Math.max(MIN_DELAY_SPREAD_MS, DELAY_SPREAD * delayMs)
  }

  /** Writes a change. Returns false when the call failed; a conflict means that another gateway has decided. */
  async #write (service: string, { reason, assignment }: AssignmentChange, signal: AbortSignal): Promise<boolean> {
    const { service: store, log, clock } = this.#options
    const state = this.#getState(service)
    state.pending = null
    const { condition } = state
    const progress = new Progress({ title: 'writing a version record', timeoutMs: WRITE_TIMEOUT_MS, signal, clock })
    const record = buildVersionRecord(assignment)
    const written = await store.put(toKey(service), record, condition, progress)
    log.write('notable', { event: 'versionsWritten', service, reason, outcome: written.isOk ? 'written' : written.error.kind, ...describeAssignment(assignment) })
    if (written.isErr) return written.error.kind === 'conflict'
    this.#applyObject({ key: toKey(service), version: written.value.version, value: record })
    return true
  }

  #getState (service: string): ServiceState {
    const existing = this.#services.get(service)
    if (existing !== undefined) return existing
    const created: ServiceState = { view: null, condition: { kind: 'absent' }, position: 0, mustRewrite: false, knownVersions: new Set(), required: new BoundedMap(MAX_REQUIRED_ROUTES), read: new SharedCall(async () => await this.#read(service)), pending: null }
    this.#services.set(service, created)
    return created
  }
}

/** Returns whether two assignments differ in nothing but their ages and limits. */
function hasSameVersions (one: VersionAssignment, other: VersionAssignment): boolean {
  return one.era === other.era && one.buckets.every(({ versions, changedAt }, index) => {
    const bucket = other.buckets[index]!
    return changedAt === bucket.changedAt && versions.length === bucket.versions.length
  })
}

function addRequired (limits: StreamLimits, required: ReadonlyMap<string, number>): StreamLimits {
  const byRoute = { ...limits.byRoute }
  for (const [route, limitMs] of required) byRoute[route] = Math.max(limitMs, byRoute[route] ?? 0)
  return { byRoute, longestMs: Math.min(MAX_LONGEST_MS, Math.max(limits.longestMs, ...required.values())) }
}

function describeAssignment (assignment: VersionAssignment): { sequence: number, era: number, longestMs: number, buckets: Record<string, number>, uncertainBuckets: number } {
  const { sequence, era, limits: { longestMs }, buckets } = assignment
  return { sequence, era, longestMs, buckets: Object.fromEntries(countBuckets(assignment)), uncertainBuckets: buckets.filter(isUncertain).length }
}

function toKey (service: string): string {
  return `${VERSION_RECORD_PREFIX}${encodeURIComponent(service)}`
}

function parseService (key: string): string {
  try {
    return decodeURIComponent(key.slice(VERSION_RECORD_PREFIX.length))
  } catch {
    return key.slice(VERSION_RECORD_PREFIX.length)
  }
}
