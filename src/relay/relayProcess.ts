import { createLiftHandler, createMetricsHandler, createStateHandler, LIFT_HOLD_PATH, METRICS_PATH, STATE_PATH } from '../base/adminRoutes'
import { systemClock } from '../base/clock'
import { HttpListener } from '../base/httpListener'
import { Metrics } from '../base/metrics'
import { ReadableTime } from '../base/readableTime'
import { getProcessorMs } from '../base/processorTime'
import { StateDump } from '../base/stateDump'
import { UsageReporting } from '../duties/usageReporting'
import { EndpointDirectory } from '../policy/endpointDirectory'
import { Placement } from '../policy/placement'
import { countBuckets } from '../policy/versionAssignment'
import { RetryWindow } from '../policy/retryWindow'
import { ViewFreshness } from '../policy/viewFreshness'
import { selectLargestDemands } from '../policy/workspaceDemand'
import { AdmissionGate } from './admissionGate'
import { DirectRelay } from './directRelay'
import { ANSWER_BUFFER_BYTES, ByteBudget } from './byteBudget'
import { CallerMemory } from './callerMemory'
import { CrashGuard } from './crashGuard'
import { Dispatcher } from './dispatcher'
import { EndpointAgent } from './endpointAgent'
import { EndpointConnections } from './endpointConnections'
import { EndpointIdentity } from './endpointIdentity'
import { EndpointSender } from './endpointSender'
import { FleetWatcher } from './fleetWatcher'
import { LimitCoordinator } from './limitCoordinator'
import { PeerNetwork } from './peerNetwork'
import { PlannedStop } from './plannedStop'
import { PresenceChecker } from './presenceChecker'
import { decideReadiness } from './readiness'
import { RelayObserver } from './relayObserver'
import { RelayServer } from './relayServer'
import { StallDetector } from './stallDetector'
import { StreamOriginStore } from './streamOriginStore'
import { StreamVersions } from './streamVersions'
import { buildVersionRecord } from './versionRecords'
import { VERSION_RECORD_PREFIX, VersionRegistry } from './versionRegistry'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { RelaySettings } from '../config/processSettings'
import type { UsagePlatform } from '../duties/dutyRunner'
import type { LeavingNotice } from '../policy/leavingNotices'
import type { RetryWindowOptions } from '../policy/retryWindow'
import type { ObjectService } from '../store/objectService'
import type { CallerDialect, EndpointDialect } from './dialects'
import type { StoreDecoder } from './fleetWatcher'
import type { UnreadyReason } from './readiness'

export interface RelayProcessOptions {
  settings: RelaySettings
  service: ObjectService
  decoder: StoreDecoder
  callerDialect: CallerDialect
  endpointDialect: EndpointDialect
  /** Path of the readiness check that the balancer calls. */
  readyPath: string
  /** Receives usage reports; null where none are due. */
  usagePlatform?: UsagePlatform | null
  log: DecisionLog
}

/** The `host:port` in use by each listener. */
export interface ListenAddresses {
  callers: string
  ready: string
  admin: string
}

/**
 * Fraction of the key revocation time after which an unconfirmed configuration is no longer used.
 * The rest covers a request on its way to its endpoint.
 */
const FRESH_FRACTION = 0.9
/** Milliseconds for which idle connections are kept, shorter than endpoints are known to keep them. */
const IDLE_CONNECTION_TIMEOUT_MS = 4000
const MAX_IDLE_CONNECTIONS = 64
/** File descriptors reserved for files, the object service and operators; callers must not use them up. */
const RESERVED_DESCRIPTORS = 400
/** Settings that are read only at start. */
const RESTART_SETTINGS = ['id', 'domain', 'listen', 'storeUrl', 'heartbeatMs', 'maxDescriptors', 'memoryMb', 'processorShare', 'duties', 'sharesRoom', 'fetchesPrefixes'] as const
/** Maximum number of workspaces in the state dump. */
const MAX_DUMPED_DEMANDS = 64
const MS_PER_SECOND = 1000

