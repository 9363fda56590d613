import { FleetSize } from './fleetSize'
import { mergeDemands } from './workspaceDemand'

import type { PrefillEvidence } from './engines/prefillRate'
import type { DemandEntry, WorkspaceDemand } from './workspaceDemand'

/** Load of one or more gateways at an endpoint. */
export interface EndpointLoad {
  inFlight: number
  /** Prompt tokens that the endpoint has not prefilled yet. */
  pendingTokens: number
  /** Time of the last byte received from the endpoint; -Infinity when none was. */
  heardAtMs: number
  /** Requests sent in the last `SENDS_WINDOW_MS` under the limit that the endpoint names; 0 without a limit. */
  permittedSends: number
  /** Recent first events; absent for a plain service. */
  prefill?: PrefillEvidence
}

/** Loads by endpoint id. An absent endpoint has no load, and no bytes were received from it recently. */
export type LoadReport = ReadonlyMap<string, EndpointLoad>

/** Whose load a report includes: that of the reporter, of all gateways of a failure domain, or of all gateways but the receiver. */
export type ReportScope = 'gateway' | 'domain' | 'others'

interface ReceivedReport {
  report: LoadReport
  /** What workspaces received and wait for at those gateways; empty where none compete. */
  demands: readonly DemandEntry[]
  /** Number of gateways whose load the report includes. */
  gateways: number
  scope: ReportScope
  atMs: number
}

/** Milliseconds after which a report expires. Several missed exchanges mean that the reporter is gone. */
const REPORT_EXPIRY_MS = 2_500
/**
 * Milliseconds for which a report about all others is used in place of the reports of single gateways and
 * domains. After the reader has changed, both are there for a while and include the same gateways.
 */
const OTHERS_REPORT_VALID_MS = 700
const NO_DEMANDS: ReadonlyMap<string, WorkspaceDemand> = new Map()
const NO_LOAD: EndpointLoad = { inFlight: 0, pendingTokens: 0, heardAtMs: -Infinity, permittedSends: 0 }

/**
 * Stores the load that peer gateways report for each endpoint. With many gateways, each one generates
 * only a small part of an endpoint's load itself.
 *
 * @example
 * const peerLoads = new PeerLoadTable()
 * peerLoads.record('gateway-2', new Map([['engine-1', { inFlight: 9, pendingTokens: 12_000, heardAtMs: nowMs, permittedSends: 0 }]]), nowMs)
 * peerLoads.getPeerLoad('engine-1').inFlight // 9
 */
export class PeerLoadTable {
  readonly #reports = new Map<string, ReceivedReport>()
  readonly #fleetSize: FleetSize
  #total: LoadReport = new Map()
  #gatewayCount = 1
  /** Demands of the used reports by service, rank and workspace; null until they are asked for. */
  #demands: Map<string, Map<string, WorkspaceDemand>> | null = null
  #usedReports: readonly ReceivedReport[] = []
  readonly #toReadable: (monotonicMs: number) => number

  /**
   * @param namedGateways the number of gateways that the settings name, including this one
   * @param toReadable converts a time to the milliseconds in which this process could read reports; only they let a report expire
   */
  constructor (namedGateways = 1, toReadable: (monotonicMs: number) => number = monotonicMs => monotonicMs) {
    this.#toReadable = toReadable
    this.#fleetSize = new FleetSize(namedGateways)
  }

  /** Records a reporter's load: its own, or the total of the `gateways` that it reports for. */
  record (reporter: string, report: LoadReport, nowMs: number, { gateways, scope, demands = [] }: { gateways: number, scope: ReportScope, demands?: readonly DemandEntry[] } = { gateways: 1, scope: 'gateway' }): void {
    this.#reports.set(reporter, { report, demands, gateways, scope, atMs: nowMs })
    this.expire(nowMs)
  }

