import { PeerLoadTable } from '../policy/peerLoadTable'
import { PeerTable } from '../policy/peerTable'
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
import type { PeerRecord } from '../protocol/viewMessages'
import type { ObjectService } from '../store/objectService'
import type { CrashGuard } from './crashGuard'

export interface PeerNetworkOptions {
  clock: Clock
  random: () => number
  settings: RelaySettings
  store: ObjectService
  /** Prefixes of the store that one gateway of a failure domain reads for the others. */
  prefixes: readonly string[]
  directory: EndpointDirectory
  crashes: CrashGuard
  /** Told of an endpoint that another gateway knows to leave. */
  handleLeaving: (notice: LeavingNotice) => void
  log: DecisionLog
}

/** All that a gateway shares with others: its view of the store, crashes of endpoints, and loads. */
export class PeerNetwork {
  readonly #options: PeerNetworkOptions
  readonly #table: PeerTable
  readonly #gossip: PeerGossip
  readonly #loadExchange: LoadExchange
  readonly #server: PeerServer
  /** The store, read through another gateway where there is one. */
  readonly view: SharedViewService
  /** What the other gateways have at the endpoints. */
  readonly loads = new PeerLoadTable()

  constructor (options: PeerNetworkOptions) {
    const { clock, random, settings, store, prefixes, directory, crashes, handleLeaving, log } = options
    this.#options = options
    this.#table = new PeerTable(buildOwnRecord(settings))
    this.#gossip = new PeerGossip({
      clock,
      random,
      table: this.#table,
      seeds: settings.peers,
      log,
      listCrashes: () => crashes.listRecords(),
      mergeCrash: record => crashes.mergeRecord(record)
    })
    this.#loadExchange = new LoadExchange({ clock, random, table: this.#table, peerLoads: this.loads, directory, handleLeaving, log, openClient: peer => this.#gossip.openClient(peer) })
    this.view = new SharedViewService({
      clock,
      store,
      prefixes,
      chooseReader: () => this.#gossip.chooseReader(),
      handleAnswer: reader => this.#gossip.recordAnswer(reader),
      handleFailure: (reader, reason) => this.#gossip.recordFailure(reader, reason)
    })
    this.#server = new PeerServer({
      view: this.view,
      handlePeerUpdate: news => this.#gossip.receiveUpdate(news),
      handleLoadUpdate: news => this.#loadExchange.receiveUpdate(news)
    })
  }

  /**
   * Starts to answer other gateways and to look for them; does nothing when the settings share nothing.
   *
   * @throws the system's error when the address is taken or not of this machine
   */
  async start (): Promise<void> {
    const { peers } = this.#options.settings.listen
    if (peers === null) return
    await this.#server.listen(peers)
    this.#gossip.start()
    this.#loadExchange.start()
  }

  /** Sends those who follow this gateway elsewhere, and tells nobody any more that it is there. */
  async startLeaving (): Promise<void> {
    this.view.stopServing()
    await Promise.all([this.#gossip.stop(), this.#loadExchange.stop()])
  }

  async close (): Promise<void> {
    this.#server.close()
    await this.startLeaving()
  }

  setSeeds (seeds: readonly string[]): void {
    this.#gossip.setSeeds(seeds)
  }

  /** Tells other gateways at once that an endpoint crashed. */
  notifyCrash (): void {
    this.#gossip.notifyCrash()
  }

  /** Lists the gateways heard of lately, for the state dump. */
  listPeers (): PeerRecord[] {
    return this.#table.list(this.#options.clock.getMonotonicMs())
  }
}

function buildOwnRecord ({ id, domain, listen, processorShare }: RelaySettings): PeerIdentity {
  return { id, domain, processorShare, address: listen.peers === null ? '' : `${listen.peers.host}:${listen.peers.port}` }
}