/** Runs one gateway that relays requests straight to endpoints. */
export class RelayProcess {
  readonly #options: RelayProcessOptions
  #settings: RelaySettings
  readonly #metrics = new Metrics()
  readonly #dump = new StateDump()
  readonly #observer: RelayObserver
  readonly #readableTime: ReadableTime
  readonly #directory = new EndpointDirectory()
  readonly #limits: LimitCoordinator
  readonly #freshness: ViewFreshness
  readonly #retries: RetryWindow
  readonly #fleetWatcher: FleetWatcher
  readonly #relay: DirectRelay
  readonly #stallDetector: StallDetector
  readonly #crashes: CrashGuard
  readonly #peers: PeerNetwork
  readonly #usage: UsageReporting | null
  readonly #registry: VersionRegistry
  readonly #versions: StreamVersions
  readonly #originStore: StreamOriginStore
  readonly #memory: CallerMemory
  readonly #server: RelayServer
  readonly #readyListener: HttpListener
  readonly #adminListener: HttpListener
  readonly #connections = new EndpointConnections({ clock: systemClock })
  readonly #agent = new EndpointAgent({ idleMs: IDLE_CONNECTION_TIMEOUT_MS, maxIdle: MAX_IDLE_CONNECTIONS, handleIdleEnd: socket => this.#connections.recordIdleEnd(socket) })
  readonly #dispatcher = new Dispatcher({ clock: systemClock, getPeerDemands: (name, rank) => this.#peers.loads.getPeerDemands(name, rank) })
  /** The planned stop; null before it. */
  #stop: PlannedStop | null = null
  #unreadyReason: UnreadyReason = 'starting'