  /** Drops expired reports. */
  expire (nowMs: number): void {
    for (const [reporter, { atMs }] of this.#reports) if (this.#computeAgeMs(atMs, nowMs) > REPORT_EXPIRY_MS) this.#reports.delete(reporter)
    const used = this.#selectReports(nowMs)
    this.#usedReports = used
    this.#demands = null
    this.#total = addReports(used.map(({ report }) => report))
    this.#gatewayCount = used.reduce((sum, { gateways }) => sum + gateways, 1)
    this.#fleetSize.record(this.#gatewayCount, nowMs)
  }

  /** Number of known gateways, including this one. Cached because every endpoint choice reads it. */
  get gatewayCount (): number {
    return this.#gatewayCount
  }

  /** Returns the largest number of gateways seen recently. Gateways that are cut off still count, because they still send. */
  getFleetSize (nowMs: number): number {
    return this.#fleetSize.getLargest(nowMs)
  }

  /** Returns the total load of the peer gateways at an endpoint. */
  getPeerLoad (endpointId: string): EndpointLoad {
    return this.#total.get(endpointId) ?? NO_LOAD
  }

  /** Returns what the workspaces received and wait for at the peer gateways, in a rank of a service. */
  getPeerDemands (service: string, rank: number): ReadonlyMap<string, WorkspaceDemand> {
    this.#demands ??= collectDemands(mergeDemands(this.#usedReports.map(({ demands }) => demands)))
    return this.#demands.get(`${rank} ${service}`) ?? NO_DEMANDS
  }

  /** Computes the demands of `own` and of the gateways that report to this one, except those of excluded reporters. */
  computeTotalDemands (own: readonly DemandEntry[], isExcluded: (reporter: string) => boolean): DemandEntry[] {
    return mergeDemands([own, ...this.#listDirectReports(isExcluded).map(({ demands }) => demands)])
  }

  /** Counts the gateways that report to this one, and this one, except those of excluded reporters. */
  countGateways (isExcluded: (reporter: string) => boolean): number {
    return this.#listDirectReports(isExcluded).reduce((sum, { gateways }) => sum + gateways, 1)
  }

  /** Computes the total of `own` and of the gateways that report to this one, except those of excluded reporters. */
  computeTotal (own: LoadReport, isExcluded: (reporter: string) => boolean): LoadReport {
    return addReports([own, ...this.#listDirectReports(isExcluded).map(({ report }) => report)])
  }

  /** Selects reports that together include each gateway at most once. */
  #selectReports (nowMs: number): ReceivedReport[] {
    const direct = this.#listDirectReports(() => false)
    const others = [...this.#reports.values()].filter(({ scope }) => scope === 'others').sort((one, other) => other.atMs - one.atMs)[0]
    if (others === undefined) return direct
    return direct.length === 0 || this.#computeAgeMs(others.atMs, nowMs) <= OTHERS_REPORT_VALID_MS ? [others] : direct
  }

  #computeAgeMs (atMs: number, nowMs: number): number {
    return this.#toReadable(nowMs) - this.#toReadable(atMs)
  }

  #listDirectReports (isExcluded: (reporter: string) => boolean): ReceivedReport[] {
    return [...this.#reports].filter(([reporter, { scope }]) => scope !== 'others' && !isExcluded(reporter)).map(([, received]) => received)
  }
}

function addReports (reports: readonly LoadReport[]): LoadReport {
  const sum = new Map<string, EndpointLoad>()
  for (const report of reports) {
    for (const [id, load] of report) {
      const known = sum.get(id) ?? NO_LOAD
      sum.set(id, {
        inFlight: known.inFlight + load.inFlight,
        pendingTokens: known.pendingTokens + load.pendingTokens,
        heardAtMs: Math.max(known.heardAtMs, load.heardAtMs),
        permittedSends: known.permittedSends + load.permittedSends,
        ...addEvidence(known, load)
      })
    }
  }
  return sum
}

function collectDemands (entries: readonly DemandEntry[]): Map<string, Map<string, WorkspaceDemand>> {
  const groups = new Map<string, Map<string, WorkspaceDemand>>()
  for (const entry of entries) {
    const key = `${entry.rank} ${entry.service}`
    const group = groups.get(key) ?? new Map<string, WorkspaceDemand>()
    groups.set(key, group.set(entry.workspace, entry))
  }
  return groups
}

function addEvidence (one: EndpointLoad, other: EndpointLoad): Pick<EndpointLoad, 'prefill'> {
  if (one.prefill === undefined || other.prefill === undefined) {
    const prefill = one.prefill ?? other.prefill
    return prefill === undefined ? {} : { prefill }
  }
  return { prefill: { expectedMs: one.prefill.expectedMs + other.prefill.expectedMs, measuredMs: one.prefill.measuredMs + other.prefill.measuredMs, tokens: one.prefill.tokens + other.prefill.tokens } }
}
