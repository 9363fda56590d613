import { Progress } from '../base/progress'
import { addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'
import { decodeDemands, encodeDemands } from './demandReports'
import { collectByVersion } from './streamOriginStore'
import { DOMAIN_SOURCES } from './streamVersions'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { LeavingNotice } from '../policy/leavingNotices'
import type { EndpointLoad, PeerLoadTable, LoadReport, ReportScope } from '../policy/peerLoadTable'
import type { PeerTable } from '../policy/peerTable'
import type { OriginKnowledge } from '../policy/streamOrigins'
import type { DemandEntry } from '../policy/workspaceDemand'
import type { LoadUpdate } from '../protocol/viewMessages'
import type { CrashGuard } from './crashGuard'
import type { DoubtedEndpoint } from './endpointIdentity'
import type { LimitCoordinator } from './limitCoordinator'
import type { PeerClient } from './peerClient'
import type { StreamVersions } from './streamVersions'

export interface LoadExchangeOptions {
  clock: Clock
  random: () => number
  table: PeerTable
  peerLoads: PeerLoadTable
  directory: EndpointDirectory
  limits: LimitCoordinator
  crashes: CrashGuard
  versions: StreamVersions
  log: DecisionLog
  /** Called when another gateway reports that an endpoint is leaving. */
  handleLeaving: (notice: LeavingNotice) => void
  /** Lists the endpoints whose process may have ended since its entry was read, with the time of the sign. */
  listDoubted: () => DoubtedEndpoint[]
  /** Lists what workspaces received and wait for at this gateway, where requests wait. */
  listDemands: () => DemandEntry[]
  openClient: (peer: { id: string, address: string }) => PeerClient
}

const OWN_SOURCES: ReadonlySet<OriginKnowledge> = new Set(['own'])
const ALL_SOURCES: ReadonlySet<OriginKnowledge> = new Set(['own', 'member', 'peer', 'store'])
/** Milliseconds between two exchanges. Short compared with the latency targets, because the backlog of an endpoint decides which prompts it still has capacity for. */
const EXCHANGE_INTERVAL_MS = 200
/** Minimum milliseconds between the start of an exchange and one that a notification starts early. */
const MIN_EXCHANGE_INTERVAL_MS = 100
const CALL_TIMEOUT_MS = 600
/** Maximum bytes per second that one gateway sends to its peers; the interval grows to keep to it. */
const MAX_BYTES_PER_SECOND = 20_000
const MS_PER_SECOND = 1000
/** Maximum reported milliseconds since the last bytes of an endpoint. Longer times make no difference; an endpoint that has sent none is reported with this value. */
const MAX_REPORTED_IDLE_MS = 60_000

/** Minimum prompt tokens that an endpoint prefilled recently, from which on its first events are reported. */
const MIN_REPORTED_TOKENS = 100

/**
 * Exchanges the gateways' loads at the endpoints. The gateways of a failure domain report to the one
 * that reads the object service for them. These readers report to each other, each for its domain.
 */
export class LoadExchange {
  readonly #options: LoadExchangeOptions
  readonly #task: BackgroundTask
  /** Sources of received updates. Maps the id of a gateway of this domain to null, and the name of another domain to itself. */
  readonly #reporters = new Map<string, string | null>()
  #sentBytes = 0
  #lastStepAtMs = -Infinity

  constructor (options: LoadExchangeOptions) {
    this.#options = options
    this.#task = new BackgroundTask({
      runStep: async signal => await this.#runStep(signal),
      onError: error => options.log.writeError(error)
    })
  }

  start (): void {
    this.#task.start(addJitter(EXCHANGE_INTERVAL_MS, this.#options.random))
  }

  async stop (): Promise<void> {
    await this.#task.stop()
  }

  /** Starts the next exchange now, unless one has just started. */
  notify (): void {
    const elapsedMs = this.#options.clock.getMonotonicMs() - this.#lastStepAtMs
    if (elapsedMs >= Math.max(MIN_EXCHANGE_INTERVAL_MS, this.#computeByteIntervalMs())) this.#task.notify()
  }

  /** Applies another gateway's load and returns the load that it does not know of. */
  receiveUpdate (update: LoadUpdate): LoadUpdate {
    this.#applyUpdate(update, update.domain === null ? 'gateway' : 'domain')
    return update.domain === null ? this.#buildMemberUpdate(update.teller) : this.#buildDomainUpdate()
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const { table, clock, peerLoads, random } = this.#options
    const nowMs = clock.getMonotonicMs()
    this.#lastStepAtMs = nowMs
    peerLoads.expire(nowMs)
    this.#sentBytes = 0
    const reader = table.chooseReader(nowMs)
    const exchanges = reader !== null
      ? [this.#send(reader, this.#buildOwnUpdate(), signal)]
      : table.listRemoteReaders(nowMs).map(async peer => await this.#send(peer, this.#buildDomainUpdate(), signal))
    await Promise.all(exchanges)
    return addJitter(Math.max(EXCHANGE_INTERVAL_MS, this.#computeByteIntervalMs()), random)
  }

  /** Computes the interval at which the bytes of the last exchange keep to the maximum rate. */
  #computeByteIntervalMs (): number {
    return MS_PER_SECOND * this.#sentBytes / MAX_BYTES_PER_SECOND
  }

  async #send (peer: { id: string, address: string }, update: LoadUpdate, signal: AbortSignal): Promise<void> {
    const { openClient, clock } = this.#options
    this.#sentBytes += JSON.stringify(update).length
    const progress = new Progress({ title: 'exchanging load updates', timeoutMs: CALL_TIMEOUT_MS, signal, clock })
    const answer = await openClient(peer).sendLoadUpdate(update, progress)
    if (answer.isOk) this.#applyUpdate(answer.value, update.domain === null ? 'others' : 'domain')
  }

  #applyUpdate ({ teller: reporter, domain, gateways, loads, engines, leaving, doubted, limits, crashes, answered, begun, demands }: LoadUpdate, scope: ReportScope): void {
    const { peerLoads, clock, directory, handleLeaving, limits: coordinator, crashes: guard, versions } = this.#options
    const nowMs = clock.getMonotonicMs()
    const sends = new Map(limits.map(([id, , , , recentSends]) => [id, recentSends]))
    const report = new Map(loads.map(([id, inFlight, pendingTokens, heardAgoMs], index) => [id, { inFlight, pendingTokens, heardAtMs: nowMs - heardAgoMs, permittedSends: sends.get(id) ?? 0, ...decodeEngineLoad(engines[index]) }]))
    peerLoads.record(domain ?? reporter, report, nowMs, { gateways, scope, demands: decodeDemands(demands) })
    this.#reporters.set(domain ?? reporter, domain)
    for (const [id, bornAtMs, saidAgoMs] of leaving) handleLeaving({ id, bornAtMs, source: 'peer', saidAtMs: nowMs - saidAgoMs })
    for (const [id, bornAtMs, agoMs] of doubted) directory.recordDoubt({ id, bornAtMs }, nowMs - agoMs)
    for (const [id, bornAtMs, version, requestsPerSecond] of limits) coordinator.mergeNotice({ id, bornAtMs, version, requestsPerSecond })
    guard.mergeNews({
      crashes: crashes.map(([crashId, agoMs, requests]) => ({ crashId, atMs: nowMs - agoMs, requests })),
      answered: answered.map(([part, agoMs]) => ({ part, atMs: nowMs - agoMs }))
    })
    versions.mergeNews(begun.flatMap(([service, version, keys]) => keys.map(key => ({ service, version, key }))), scope === 'gateway' ? 'member' : 'peer')
  }

  /** Builds the update with this gateway's load, for the reader of its domain. */
  #buildOwnUpdate (): LoadUpdate {
    const ownLoads = this.#listOwnLoads()
    return { teller: this.#options.table.self.id, domain: null, gateways: 1, loads: this.#toTuples(ownLoads), engines: encodeEngineLoads(ownLoads), leaving: this.#listLeaving(), doubted: this.#listDoubted(), limits: this.#listLimits(ownLoads), ...this.#listCrashNews(), begun: this.#listBegun(OWN_SOURCES), demands: encodeDemands(this.#options.listDemands()) }
  }

  /** Builds the update with the load of all gateways of this domain, for another domain. */
  #buildDomainUpdate (): LoadUpdate {
    return this.#buildSumUpdate(this.#options.table.self.domain, reporter => this.#reporters.get(reporter) !== null)
  }

  /** Builds the update with all load except that of one gateway of this domain, for that gateway. */
  #buildMemberUpdate (member: string): LoadUpdate {
    return this.#buildSumUpdate(null, reporter => reporter === member)
  }

  #buildSumUpdate (domain: string | null, isExcluded: (reporter: string) => boolean): LoadUpdate {
    const { peerLoads, table } = this.#options
    const total = peerLoads.computeTotal(this.#listOwnLoads(), isExcluded)
    const demands = peerLoads.computeTotalDemands(this.#options.listDemands(), isExcluded)
    return { teller: table.self.id, domain, gateways: peerLoads.countGateways(isExcluded), loads: this.#toTuples(total), engines: encodeEngineLoads(total), leaving: this.#listLeaving(), doubted: this.#listDoubted(), limits: this.#listLimits(total), ...this.#listCrashNews(), begun: this.#listBegun(domain === null ? ALL_SOURCES : DOMAIN_SOURCES), demands: encodeDemands(demands) }
  }

  #listBegun (sources: ReadonlySet<OriginKnowledge>): LoadUpdate['begun'] {
    return collectByVersion(this.#options.versions.listNews(sources))
  }

  #listOwnLoads (): LoadReport {
    const { directory, limits, clock } = this.#options
    const ownLoads = new Map<string, EndpointLoad>()
    const nowMs = clock.getMonotonicMs()
    for (const { entry, inFlight, pendingTokens, heardAtMs, prefillRate } of directory.listAll()) {
      const permittedSends = limits.getRecentSends(entry)
      const prefill = prefillRate.getEvidence(nowMs)
      const hasEvidence = prefill.tokens >= MIN_REPORTED_TOKENS
      if (inFlight > 0 || permittedSends > 0 || hasEvidence) ownLoads.set(entry.id, { inFlight, pendingTokens, heardAtMs, permittedSends, ...hasEvidence ? { prefill } : {} })
    }
    return ownLoads
  }

  #listLeaving (): LoadUpdate['leaving'] {
    const nowMs = this.#options.clock.getMonotonicMs()
    return this.#options.directory.listLeaving().map(({ id, bornAtMs, saidAtMs }) => [id, bornAtMs, Math.max(0, Math.round(nowMs - saidAtMs))])
  }

  #listDoubted (): LoadUpdate['doubted'] {
    const nowMs = this.#options.clock.getMonotonicMs()
    return this.#options.listDoubted().map(({ id, bornAtMs, atMs }) => [id, bornAtMs, Math.max(0, Math.round(nowMs - atMs))])
  }

  #listCrashNews (): Pick<LoadUpdate, 'crashes' | 'answered'> {
    const { crashes, clock } = this.#options
    const nowMs = clock.getMonotonicMs()
    const news = crashes.listNews()
    return {
      crashes: news.crashes.map(({ crashId, atMs, requests }) => [crashId, Math.round(nowMs - atMs), requests.map(parts => [...parts])]),
      answered: news.answered.map(({ part, atMs }) => [part, Math.round(nowMs - atMs)])
    }
  }

  /** Lists the limits that endpoints named, with the sends of the reported gateways under them. */
  #listLimits (report: LoadReport): LoadUpdate['limits'] {
    return this.#options.limits.listNotices().map(({ id, bornAtMs, version, requestsPerSecond }) => [id, bornAtMs, version, requestsPerSecond, report.get(id)?.permittedSends ?? 0])
  }

  #toTuples (report: LoadReport): LoadUpdate['loads'] {
    const nowMs = this.#options.clock.getMonotonicMs()
    return [...report].map(([id, { inFlight, pendingTokens, heardAtMs }]) => [id, inFlight, Math.round(pendingTokens), Math.round(Math.min(MAX_REPORTED_IDLE_MS, nowMs - heardAtMs))])
  }
}

/** Encodes what is known about engines, in the order of the loads; empty when the report has none. */
function encodeEngineLoads (report: LoadReport): LoadUpdate['engines'] {
  const loads = [...report.values()]
  if (loads.every(({ prefill }) => prefill === undefined)) return []
  return loads.map(({ prefill }) => prefill === undefined ? [] : [Math.round(prefill.expectedMs), Math.round(prefill.measuredMs), Math.round(prefill.tokens)])
}

function decodeEngineLoad (numbers: readonly number[] | undefined): Pick<EndpointLoad, 'prefill'> {
  const [expectedMs, measuredMs, tokens = 0] = numbers ?? []
  return expectedMs === undefined || measuredMs === undefined ? {} : { prefill: { expectedMs, measuredMs, tokens } }
}
