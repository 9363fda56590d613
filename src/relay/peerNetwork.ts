import { toReadableMs } from '../base/clock'
import { PeerLoadTable } from '../policy/peerLoadTable'
import { PeerTable } from '../policy/peerTable'
import { BackgroundTask } from '../store/backgroundTask'
import { SharedViewService } from '../store/sharedViewService'
import { LoadExchange } from './loadExchange'
import { PeerGossip } from './peerGossip'
import { PeerServer } from './peerServer'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { RelaySettings } from '../config/processSettings'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { LeavingNotice } from '../policy/leavingNotices'
import type { PeerIdentity } from '../policy/peerTable'
import type { UsageAnswer, UsageUpdate } from '../protocol/usageMessages'
import type { DemandEntry } from '../policy/workspaceDemand'
import type { PeerRecord } from '../protocol/viewMessages'
import type { ObjectService } from '../store/objectService'
import type { CrashGuard } from './crashGuard'
import type { DoubtedEndpoint } from './endpointIdentity'
import type { LimitCoordinator } from './limitCoordinator'
import type { PeerClient } from './peerClient'
import type { StreamVersions } from './streamVersions'

export interface PeerNetworkOptions {
  clock: Clock
  random: () => number
  settings: RelaySettings
  store: ObjectService
  /** Key prefixes that one gateway of a failure domain reads for the others. */
  prefixes: readonly string[]
  directory: EndpointDirectory
  crashes: CrashGuard
  limits: LimitCoordinator
  versions: StreamVersions
  /** Called when another gateway reports that an endpoint is leaving. */
  handleLeaving: (notice: LeavingNotice) => void
  /** Lists the endpoints whose process may have ended since its entry was read. */
  listDoubted: () => DoubtedEndpoint[]
  /** Applies another gateway's usage counts; null where usage is not reported. */
  handleUsageUpdate: ((update: UsageUpdate) => UsageAnswer) | null
  /** Lists what workspaces received and wait for at this gateway, where requests wait. */
  listDemands: () => DemandEntry[]
  log: DecisionLog
}

/** Milliseconds between two checks for reports that expired after the last exchange. */
const EXPIRY_CHECK_INTERVAL_MS = 500

/** Shares a gateway's view of the object service, its crash records and its load with peer gateways. */
export class PeerNetwork {
  readonly #options: PeerNetworkOptions
  readonly #table: PeerTable
  readonly #gossip: PeerGossip
  readonly #loadExchange: LoadExchange
  readonly #server: PeerServer
  /** Expires the last reports once the exchanges have stopped; a gateway that drains still chooses endpoints. */
  readonly #expiry: BackgroundTask
  /** The object service, read through another gateway where one is available. */
  readonly view: SharedViewService
  /** Load of the peer gateways at the endpoints. */
  readonly loads: PeerLoadTable

