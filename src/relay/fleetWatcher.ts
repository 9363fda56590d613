import { toReadableMs } from '../base/clock'
import { Progress } from '../base/progress'
import { SharedCall } from '../base/sharedCall'
import { RestoreDetector } from '../store/restoreDetector'
import { PrefixWatcher } from '../store/prefixWatcher'
import { RouteTable } from '../policy/routeTable'

import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { RoutingConfig } from '../config/routingConfig'
import type { DirectEndpoint, EndpointEntry } from '../policy/directEndpoint'
import type { DirectoryChange, EndpointDirectory } from '../policy/endpointDirectory'
import type { ViewFreshness } from '../policy/viewFreshness'
import type { ObjectService, ObjectServiceError, StoredObject, WatchEvent } from '../store/objectService'
import type { WatcherTiming } from '../store/prefixWatcher'

/** Decodes the objects that the platform and its operators keep in the object service. */
export interface StoreDecoder {
  configKey: string
  endpointPrefix: string
  decodeConfig (value: unknown): Result<RoutingConfig, string>
  /** Returns null for an entry that describes no usable endpoint. */
  decodeEndpoint (id: string, value: unknown): EndpointEntry | null
}

export interface FleetWatcherOptions {
  clock: Clock
  service: ObjectService
  decoder: StoreDecoder
  directory: EndpointDirectory
  freshness: ViewFreshness
  log: DecisionLog
  /** Milliseconds between the heartbeats with which endpoints renew their entries. */
  heartbeatMs: number
  /** Called with each change of the endpoint directory. */
  handleChange: (change: DirectoryChange) => void
  /** Called with the routes of each new version of the configuration. */
  handleTable: (table: RouteTable) => void
}

/**
 * Watch timeouts. A watch of the configuration must end well before an unconfirmed configuration
 * counts as stale. A watch of the endpoints must end, and a stalled connection be detected, within
 * 3 s: from then on, a gateway whose connections stalled must handle leaving endpoints correctly again.
 */
const CONFIG_WATCH_TIMEOUT_MS = 1100
const ENDPOINT_WATCH_TIMEOUT_MS = 2000
/** Maximum delay between two watches of the endpoints while their entries change frequently; each call to the object service is charged. */
const MAX_ENDPOINT_REARM_MS = 250
const WATCH_TIMING: Partial<WatcherTiming> = {
  watchGraceMs: 400,
  listTimeoutMs: 1000,
  minRearmMs: 5,
  maxRearmMs: 80,
  backoffBaseMs: 40,
  backoffCapMs: 600
}
const EXPIRY_CHECK_INTERVAL_MS = 100
const ENTRY_READ_TIMEOUT_MS = 500
/** Heartbeats that must have been missed before an entry can expire through no fault of its endpoint; the platform tolerates three. */
const MIN_MISSED_HEARTBEATS = 2
/** Heartbeats within which the platform removes the entries of endpoints that no longer exist from a restored list. */
const STALE_ENTRY_HEARTBEATS = 4
/** Consecutive failed calls that show an outage; a single one may be a stalled connection. */
const MIN_OUTAGE_FAILURES = 2

/**
 * Watches the configuration and the list of endpoints in the object service. During an outage it keeps
 * the last view; `ViewFreshness` decides how long the configuration may be used unconfirmed.
 */
export class FleetWatcher {
  readonly #options: FleetWatcherOptions
  readonly #config: PrefixWatcher
  readonly #endpoints: PrefixWatcher
  #table: RouteTable | null = null
  #hasEndpoints = false
  #isConfigLost = false
  #isListLost = false
  #expiryTimer: NodeJS.Timeout | undefined
  #isConfigFresh = false
  #listConfirmedAtMs: number
  /** Time at which the list was last known to be current: the start of the call that read it. */
  #listReadAtMs = -Infinity
  /** Consecutive failed calls for the list of endpoints. */
  #listFailures = 0
  /** Reads of entries; requests whose connections broke together share a call. */
  readonly #entryReads = new WeakMap<DirectEndpoint, SharedCall<void>>()
  readonly #restoreDetector = new RestoreDetector()
  /** Time until which the list may hold entries of endpoints that had left before the object service was restored. */
  #staleEntriesUntilMs = -Infinity

