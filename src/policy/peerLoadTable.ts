/** What gateways have at an endpoint. */
export interface EndpointLoad {
  inFlight: number
  /** Prompt tokens that the endpoint has still to read. */
  pendingTokens: number
  /** Time of the last byte that came from it; -Infinity when none did. */
  heardAtMs: number
}

/** Loads by the endpoint's id; an endpoint that is absent has none and was not heard of lately. */
export type LoadReport = ReadonlyMap<string, EndpointLoad>

interface ReceivedReport {
  report: LoadReport
  /** Gateways whose load is in the report. */
  gateways: number
  atMs: number
}

/** A report older than this shows a teller that is gone: several missed exchanges. */
const REPORT_EXPIRY_MS = 2_500
const NO_LOAD: EndpointLoad = { inFlight: 0, pendingTokens: 0, heardAtMs: -Infinity }

/**
 * What the other gateways have at each endpoint, as they told it. Each of many gateways sees but a
 * small part of an endpoint's load by itself.
 *
 * @example
 * const board = new LoadBoard()
 * board.record('gateway-2', new Map([['engine-1', { inFlight: 9, pendingTokens: 12_000, heardAtMs: nowMs }]]), nowMs)
 * board.getOthers('engine-1').inFlight // 9
 */
export class PeerLoadTable {
  readonly #reports = new Map<string, ReceivedReport>()
  #total: LoadReport = new Map()
  #gatewayCount = 1

  /** Takes in what one teller has, alone or for all `gateways` that it speaks for. */
  record (reporter: string, report: LoadReport, nowMs: number, gateways = 1): void {
    this.#reports.set(reporter, { report, gateways, atMs: nowMs })
    this.expire(nowMs)
  }

  /** Drops what was told too long ago. */
  expire (nowMs: number): void {
    for (const [reporter, { atMs }] of this.#reports) if (nowMs - atMs > REPORT_EXPIRY_MS) this.#reports.delete(reporter)
    this.#total = addReports([...this.#reports.values()].map(({ report }) => report))
    this.#gatewayCount = this.countGateways(() => false)
  }

  /** Number of gateways that are known, this one included; each choice of an endpoint asks for it. */
  get gatewayCount (): number {
    return this.#gatewayCount
  }

  /** Gets what the others have at an endpoint. */
  getPeerLoad (endpointId: string): EndpointLoad {
    return this.#total.get(endpointId) ?? NO_LOAD
  }

  /** Counts the gateways that are known, this one included, without those of some tellers. */
  countGateways (isExcluded: (teller: string) => boolean): number {
    return [...this.#reports].reduce((sum, [teller, { gateways }]) => isExcluded(teller) ? sum : sum + gateways, 1)
  }

  /** Sums up what is known, without the reports of some tellers, and with `own`. */
  computeTotal (own: LoadReport, isExcluded: (teller: string) => boolean): LoadReport {
    const peerReports = [...this.#reports].filter(([teller]) => !isExcluded(teller)).map(([, { report }]) => report)
    return addReports([own, ...peerReports])
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
        heardAtMs: Math.max(known.heardAtMs, load.heardAtMs)
      })
    }
  }
  return sum
}
