import { createId } from '../base/identifiers'
import { DutyObserver } from './dutyObserver'
import { DutyRunner } from './dutyRunner'
import { TrueTime } from './trueTime'
import { UsageCounts } from './usageCounts'
import { UsageDuty } from './usageDuty'
import { UsageExchange } from './usageExchange'
import { buildUsageTiming, findWindow } from './usageTiming'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { Metrics } from '../base/metrics'
import type { DutySettings } from '../config/processSettings'
import type { UsageAnswer, UsageTeller, UsageUpdate } from '../protocol/usageMessages'
import type { ObjectService } from '../store/objectService'
import type { UsagePlatform } from './dutyRunner'
import type { UsagePeer } from './usageExchange'
import type { UsagePeriods, UsageTiming } from './usageTiming'

export interface UsageReportingOptions {
  clock: Clock
  random: () => number
  /** Name of this gateway, and its failure domain. */
  gateway: string
  domain: string
  settings: DutySettings
  /** When usage is reported. */
  usage: UsagePeriods
  service: ObjectService
  platform: UsagePlatform
  log: DecisionLog
  metrics: Metrics
  /** Lists the gateways to which this one tells counts. */
  listPeers: () => UsagePeer[]
  /** Returns this gateway as the teller of its failure domain; null while another one reads for it. */
  getTeller: () => UsageTeller | null
  openPeer: (teller: UsageTeller) => UsagePeer
  /** Returns the position of this gateway among those that may report; null when it is none of them. */
  getRank: () => number | null
}

/**
 * Reports how many requests of each workspace began in each window: counts those of this gateway, tells and sums
 * them, and sends the report while this gateway holds the duty.
 *
 * @example
 * const reporting = new UsageReporting(options)
 * reporting.start()
 * reporting.recordRun('archivists', clock.getMonotonicMs())
 */
export class UsageReporting {
  readonly #trueTime: TrueTime
  readonly #timing: UsageTiming
  readonly #counts: UsageCounts
  readonly #duty: UsageDuty
  readonly #exchange: UsageExchange
  readonly #runner: DutyRunner
  #isLeaving = false

  constructor (options: UsageReportingOptions) {
    const { clock, random, gateway, domain, settings, usage, service, platform, log, metrics, listPeers, getTeller, openPeer, getRank } = options
    const process = createId(gateway)
    const handleError = (error: unknown) => log.writeError(error)
    this.#trueTime = new TrueTime(clock)
    this.#timing = buildUsageTiming(usage)
    const sinceMs = this.#trueTime.getMs()
    this.#counts = new UsageCounts({ process, domain, sinceMs })
    this.#duty = new UsageDuty({ clock, timing: this.#timing, holder: gateway, process, sinceMs, callsPerSecond: settings.callsPerSecond })
    this.#exchange = new UsageExchange({
      clock,
      random,
      process,
      counts: this.#counts,
      trueTime: this.#trueTime,
      getReported: () => this.#duty.reportedWindow,
      // a gateway whose clock is ahead must not settle windows that have not ended
      recordReported: window => { if (window < findWindow(this.#trueTime.getMs(), this.#timing)) this.#duty.recordReported(window) },
      listPeers,
      getTeller,
      openPeer,
      handleInterval: () => this.#handleInterval(),
      handleError
    })
    this.#runner = new DutyRunner({
      clock,
      holder: gateway,
      duty: this.#duty,
      service,
      platform,
      observer: new DutyObserver(log, metrics),
      getSituation: () => ({ trueMs: this.#trueTime.getMs(), rank: getRank(), isLeaving: this.#isLeaving, counts: this.#counts }),
      handleError
    })
    metrics.registerGauge('duty_holder', 'Whether this process holds the duty.', () => [{ labels: { duty: 'usage' }, value: this.#duty.heldNumber === null ? 0 : 1 }])
    metrics.registerGauge('usage_counts', 'Counts of begun requests that are kept or were left out.', () => [{ labels: { state: 'kept' }, value: this.#counts.entryCount }, { labels: { state: 'leftOut' }, value: this.#counts.leftOutCount }])
  }

  start (): void {
    this.#exchange.start()
    this.#runner.start()
  }

  /** Stops at once. */
  async stop (): Promise<void> {
    await Promise.all([this.#exchange.stop(), this.#runner.stop()])
  }

  /** Gives the duty up. Counts are still told, until `flush`. */
  startLeaving (): void {
    this.#isLeaving = true
  }

  /** Tells the last counts at the end of a planned stop, and gives up a call that has no answer yet. */
  async flush (): Promise<void> {
    await this.#exchange.flush()
    await this.#runner.stop()
  }

  /** Counts a run of a request that began at a time of the steady clock. */
  recordRun (workspace: string | null, beganAtMs: number): void {
    if (workspace !== null) this.#counts.recordRun(workspace, findWindow(this.#trueTime.getMs(beganAtMs), this.#timing))
  }

  /** Applies the counts that another gateway tells. */
  receiveUpdate (update: UsageUpdate): UsageAnswer {
    return this.#exchange.receiveUpdate(update)
  }

  /** Returns the state for the state dump. */
  readState (): object {
    const { reportedWindow, heldNumber } = this.#duty
    return { duty: 'usage', heldNumber, reportedWindow, unsettled: this.#duty.listUnsettled().map(([window]) => window), counts: this.#counts.entryCount, leftOut: this.#counts.leftOutCount, isLeaving: this.#isLeaving }
  }

  #handleInterval (): void {
    this.#trueTime.sample()
    this.#counts.expire(this.#duty.reportedWindow, findWindow(this.#trueTime.getMs(), this.#timing))
  }
}
