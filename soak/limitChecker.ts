import type { FaultHistory } from './faultHistory'

/** A request as an endpoint received it, with the limit that the endpoint names in its answer. */
export interface LimitedArrival {
  endpointId: string
  requestId: string
  /** Requests per second from all gateways together; null for no limit. */
  limit: number | null
  atMs: number
}

export interface LimitCheckerOptions {
  faultHistory: FaultHistory
  /** Time for which a gateway that was disturbed is excused, and for which a new limit may be exceeded. */
  reconnectMs: number
  /** Returns the index of the gateway to which a request was sent; null when nobody sent it. */
  findGateway: (requestId: string) => number | null
  report: (message: string) => void
}

interface NamedLimit {
  namedAtMs: number
  /** Times at which each gateway first received an answer that names the limit. */
  toldAtMs: Map<number, number>
  counted: Array<{ atMs: number, limit: number }>
  isReported: boolean
}

const WINDOW_MS = 4000
/** Time after its first answer with the limit from which the sends of a gateway count. */
const TOLD_GRACE_MS = 500
const TOLERANCE_FACTOR = 1.5
const TOLERANCE_REQUESTS = 5

/** Checks that an endpoint does not receive more requests than it accepts from all gateways together. */
export class LimitChecker {
  readonly #options: LimitCheckerOptions
  readonly #named = new Map<string, NamedLimit>()

  constructor (options: LimitCheckerOptions) {
    this.#options = options
  }

  handleArrival ({ endpointId, requestId, limit, atMs }: LimitedArrival): void {
    if (limit === null) {
      this.#named.delete(endpointId)
      return
    }
    const named = this.#named.get(endpointId) ?? { namedAtMs: atMs, toldAtMs: new Map(), counted: [], isReported: false }
    this.#named.set(endpointId, named)
    const gateway = this.#options.findGateway(requestId)
    if (gateway === null) return
    const toldAtMs = named.toldAtMs.get(gateway) ?? atMs
    named.toldAtMs.set(gateway, toldAtMs)
    if (!this.#isCounted(named, { gateway, toldAtMs, atMs })) return
    named.counted = [...named.counted.filter(other => other.atMs > atMs - WINDOW_MS), { atMs, limit }]
    const allowed = TOLERANCE_FACTOR * Math.max(...named.counted.map(other => other.limit)) * WINDOW_MS / 1000 + TOLERANCE_REQUESTS
    if (named.counted.length <= allowed || named.isReported) return
    named.isReported = true
    this.#options.report(`${endpointId}, which accepts ${limit} requests per second, received ${named.counted.length} within ${WINDOW_MS} ms; ${allowed} are allowed`)
  }

  #isCounted ({ namedAtMs }: NamedLimit, { gateway, toldAtMs, atMs }: { gateway: number, toldAtMs: number, atMs: number }): boolean {
    const { faultHistory, reconnectMs } = this.#options
    if (atMs < namedAtMs + reconnectMs || atMs < toldAtMs + TOLD_GRACE_MS) return false
    return faultHistory.isUndisturbed([{ kind: 'gateway', index: gateway }, { kind: 'endpoints' }], atMs - reconnectMs, atMs)
  }
}
