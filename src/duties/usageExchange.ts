import { BoundedMap } from '../base/boundedMap'
import { Progress } from '../base/progress'
import { addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'

import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { UsageAnswer, UsageTeller, UsageUpdate } from '../protocol/usageMessages'
import type { TrueTime } from './trueTime'
import type { CountScope, UsageCounts } from './usageCounts'

/** Another gateway to which counts are told. */
export interface UsagePeer {
  id: string
  sendUsageUpdate (update: UsageUpdate, progress: Progress): Promise<Result<UsageAnswer, string>>
}

export interface UsageExchangeOptions {
  clock: Clock
  random: () => number
  /** Id of this process. */
  process: string
  counts: UsageCounts
  trueTime: TrueTime
  /** Returns the last window that is settled at the platform, as far as known here. */
  getReported: () => number
  recordReported: (window: number) => void
  /** Lists the gateways that are told: the reader of this failure domain, or those of the others. */
  listPeers: () => UsagePeer[]
  /** Returns this gateway as the teller of its failure domain; null while another one reads for it. */
  getTeller: () => UsageTeller | null
  openPeer: (teller: UsageTeller) => UsagePeer
  /** Called once in each interval. */
  handleInterval: () => void
  handleError: (error: unknown) => void
}

/** What a peer has confirmed. */
interface ToldState {
  /** Id of its process; null before its first answer. */
  process: string | null
  revision: number
  reported: number
}

/** Milliseconds between two updates: a gateway that is killed takes no more of its counts along. */
const EXCHANGE_INTERVAL_MS = 400
const CALL_TIMEOUT_MS = 600
/** Counts in one update; about 50 KB. The rest follows with the next one. */
const MAX_COUNTS_PER_UPDATE = 2_000
/** Maximum bytes per second that one gateway sends to its peers; the interval grows to keep to it. */
const MAX_BYTES_PER_SECOND = 20_000
const MS_PER_SECOND = 1000
const MAX_PEERS = 100
/** Milliseconds for which a gateway that told the counts of another failure domain is told all that is known. */
const TELLER_VALID_MS = 5000

interface HeardTeller {
  teller: UsageTeller
  /** Monotonic milliseconds of its last update. */
  atMs: number
}

/** Tells the counts of this process, or of its failure domain, to the gateways that sum them. Sends nothing where nothing is new. */
export class UsageExchange {
  readonly #options: UsageExchangeOptions
  readonly #task: BackgroundTask
  readonly #told = new BoundedMap<string, ToldState>(MAX_PEERS)
  readonly #tellers = new BoundedMap<string, HeardTeller>(MAX_PEERS)
  #sentBytes = 0

  constructor (options: UsageExchangeOptions) {
    this.#options = options
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runStep(signal), onError: options.handleError })
  }

  start (): void {
    this.#task.start(addJitter(EXCHANGE_INTERVAL_MS, this.#options.random))
  }

  async stop (): Promise<void> {
    await this.#task.stop()
  }

  /** Tells what is still unknown to others, at the end of a planned stop. */
  async flush (): Promise<void> {
    await this.#sendAll(new AbortController().signal)
  }

  /** Applies another gateway's update. */
  receiveUpdate (update: UsageUpdate): UsageAnswer {
    const { clock, counts, process, trueTime, recordReported } = this.#options
    trueTime.recordPeer(update.process, update.ownMs)
    counts.merge(update.counts)
    if (update.teller !== null) this.#tellers.set(update.teller.id, { teller: update.teller, atMs: clock.getMonotonicMs() })
    if (update.reported !== null) recordReported(update.reported)
    return { process, reported: this.#getReported(), trueMs: trueTime.getMs() }
  }

  async #runStep (signal: AbortSignal): Promise<number> {
    this.#options.handleInterval()
    await this.#sendAll(signal)
    return addJitter(Math.max(EXCHANGE_INTERVAL_MS, MS_PER_SECOND * this.#sentBytes / MAX_BYTES_PER_SECOND), this.#options.random)
  }

  async #sendAll (signal: AbortSignal): Promise<void> {
    this.#sentBytes = 0
    const peers = this.#options.listPeers()
    const others = this.#listOtherTellers(peers)
    await Promise.all([...peers.map(async peer => await this.#send(peer, 'domain', signal)), ...others.map(async peer => await this.#send(peer, 'all', signal))])
  }

  /**
   * Lists the gateways that tell the counts of other failure domains and are not told as their readers. After a reader has
   * lost the object service, each of its members reads for itself: it knows no counts but its own, and may report next.
   */
  #listOtherTellers (peers: readonly UsagePeer[]): UsagePeer[] {
    const { clock, getTeller, openPeer } = this.#options
    const self = getTeller()
    if (self === null) return []
    const told = new Set(peers.map(({ id }) => id))
    const sinceMs = clock.getMonotonicMs() - TELLER_VALID_MS
    return [...this.#tellers.values()].flatMap(({ teller, atMs }) => atMs < sinceMs || told.has(teller.id) || teller.domain === self.domain ? [] : [openPeer(teller)])
  }

  async #send (peer: UsagePeer, scope: CountScope, signal: AbortSignal): Promise<void> {
    const { counts, process, clock, trueTime, getReported, recordReported, getTeller } = this.#options
    const key = `${scope} ${peer.id}`
    const told = this.#told.get(key) ?? { process: null, revision: 0, reported: -Infinity }
    const unknown = counts.listUnknown(told.revision, MAX_COUNTS_PER_UPDATE, scope)
    const reported = getReported()
    if (unknown.counts.length === 0 && reported <= told.reported) return
    const update: UsageUpdate = { process, reported: this.#getReported(), ownMs: trueTime.getOwnMs(), teller: getTeller(), counts: unknown.counts }
    this.#sentBytes += JSON.stringify(update).length
    const answer = await peer.sendUsageUpdate(update, new Progress({ title: 'telling usage counts', timeoutMs: CALL_TIMEOUT_MS, signal, clock }))
    if (answer.isErr) return
    trueTime.recordReader(answer.value.trueMs)
    if (answer.value.reported !== null) recordReported(answer.value.reported)
    // a process that started again knows only what this update held
    const isSame = told.process === null || told.process === answer.value.process
    this.#told.set(key, { process: answer.value.process, revision: isSame ? unknown.revision : 0, reported })
  }

  #getReported (): number | null {
    const reported = this.#options.getReported()
    return Number.isFinite(reported) ? reported : null
  }
}