  constructor (options: PeerNetworkOptions) {
    const { clock, random, settings, store, prefixes, directory, crashes, limits, versions, handleLeaving, listDoubted, listDemands, handleUsageUpdate, log } = options
    this.#options = options
    const self = buildOwnRecord(settings)
    const toReadable = (monotonicMs: number) => toReadableMs(clock, monotonicMs)
    this.#table = new PeerTable(self, toReadable)
    this.loads = new PeerLoadTable(countNamedGateways(settings, self), toReadable)
    this.#gossip = new PeerGossip({
      clock,
      random,
      table: this.#table,
      seeds: settings.peers,
      log,
      listCrashes: () => crashes.listRecords(),
      mergeCrash: record => crashes.mergeRecord(record)
    })
    this.#loadExchange = new LoadExchange({ clock, random, table: this.#table, peerLoads: this.loads, directory, limits, crashes, versions, handleLeaving, listDoubted, listDemands, log, openClient: peer => this.#gossip.openClient(peer) })
    this.view = new SharedViewService({
      clock,
      store,
      prefixes,
      chooseReader: () => this.#gossip.chooseReader(),
      handleAnswer: reader => this.#gossip.recordAnswer(reader),
      handleFailure: (reader, reason) => this.#gossip.recordFailure(reader, reason)
    })
    this.#expiry = new BackgroundTask({
      runStep: async () => {
        this.loads.expire(clock.getMonotonicMs())
        return EXPIRY_CHECK_INTERVAL_MS
      },
      onError: error => log.writeError(error)
    })
    this.#server = new PeerServer({
      view: this.view,
      handlePeerUpdate: update => this.#gossip.receiveUpdate(update),
      handleLoadUpdate: update => this.#loadExchange.receiveUpdate(update),
      handlePermitRequest: request => limits.answerRequest(request),
      handleUsageUpdate
    })
  }

  /**
   * Starts to serve peer gateways and to exchange updates with them. Does nothing when the settings name no address for peers.
   *
   * @throws the system's error when the address is in use or does not belong to this machine
   */
  async start (): Promise<void> {
    const { peers } = this.#options.settings.listen
    if (peers === null) return
    await this.#server.listen(peers)
    this.#gossip.start()
    this.#loadExchange.start()
  }

  /** Stops serving the view, so that its readers choose another source, and stops announcing this gateway. */
  async startLeaving (): Promise<void> {
    this.view.stopServing()
    await Promise.all([this.#gossip.stop(), this.#loadExchange.stop()])
    this.#expiry.start()
  }

  async close (): Promise<void> {
    this.#server.close()
    await this.startLeaving()
    await this.#expiry.stop()
  }

  setSeeds (seeds: readonly string[]): void {
    this.#gossip.setSeeds(seeds)
  }

  /** Notifies some peer gateways immediately that an endpoint crashed. */
  notifyCrash (): void {
    this.#gossip.notifyCrash()
    this.#loadExchange.notify()
  }

  /** Tells peer gateways immediately that this one has learned of another limit of an endpoint. */
  notifyLimit (): void {
    this.#loadExchange.notify()
  }

  /** Tells peer gateways immediately that an endpoint's process may have ended. */
  notifyDoubt (): void {
    this.#loadExchange.notify()
  }

  /** Lists the gateways that may keep the limits of the endpoints in a failure domain, the first choice first. */
  listKeepers (domain: string): PeerIdentity[] {
    return this.#table.listKeepers(domain, this.#options.clock.getMonotonicMs())
  }

  /** Returns whether this gateway reads the object service for those of its failure domain. */
  isReader (): boolean {
    return this.#table.chooseReader(this.#options.clock.getMonotonicMs()) === null
  }

  /** Lists the gateways that are told what this one counts: the reader of its failure domain, or those of the others when it is the reader. */
  listCountTargets (): PeerClient[] {
    const nowMs = this.#options.clock.getMonotonicMs()
    const reader = this.#table.chooseReader(nowMs)
    return (reader === null ? this.#table.listRemoteReaders(nowMs) : [reader]).map(peer => this.openClient(peer))
  }

  /** Returns this gateway, where it reads the object service for its failure domain or for itself; null where another one does. */
  getTeller (): PeerIdentity | null {
    return this.isReader() ? this.#table.self : null
  }

  /** Returns the position of this gateway among the readers of all failure domains, from 0; null when it is none. */
  findReaderRank (): number | null {
    const readers = [...this.#table.listRemoteReaders(this.#options.clock.getMonotonicMs()), this.#table.self]
    readers.sort((one, other) => one.domain < other.domain ? -1 : 1)
    return this.isReader() ? readers.findIndex(({ id }) => id === this.#table.self.id) : null
  }

  openClient (peer: Pick<PeerIdentity, 'id' | 'address'>): PeerClient {
    return this.#gossip.openClient(peer)
  }

  /** Lists the peer gateways of which an update was recently received, for the state dump. */
  listPeers (): PeerRecord[] {
    return this.#table.list(this.#options.clock.getMonotonicMs())
  }
}

function buildOwnRecord ({ id, domain, listen, processorShare }: RelaySettings): PeerIdentity {
  return { id, domain, processorShare, address: listen.peers === null ? '' : `${listen.peers.host}:${listen.peers.port}` }
}

/** Counts the gateways that the settings name, including this one. */
function countNamedGateways ({ listen, peers }: RelaySettings, self: PeerIdentity): number {
  return listen.peers === null ? 1 : 1 + peers.filter(address => address !== self.address).length
}
