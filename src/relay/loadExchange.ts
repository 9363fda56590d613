import { Progress } from '../base/progress'
import { addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { LeavingNotice } from '../policy/leavingNotices'
import type { EndpointLoad, PeerLoadTable, LoadReport } from '../policy/peerLoadTable'
import type { PeerTable } from '../policy/peerTable'
import type { LoadUpdate } from '../protocol/viewMessages'
import type { PeerClient } from './peerClient'

export interface LoadExchangeOptions {
  clock: Clock
  random: () => number
  table: PeerTable
  peerLoads: PeerLoadTable
  directory: EndpointDirectory
  log: DecisionLog
  /** Called when another gateway reports that an endpoint is leaving. */
  handleLeaving: (notice: LeavingNotice) => void
  openClient: (peer: { id: string, address: string }) => PeerClient
}

/** Milliseconds between two exchanges. Short compared with the latency targets, because the backlog of an endpoint decides which prompts it still has capacity for. */
const EXCHANGE_INTERVAL_MS = 200
const CALL_TIMEOUT_MS = 600
/** Maximum bytes per second that one gateway sends to its peers; the interval grows to keep to it. */
const MAX_BYTES_PER_SECOND = 20_000
const MS_PER_SECOND = 1000
/** Maximum reported milliseconds since the last bytes of an endpoint. Longer times make no difference; an endpoint that has sent none is reported with this value. */
const MAX_REPORTED_IDLE_MS = 60_000

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

  /** Applies another gateway's load and returns the load that it does not know of. */
  receiveUpdate (update: LoadUpdate): LoadUpdate {
    this.#applyUpdate(update)
    return update.domain === null ? this.#buildMemberUpdate(update.teller) : this.#buildDomainUpdate()
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const { table, clock, peerLoads, random } = this.#options
    const nowMs = clock.getMonotonicMs()
    peerLoads.expire(nowMs)
    this.#sentBytes = 0
    const reader = table.chooseReader(nowMs)
    const exchanges = reader !== null
      ? [this.#send(reader, this.#buildOwnUpdate(), signal)]
      : table.listRemoteReaders(nowMs).map(async peer => await this.#send(peer, this.#buildDomainUpdate(), signal))
    await Promise.all(exchanges)
    return addJitter(Math.max(EXCHANGE_INTERVAL_MS, MS_PER_SECOND * this.#sentBytes / MAX_BYTES_PER_SECOND), random)
  }

  async #send (peer: { id: string, address: string }, update: LoadUpdate, signal: AbortSignal): Promise<void> {
    const { openClient, clock } = this.#options
    this.#sentBytes += JSON.stringify(update).length
    const progress = new Progress({ title: 'exchanging load updates', timeoutMs: CALL_TIMEOUT_MS, signal, clock })
    const answer = await openClient(peer).sendLoadUpdate(update, progress)
    if (answer.isOk) this.#applyUpdate(answer.value)
  }

  #applyUpdate ({ teller: reporter, domain, gateways, loads, leaving }: LoadUpdate): void {
    const { peerLoads, clock, handleLeaving } = this.#options
    const nowMs = clock.getMonotonicMs()
    const report = new Map(loads.map(([id, inFlight, pendingTokens, heardAgoMs]) => [id, { inFlight, pendingTokens, heardAtMs: nowMs - heardAgoMs }]))
    peerLoads.record(domain ?? reporter, report, nowMs, gateways)
    this.#reporters.set(domain ?? reporter, domain)
    for (const [id, bornAtMs, saidAgoMs] of leaving) handleLeaving({ id, bornAtMs, source: 'peer', saidAtMs: nowMs - saidAgoMs })
  }

  /** Builds the update with this gateway's load, for the reader of its domain. */
  #buildOwnUpdate (): LoadUpdate {
    return { teller: this.#options.table.self.id, domain: null, gateways: 1, loads: this.#toTuples(this.#listOwnLoads()), leaving: this.#listLeaving() }
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
    return { teller: table.self.id, domain, gateways: peerLoads.countGateways(isExcluded), loads: this.#toTuples(peerLoads.computeTotal(this.#listOwnLoads(), isExcluded)), leaving: this.#listLeaving() }
  }

  #listOwnLoads (): LoadReport {
    const ownLoads = new Map<string, EndpointLoad>()
    for (const { entry, inFlight, pendingTokens, heardAtMs } of this.#options.directory.listAll()) {
      if (inFlight > 0) ownLoads.set(entry.id, { inFlight, pendingTokens, heardAtMs })
    }
    return ownLoads
  }

  #listLeaving (): LoadUpdate['leaving'] {
    const nowMs = this.#options.clock.getMonotonicMs()
    return this.#options.directory.listLeaving().map(({ id, bornAtMs, saidAtMs }) => [id, bornAtMs, Math.max(0, Math.round(nowMs - saidAtMs))])
  }

  #toTuples (report: LoadReport): LoadUpdate['loads'] {
    const nowMs = this.#options.clock.getMonotonicMs()
    return [...report].map(([id, { inFlight, pendingTokens, heardAtMs }]) => [id, inFlight, Math.round(pendingTokens), Math.round(Math.min(MAX_REPORTED_IDLE_MS, nowMs - heardAtMs))])
  }
}