  constructor (options: RelayProcessOptions) {
    const { settings, log, service, decoder, callerDialect, endpointDialect } = options
    this.#options = options
    this.#settings = settings
    this.#observer = new RelayObserver(log, this.#metrics)
    this.#readableTime = new ReadableTime({ clock: systemClock, getProcessorMs, handleStandstill: standstill => this.#observer.recordStandstill(standstill) })
    const clock: Clock = { ...systemClock, readable: this.#readableTime }
    this.#freshness = new ViewFreshness({ clock, maxAgeMs: FRESH_FRACTION * settings.revocationMs })
    this.#retries = new RetryWindow(buildRetryOptions(settings))
    this.#crashes = new CrashGuard({ clock, service, log, observer: this.#observer, handleCrash: () => this.#peers.notifyCrash(), handleHold: () => this.#relay.refuseHeld(), handleRefused: entry => this.#directory.recordRefused(entry, systemClock.getMonotonicMs()) })
    this.#limits = new LimitCoordinator({
      clock,
      gateway: settings.id,
      directory: this.#directory,
      observer: this.#observer,
      getLoads: () => this.#peers.loads,
      listKeepers: domain => this.#peers.listKeepers(domain),
      openClient: keeper => this.#peers.openClient(keeper),
      handleChange: () => this.#peers.notifyLimit(),
      handleAnswer: name => this.#dispatcher.notifyCapacity(name)
    })
    const countReadyVersions = (name: string) => this.#directory.countReadyVersions(name)
    const identity = new EndpointIdentity({
      directory: this.#directory,
      connections: this.#connections,
      heartbeatMs: settings.heartbeatMs,
      getListReadAtMs: () => this.#fleetWatcher.listReadAtMs
    })
    this.#usage = this.#createUsageReporting(clock)
    // the registry reads through the view of the peers, which report the versions of streams
    this.#versions = new StreamVersions({ clock, getRegistry: () => this.#registry, readStoredOrigins: async () => await this.#originStore.read(), observer: this.#observer, countReadyVersions })
    this.#peers = new PeerNetwork({
      clock,
      random: Math.random,
      settings,
      store: service,
      prefixes: [decoder.configKey, decoder.endpointPrefix, VERSION_RECORD_PREFIX],
      directory: this.#directory,
      crashes: this.#crashes,
      limits: this.#limits,
      versions: this.#versions,
      handleLeaving: notice => this.#recordLeaving(notice),
      listDoubted: () => identity.listDoubted(),
      handleUsageUpdate: this.#usage === null ? null : update => this.#usage!.receiveUpdate(update),
      listDemands: () => this.#dispatcher.listDemands(),
      log
    })
    this.#registry = new VersionRegistry({
      clock,
      random: Math.random,
      service: this.#peers.view,
      log,
      listServices: () => this.#fleetWatcher.table?.streamLimits ?? new Map(),
      countReadyVersions,
      handleChange: name => {
        this.#versions.recordMove()
        this.#dispatcher.notifyCapacity(name)
      }
    })
    this.#originStore = new StreamOriginStore({
      clock,
      service,
      log,
      domain: settings.domain,
      isWriter: () => this.#peers.isReader(),
      listOrigins: () => this.#versions.listUncertain(),
      mergeOrigins: origins => this.#versions.mergeNews(origins, 'store')
    })
    this.#fleetWatcher = new FleetWatcher({
      clock,
      service: this.#peers.view,
      decoder,
      directory: this.#directory,
      freshness: this.#freshness,
      log,
      heartbeatMs: settings.heartbeatMs,
      handleChange: change => this.#crashes.recordDirectoryChange(change),
      handleTable: table => this.#server.setBounds(table.bounds)
    })
    const observer = this.#observer
    const gate = new AdmissionGate({
      clock,
      random: Math.random,
      getTable: () => this.#fleetWatcher.table,
      getFreshness: () => this.#freshness.getVerdict()
    })
    this.#stallDetector = new StallDetector({ clock, directory: this.#directory, loads: this.#peers.loads, getPermit: endpoint => this.#limits.getPermit(endpoint), log })
    const placement = new Placement({
      directory: this.#directory,
      loads: this.#peers.loads,
      getMaxConnections: name => this.#fleetWatcher.table?.getMaxConnections(name) ?? Infinity,
      getEngine: name => settings.fetchesPrefixes ? this.#fleetWatcher.table?.getEngine(name) ?? null : null,
      getPermit: endpoint => this.#limits.getPermit(endpoint),
      isListedProcess: endpoint => identity.isListed(endpoint),
      isEngine: name => this.#isEngine(name),
      handleRateChange: change => observer.recordRateChange(change),
      random: Math.random
    })
    this.#memory = new CallerMemory({ clock, memoryMb: settings.memoryMb, handleGaveWay: given => this.#observer.recordGaveWay(given, systemClock.getMonotonicMs()) })
    const sender = new EndpointSender({
      budget: new ByteBudget({ ...ANSWER_BUFFER_BYTES, memory: this.#memory }),
      clock,
      dialect: endpointDialect,
      observer,
      placement,
      stallDetector: this.#stallDetector,
      crashes: this.#crashes,
      presence: new PresenceChecker({ clock }),
      connections: this.#connections,
      isLeaving: endpoint => !this.#directory.isReady(endpoint),
      agent: this.#agent,
      getTightestTargetMs: name => this.#fleetWatcher.table?.getTightestTargetMs(name) ?? Infinity,
      handleLeaving: ({ entry }, request) => this.#recordLeaving({ id: entry.id, bornAtMs: entry.bornAtMs, source: 'answer', saidAtMs: systemClock.getMonotonicMs() }, request.traits.requestId),
      handleBegun: (request, version) => this.#versions.recordBegun(request, version),
      handleRun: (request, beganAtMs) => this.#usage?.recordRun(request.workspace, beganAtMs),
      handleLimit: (limit, answer) => this.#limits.recordAnswer(limit, answer),
      handleBroken: endpoint => {
        this.#peers.notifyDoubt()
        this.#fleetWatcher.readEntry(endpoint).then(() => this.#dispatcher.notifyCapacity(endpoint.entry.service), error => log.writeError(error))
      },
      countWaiting: name => this.#dispatcher.countWaiting(name),
      handleCapacity: name => this.#dispatcher.notifyCapacity(name)
    })
    this.#relay = new DirectRelay({
      clock,
      directory: this.#directory,
      placement,
      retries: this.#retries,
      observer,
      dispatcher: this.#dispatcher,
      sender,
      crashes: this.#crashes,
      limits: this.#limits,
      versions: this.#versions,
      sharesRoom: settings.sharesRoom,
      checkStillAdmitted: request => gate.checkStillAdmitted(request),
      checkStop: request => this.#stop?.check(request) ?? null,
      isStopping: () => this.#stop !== null
    })
    this.#server = new RelayServer({
      clock,
      dialect: callerDialect,
      gate,
      relay: this.#relay,
      observer,
      memory: this.#memory,
      maxConnections: Math.max(1, (settings.maxDescriptors - RESERVED_DESCRIPTORS) / 2)
    })
    this.#readyListener = new HttpListener({ handlers: { [options.readyPath]: (request, response) => this.#handleReadyRequest(request, response) } })
    this.#adminListener = new HttpListener({
      handlers: {
        [METRICS_PATH]: createMetricsHandler(this.#metrics),
        [STATE_PATH]: createStateHandler(this.#dump, () => true),
        [LIFT_HOLD_PATH]: createLiftHandler(fingerprint => this.#crashes.removeHold(fingerprint))
      }
    })
    this.#registerGauges()
    this.#registerDumps()
  }

  /**
   * Starts to serve.
   *
   * @throws the system's error when an address is in use or does not belong to this machine
   */
  async start (): Promise<ListenAddresses> {
    const { listen } = this.#options.settings
    this.#fleetWatcher.start()
    this.#registry.start()
    this.#originStore.start()
    this.#crashes.start()
    const ready = await this.#readyListener.listen(listen.ready)
    const callers = await this.#server.listen(listen.callers)
    const admin = await this.#adminListener.listen(listen.admin)
    await this.#peers.start()
    this.#usage?.start()
    return { ready, callers, admin }
  }

  /**
   * Applies changed settings to the running process.
   *
   * @returns the names of changed settings that need a restart
   */
  applySettings (settings: RelaySettings): string[] {
    const needRestart = RESTART_SETTINGS.filter(name => JSON.stringify(settings[name]) !== JSON.stringify(this.#settings[name]))
    this.#settings = settings
    this.#freshness.setMaxAge(FRESH_FRACTION * settings.revocationMs)
    this.#retries.setOptions(buildRetryOptions(settings))
    this.#peers.setSeeds(settings.peers)
    this.#options.log.setBytesPerSecond(settings.logBytesPerSecond)
    return needRestart
  }

  /**
   * Leaves the balancer's rotation while it continues to serve, lets requests in flight finish within the stop time of the
   * settings, and resolves once callers have their replies, before the platform ends the process. `handledAtMs`: when the
   * signal was handled, in monotonic milliseconds.
   */
  async drain (handledAtMs = systemClock.getMonotonicMs()): Promise<void> {
    const { log } = this.#options
    this.#stop = new PlannedStop({
      // the signal may have come while this process could not read it, and the platform counts from there
      signal: { earliestMs: Math.min(handledAtMs, this.#readableTime.getSignalSinceMs()), latestMs: handledAtMs },
      stopMs: this.#settings.stopSeconds * MS_PER_SECOND,
      server: this.#server,
      relay: this.#relay,
      dispatcher: this.#dispatcher,
      limits: this.#limits,
      peers: this.#peers,
      log
    })
    this.#usage?.startLeaving()
    await this.#stop.run()
    await this.#usage?.flush()
  }

  /** Closes everything immediately, without waiting for requests in flight. */
  async close (): Promise<void> {
    this.#server.close()
    this.#readyListener.close()
    this.#adminListener.close()
    this.#agent.destroy()
    this.#dispatcher.close()
    this.#stallDetector.close()
    this.#readableTime.close()
    await Promise.all([this.#fleetWatcher.stop(), this.#registry.stop(), this.#originStore.stop(), this.#crashes.stop(), this.#usage?.stop(), this.#peers.close()])
  }

  /** Creates the usage report; null where the settings name none. */
  #createUsageReporting (clock: Clock): UsageReporting | null {
    const { settings: { id, domain, duties }, usagePlatform, service, log } = this.#options
    if (duties === null || usagePlatform === undefined || usagePlatform === null) return null
    const { usageWindowSeconds: windowSeconds, usageLateSeconds: lateSeconds, leaseMs } = duties
    if (windowSeconds === null || lateSeconds === null) return null
    return new UsageReporting({
      clock,
      random: Math.random,
      gateway: id,
      domain,
      settings: duties,
      usage: { windowSeconds, lateSeconds, leaseMs },
      service,
      platform: usagePlatform,
      log,
      metrics: this.#metrics,
      listPeers: () => this.#peers.listCountTargets(),
      getTeller: () => this.#peers.getTeller(),
      openPeer: teller => this.#peers.openClient(teller),
      getRank: () => this.#peers.findReaderRank()
    })
  }

  #isEngine (service: string): boolean {
    return this.#fleetWatcher.table !== null && this.#fleetWatcher.table.getEngine(service) !== null
  }

  /** Records that an endpoint is leaving; `requestId` names the request whose answer announced it. */
  #recordLeaving (notice: LeavingNotice, requestId?: string): void {
    if (this.#directory.recordLeaving(notice)) this.#observer.recordLeaving(notice, requestId, systemClock.getMonotonicMs())
  }

  #handleReadyRequest (_request: IncomingMessage, response: ServerResponse): void {
    const freshness = this.#freshness.getVerdict()
    const reason = decideReadiness({ isLeaving: this.#stop !== null, isComplete: this.#fleetWatcher.isComplete, freshness })
    if (reason !== this.#unreadyReason) {
      this.#options.log.write('notable', { event: 'readinessChanged', isReady: reason === null, reason, freshness })
      this.#unreadyReason = reason
    }
    const body = reason ?? 'ready'
    response.writeHead(reason === null ? 200 : 503, { 'content-length': body.length }).end(body)
  }

  #registerGauges (): void {
    const { log } = this.#options
    this.#metrics.registerGauge('in_flight', 'Requests without a final answer.', () => this.#relay.countInFlight())
    this.#metrics.registerGauge('caller_connections', 'Open connections of callers.', () => this.#server.countConnections())
    this.#metrics.registerGauge('caller_bytes', 'Bytes that the requests of callers hold, by their stage.', () => this.#memory.listByStage().map(({ stage, bytes }) => ({ labels: { stage }, value: bytes })))
    this.#metrics.registerGauge('config_version', 'Version of the configuration in force.', () => this.#fleetWatcher.table?.version ?? 0)
    this.#metrics.registerGauge('config_age_ms', 'Milliseconds since the configuration was last confirmed.', () => getConfigAgeMs(this.#freshness))
    this.#metrics.registerGauge('endpoints', 'Endpoints by service and state.', () => this.#directory.listAll().map(({ entry }) => ({ labels: { service: entry.service, state: entry.state, endpoint: entry.id }, value: 1 })))
    this.#metrics.registerGauge('endpoint_limit_per_second', 'Requests per second that an endpoint accepts from all gateways together.', () => this.#limits.listNotices().flatMap(({ id, requestsPerSecond }) => requestsPerSecond === null ? [] : [{ labels: { endpoint: id }, value: requestsPerSecond }]))
    this.#metrics.registerGauge('endpoint_recent_sends', 'Requests that this process sent to an endpoint in the last 4 s.', () => this.#directory.listAll().map(({ entry, recentSends }) => ({ labels: { service: entry.service, endpoint: entry.id }, value: recentSends.getCount(systemClock.getMonotonicMs()) })))
    this.#metrics.registerGauge('endpoint_prefill_tokens_per_ms', 'Prompt tokens that an engine is believed to prefill per millisecond.', () => this.#directory.listAll().flatMap(({ entry, prefillRate }) => this.#isEngine(entry.service) ? [{ labels: { service: entry.service, endpoint: entry.id }, value: prefillRate.tokensPerMs }] : []))
    this.#metrics.registerGauge('version_buckets', 'Buckets of stream ids by service and the software version at which their streams begin.', () => this.#registry.listAssignments().flatMap(({ service, assignment }) => [...countBuckets(assignment)].map(([version, value]) => ({ labels: { service, version }, value }))))
    this.#metrics.registerGauge('held_prompt_parts', 'Sets of prompt parts whose requests are refused because they crash endpoints.', () => this.#crashes.listHolds().length)
    this.#metrics.registerGauge('log_lines_total', 'Log lines by what became of them.', () => Object.entries(log.counts).map(([outcome, value]) => ({ labels: { outcome }, value })))
    this.#metrics.registerGauge('longest_delay_ms', 'Longest delay of the event loop.', () => Math.round(this.#readableTime.longestDelayMs))
    this.#metrics.registerGauge('process_memory_bytes', 'Resident memory.', () => process.memoryUsage.rss())
  }

  #registerDumps (): void {
    this.#dump.register('process', () => ({ id: this.#options.settings.id, isLeaving: this.#stop !== null, unreadyReason: this.#unreadyReason, inFlight: this.#relay.countInFlight() }))
    this.#dump.register('callerMemory', () => ({ budgetBytes: this.#memory.budgetBytes, totalBytes: this.#memory.totalBytes, waiting: this.#memory.waitingCount, stages: this.#memory.listByStage() }))
    this.#dump.register('configuration', () => ({ version: this.#fleetWatcher.table?.version ?? null, routes: this.#fleetWatcher.table?.routeCount ?? 0, freshness: this.#freshness.getVerdict() }))
    this.#dump.register('endpoints', () => this.#directory.listAll().map(({ prefixCache: _prefixCache, prefillLimit, prefillRate, recentSends, ...view }) => ({ ...view, prefillRate: prefillRate.describe(systemClock.getMonotonicMs()), readLimitTokens: prefillLimit.tokens, recentSends: recentSends.getCount(systemClock.getMonotonicMs()) })))
    this.#dump.register('leaving', () => this.#directory.listLeaving())
    this.#dump.register('limits', () => this.#limits.listNotices())
    this.#dump.register('versions', () => ({ origins: this.#versions.countOrigins(), freshness: this.#registry.getFreshness(), services: this.#registry.listAssignments().map(({ service, assignment, isUsable }) => ({ service, isUsable, ...buildVersionRecord(assignment) })) }))
    this.#dump.register('crashes', () => this.#crashes.listRecords())
    this.#dump.register('holds', () => this.#crashes.listHolds())
    this.#dump.register('suspects', () => this.#crashes.listSuspects())
    this.#dump.register('peers', () => this.#peers.listPeers())
    this.#dump.register('waiting', () => this.#dispatcher.listServices())
    this.#dump.register('shares', () => selectLargestDemands(this.#dispatcher.listDemands(), MAX_DUMPED_DEMANDS))
    this.#dump.register('retries', () => this.#retries.listServices().map(service => ({ service, ...this.#retries.getUsage(service, systemClock.getMonotonicMs()) })))
    if (this.#usage !== null) this.#dump.register('duties', () => this.#usage?.readState())
    this.#dump.register('metrics', () => this.#metrics.readSummaries())
  }
}

function buildRetryOptions (settings: RelaySettings): RetryWindowOptions {
  return { windowMs: settings.retryWindowSeconds * MS_PER_SECOND, ratio: settings.retryRatio, minRetries: 1 }
}

function getConfigAgeMs (freshness: ViewFreshness): number {
  const verdict = freshness.getVerdict()
  return verdict.kind === 'unconfirmed' ? -1 : verdict.ageMs
}
