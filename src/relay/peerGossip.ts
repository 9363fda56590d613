import { Progress } from '../base/progress'
import { addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'
import { PeerClient } from './peerClient'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { PeerTable } from '../policy/peerTable'
import type { CrashRecord } from '../protocol/crashRecord'
import type { PeerUpdate } from '../protocol/viewMessages'
import type { ViewReader } from '../store/sharedViewService'

export interface PeerGossipOptions {
  clock: Clock
  random: () => number
  table: PeerTable
  /** Addresses from the settings, through which the first peers are found. */
  seeds: readonly string[]
  log: DecisionLog
  listCrashes: () => CrashRecord[]
  mergeCrash: (record: CrashRecord) => void
}

/** Milliseconds between two exchanges; a gateway of which no update was received for five intervals no longer counts as present. */
const EXCHANGE_INTERVAL_MS = 3_000
/** Milliseconds between the first exchanges. All gateways start at the same time; the shorter interval lets them know each other before traffic arrives. */
const INITIAL_EXCHANGE_INTERVAL_MS = 500
const INITIAL_EXCHANGES = 6
const CALL_TIMEOUT_MS = 1_000
/** Maximum number of clients kept; each one with an idle connection holds a file descriptor. */
const MAX_CLIENTS = 64
/** Gateways notified immediately of a new crash; each forwards it in its own exchanges. */
const CRASH_FANOUT = 3
/** Maximum crash records per exchange; the latest ones are sent. */
const MAX_CRASH_RECORDS_PER_EXCHANGE = 20

/** Exchanges membership and crash records with peer gateways. */
export class PeerGossip {
  readonly #options: PeerGossipOptions
  readonly #clients = new Map<string, PeerClient>()
  readonly #task: BackgroundTask
  #exchanges = 0
  #seedAddresses: readonly string[]
  /** Id of the gateway whose view is used, as last logged. */
  #readerId: string | null = null

  constructor (options: PeerGossipOptions) {
    this.#options = options
    this.#seedAddresses = options.seeds
    this.#task = new BackgroundTask({
      runStep: async signal => await this.#runStep(signal),
      onError: error => this.#options.log.writeError(error)
    })
  }

  start (): void {
    this.#task.start(addJitter(INITIAL_EXCHANGE_INTERVAL_MS, this.#options.random))
  }

  async stop (): Promise<void> {
    await this.#task.stop()
    for (const client of this.#clients.values()) client.close()
  }

  setSeeds (seeds: readonly string[]): void {
    this.#seedAddresses = seeds
  }

  /** Chooses the gateway whose view of the object service is used. Returns null when this gateway reads the object service itself. */
  chooseReader (): ViewReader | null {
    const { table, clock, log } = this.#options
    const chosen = table.chooseReader(clock.getMonotonicMs())
    const id = chosen?.id ?? null
    if (id !== this.#readerId) {
      log.write('notable', { event: 'viewSourceChanged', reader: id, before: this.#readerId })
      this.#readerId = id
    }
    return chosen === null ? null : this.openClient(chosen)
  }

  recordAnswer (reader: ViewReader): void {
    this.#options.table.recordAnswer(reader.id, this.#options.clock.getMonotonicMs())
  }

  recordFailure (reader: ViewReader, reason: string): void {
    const { table, clock, log } = this.#options
    log.write('notable', { event: 'viewReaderFailed', reader: reader.id, reason })
    table.recordFailure(reader.id, clock.getMonotonicMs())
  }

  /** Notifies some gateways immediately that this one has observed an endpoint crash. */
  notifyCrash (): void {
    const { random, table, clock } = this.#options
    const peers = table.list(clock.getMonotonicMs()).map(peer => ({ peer, order: random() }))
    peers.sort((one, other) => one.order - other.order)
    const { signal } = new AbortController()
    const sends = peers.slice(0, CRASH_FANOUT).map(async ({ peer }) => await this.#sendUpdate(this.openClient(peer), signal))
    Promise.all(sends).catch(error => this.#options.log.writeError(error))
  }

  /** Applies another gateway's update and returns this gateway's. */
  receiveUpdate (update: PeerUpdate): PeerUpdate {
    this.#applyUpdate(update)
    return this.#buildUpdate(update.self.domain)
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    const { random } = this.#options
    this.#exchanges += 1
    const client = this.#choosePeer()
    if (client !== null) await this.#sendUpdate(client, signal)
    return addJitter(this.#exchanges < INITIAL_EXCHANGES ? INITIAL_EXCHANGE_INTERVAL_MS : EXCHANGE_INTERVAL_MS, random)
  }

  /** Chooses a gateway of the own domain and one from the settings in turn, so that exchanges do not depend on either source alone. */
  #choosePeer (): PeerClient | null {
    const { table, clock, random } = this.#options
    const { address, domain } = table.self
    const seeds = this.#seedAddresses.filter(seed => seed !== address)
    const domainPeers = table.list(clock.getMonotonicMs(), domain)
    const usesSeed = seeds.length > 0 && (domainPeers.length === 0 || this.#exchanges % 2 === 1)
    if (!usesSeed) return domainPeers.length === 0 ? null : this.openClient(selectRandom(domainPeers, random))
    const seed = selectRandom(seeds, random)
    return this.openClient({ id: seed, address: seed })
  }

  async #sendUpdate (client: PeerClient, signal: AbortSignal): Promise<void> {
    const { table, clock } = this.#options
    const progress = new Progress({ title: 'exchanging peer updates', timeoutMs: CALL_TIMEOUT_MS, signal, clock })
    // the domain of a seed is unknown; the receiver drops the records that it does not need
    const answer = await client.sendPeerUpdate(this.#buildUpdate(table.self.domain), progress)
    if (answer.isOk) this.#applyUpdate(answer.value)
  }

  #applyUpdate (update: PeerUpdate): void {
    const { table, clock, mergeCrash } = this.#options
    const nowMs = clock.getMonotonicMs()
    for (const peer of [update.self, ...update.peers]) table.record(peer, nowMs)
    for (const record of update.crashes) mergeCrash(record)
  }

  #buildUpdate (domain: string): PeerUpdate {
    const { table, clock, listCrashes } = this.#options
    return { self: table.self, peers: table.listForDomain(domain, clock.getMonotonicMs()), crashes: listCrashes().slice(-MAX_CRASH_RECORDS_PER_EXCHANGE) }
  }

  /** Returns the client for another gateway. */
  openClient ({ id, address }: { id: string, address: string }): PeerClient {
    const key = `${id}@${address}`
    const client = this.#clients.get(key) ?? new PeerClient({ id, address })
    // keeps the map ordered by last use
    this.#clients.delete(key)
    this.#clients.set(key, client)
    this.#closeLeastRecentlyUsed()
    return client
  }

  #closeLeastRecentlyUsed (): void {
    if (this.#clients.size <= MAX_CLIENTS) return
    const leastRecent = this.#clients.entries().next()
    if (leastRecent.done === true) return
    const [key, client] = leastRecent.value
    client.close()
    this.#clients.delete(key)
  }
}

function selectRandom<T> (items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)]!
}