  constructor (options: FleetWatcherOptions) {
    const { clock, service, decoder, freshness } = options
    this.#options = options
    this.#listConfirmedAtMs = clock.getMonotonicMs()
    this.#config = new PrefixWatcher({
      service,
      clock,
      timing: { ...WATCH_TIMING, watchMs: CONFIG_WATCH_TIMEOUT_MS },
      prefix: decoder.configKey,
      handleList: objects => this.#applyConfig(objects),
      handleEvents: events => this.#applyConfig(events.flatMap(event => event.kind === 'put' ? [event.object] : [])),
      handleConfirmed: startedAt => {
        if (this.#table !== null) freshness.recordConfirmation(startedAt)
        this.#isConfigLost = this.#reportRecovery('configuration', this.#isConfigLost)
        this.#checkFreshness()
      },
      handleFailed: error => { this.#isConfigLost = this.#reportFailure('configuration', this.#isConfigLost, error) },
      onError: error => this.#options.log.writeError(error)
    })
    this.#endpoints = new PrefixWatcher({
      service,
      clock,
      timing: { ...WATCH_TIMING, watchMs: ENDPOINT_WATCH_TIMEOUT_MS, maxRearmMs: MAX_ENDPOINT_REARM_MS },
      prefix: decoder.endpointPrefix,
      handleList: (objects, revision) => this.#applyEndpointList(objects, revision),
      handleEvents: events => this.#applyEndpointEvents(events),
      handleConfirmed: startedAt => {
        this.#listReadAtMs = startedAt.monotonicMs
        this.#listConfirmedAtMs = clock.getMonotonicMs()
        this.#listFailures = 0
        this.#isListLost = this.#reportRecovery('endpoints', this.#isListLost)
      },
      handleFailed: error => {
        this.#listFailures += 1
        this.#isListLost = this.#reportFailure('endpoints', this.#isListLost, error)
      },
      onError: error => this.#options.log.writeError(error)
    })
  }

  /** Routes in force; null before the first configuration was read. */
  get table (): RouteTable | null {
    return this.#table
  }

  get listReadAtMs (): number {
    return this.#listReadAtMs
  }

  /** Whether the configuration and the list of endpoints were both read at least once. */
  get isComplete (): boolean {
    return this.#table !== null && this.#hasEndpoints
  }

  start (): void {
    this.#config.start()
    this.#endpoints.start()
    this.#expiryTimer = setInterval(() => this.#expire(), EXPIRY_CHECK_INTERVAL_MS)
    this.#expiryTimer.unref()
  }

  async stop (): Promise<void> {
    clearInterval(this.#expiryTimer)
    await Promise.all([this.#config.stop(), this.#endpoints.stop()])
  }

  /** Reads the entry of an endpoint that may have ended: it is known at once if it is still the same process, and not with the next watch. */
  async readEntry (endpoint: DirectEndpoint): Promise<void> {
    const read = this.#entryReads.get(endpoint) ?? new SharedCall(async () => await this.#readEntry(endpoint.entry.id))
    this.#entryReads.set(endpoint, read)
    await read.run()
  }

  async #readEntry (id: string): Promise<void> {
    const { service, clock, decoder, directory } = this.#options
    const startedAtMs = clock.getMonotonicMs()
    const progress = new Progress({ title: 'reading the entry of an endpoint', timeoutMs: ENTRY_READ_TIMEOUT_MS, clock })
    const found = await service.get(`${decoder.endpointPrefix}${id}`, progress)
    if (found.isErr || found.value === null) return
    const entry = this.#decodeEndpoint(found.value)
    if (entry !== null) directory.recordConfirmed(entry, startedAtMs)
  }

  #applyConfig (objects: StoredObject[]): void {
    for (const object of objects) if (object.key === this.#options.decoder.configKey) this.#applyConfigVersion(object)
  }

  #applyConfigVersion (object: StoredObject): void {
    const { decoder, log, handleTable } = this.#options
    const decoded = decoder.decodeConfig(object.value)
    if (decoded.isErr) return log.write('notable', { event: 'configRefused', revision: object.version, reason: decoded.error })
    const previous = this.#table?.version ?? null
    if (previous !== null && decoded.value.version <= previous) return
    this.#table = new RouteTable(decoded.value)
    log.write('notable', { event: 'configInForce', version: decoded.value.version, previous, revision: object.version, routes: this.#table.routeCount })
    handleTable(this.#table)
  }

  #applyEndpointList (objects: StoredObject[], revision: number): void {
    const { directory, clock, heartbeatMs } = this.#options
    const nowMs = clock.getMonotonicMs()
    const isLongGap = nowMs - this.#listConfirmedAtMs > MIN_MISSED_HEARTBEATS * heartbeatMs
    const isRestored = this.#restoreDetector.recordPosition(revision)
    if (isRestored) this.#recordStoreRestore(nowMs)
    const afterOutage = isRestored || (isLongGap && this.#listFailures >= MIN_OUTAGE_FAILURES)
    const entries = objects.flatMap(object => this.#decodeEndpoint(object) ?? [])
    this.#hasEndpoints = true
    this.#reportChanges(directory.applyList(entries, { afterOutage, isRestoredFromBackup: nowMs < this.#staleEntriesUntilMs, nowMs: toReadableMs(clock, nowMs) }))
  }

  /** Records that the object service was restored from an older backup, which lacks later writes. */
  #recordStoreRestore (nowMs: number): void {
    const { log, heartbeatMs } = this.#options
    this.#staleEntriesUntilMs = nowMs + STALE_ENTRY_HEARTBEATS * heartbeatMs
    log.write('notable', { event: 'storeRestored', era: this.#restoreDetector.era })
  }

  #applyEndpointEvents (events: WatchEvent[]): void {
    const { directory, decoder } = this.#options
    const entries: EndpointEntry[] = []
    const deletedIds: string[] = []
    for (const event of events) {
      const entry = event.kind === 'put' ? this.#decodeEndpoint(event.object) : null
      if (entry !== null) entries.push(entry)
      else deletedIds.push((event.kind === 'put' ? event.object.key : event.key).slice(decoder.endpointPrefix.length))
    }
    this.#reportChanges(directory.applyChanges(entries, deletedIds))
  }

  #decodeEndpoint (object: StoredObject): EndpointEntry | null {
    const { decoder, log } = this.#options
    const id = object.key.slice(decoder.endpointPrefix.length)
    const entry = decoder.decodeEndpoint(id, object.value)
    if (entry === null) log.write('notable', { event: 'endpointEntryIgnored', endpoint: id, revision: object.version })
    return entry
  }

  #expire (): void {
    const { directory, clock } = this.#options
    this.#reportChanges(directory.expire(toReadableMs(clock, clock.getMonotonicMs())))
    this.#checkFreshness()
  }

  #checkFreshness (): void {
    const verdict = this.#options.freshness.getVerdict()
    const isFresh = verdict.kind === 'fresh'
    if (verdict.kind === 'distrusted') {
      this.#config.startResync()
      this.#endpoints.startResync()
    }
    if (isFresh === this.#isConfigFresh) return
    this.#isConfigFresh = isFresh
    this.#options.log.write('notable', { event: isFresh ? 'configConfirmed' : 'configUnconfirmed', version: this.#table?.version ?? null, verdict })
  }

  #reportChanges (changes: DirectoryChange[]): void {
    for (const change of changes) {
      const { kind, entry } = change
      this.#options.handleChange(change)
      this.#options.log.write('notable', { event: 'endpointChanged', change: kind, endpoint: entry.id, service: entry.service, address: entry.address, domain: entry.domain, version: entry.version })
    }
  }

  #reportRecovery (view: string, wasLost: boolean): false {
    if (wasLost) this.#options.log.write('notable', { event: 'dependencyRegained', dependency: `store, ${view}` })
    return false
  }

  #reportFailure (view: string, wasLost: boolean, error: ObjectServiceError): true {
    if (!wasLost) this.#options.log.write('notable', { event: 'dependencyLost', dependency: `store, ${view}`, error })
    return true
  }
}
