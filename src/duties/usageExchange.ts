import { BoundedMap } from '../base/boundedMap'
import { Progress } from '../base/progress'
import { addJitter } from '../store/backoff'
import { BackgroundTask } from '../store/backgroundTask'

import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { UsageAnswer, UsageUpdate } from '../protocol/usageMessages'
import type { TrueTime } from './trueTime'
import type { UsageCounts } from './usageCounts'

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

/** Tells the counts of this process, or of its failure domain, to the gateways that sum them. Sends nothing where nothing is new. */
export class UsageExchange {
  readonly #options: UsageExchangeOptions
  readonly #task: BackgroundTask
  readonly #told = new BoundedMap<string, ToldState>(MAX_PEERS)
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
    const { counts, process, trueTime, recordReported } = this.#options
    trueTime.recordPeer(update.process, update.ownMs)
    counts.merge(update.counts)
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
    await Promise.all(this.#options.listPeers().map(async peer => await this.#send(peer, signal)))
  }

  async #send (peer: UsagePeer, signal: AbortSignal): Promise<void> {
    const { counts, process, clock, trueTime, getReported, recordReported } = this.#options
    const told = this.#told.get(peer.id) ?? { process: null, revision: 0, reported: -Infinity }
    const unknown = counts.listUnknown(told.revision, MAX_COUNTS_PER_UPDATE)
    const reported = getReported()
    if (unknown.counts.length === 0 && reported <= told.reported) return
    const update: UsageUpdate = { process, reported: this.#getReported(), ownMs: trueTime.getOwnMs(), counts: unknown.counts }
    this.#sentBytes += JSON.stringify(update).length
    const answer = await peer.sendUsageUpdate(update, new Progress({ title: 'telling usage counts', timeoutMs: CALL_TIMEOUT_MS, signal, clock }))
    if (answer.isErr) return
    trueTime.recordReader(answer.value.trueMs)
    if (answer.value.reported !== null) recordReported(answer.value.reported)
    // a process that started again knows only what this update held
    const isSame = told.process === null || told.process === answer.value.process
    this.#told.set(peer.id, { process: answer.value.process, revision: isSame ? unknown.revision : 0, reported })
  }

  #getReported (): number | null {
    const reported = this.#options.getReported()
    return Number.isFinite(reported) ? reported : null
  }
}
