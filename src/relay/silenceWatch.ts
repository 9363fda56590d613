import { isEjected, recordSend } from '../policy/directEndpoint'
import { isAvailable } from '../policy/quietTime'
import { isRepeatable } from '../policy/repeatDecision'
import { decideOnSilence, isEndpointSilent, isSilent } from '../policy/silence'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { LoadBoard } from '../policy/loadBoard'
import type { SilentEndpoint } from '../policy/silence'
import type { RelayRequest } from './relayRequest'

/** One send that waits for bytes. */
export interface WatchedSend {
  request: RelayRequest
  endpoint: DirectEndpoint
  /** Endpoints that the request was at, this one included. */
  tried: ReadonlySet<string>
  /** Whether another send is allowed after this one. */
  hasAttemptsLeft: boolean
  sentAtMs: number
  /** Time at which the answer last moved on; null before its head. */
  heardAtMs: number | null
  giveUp: (reason: string) => void
}

export interface SilenceWatchOptions {
  clock: Clock
  directory: EndpointDirectory
  /** What other gateways tell of the endpoints. */
  loads: LoadBoard
  log: DecisionLog
}

const CHECK_INTERVAL_MS = 50

/** Looks over the sends under way for those on which nothing comes any more. */
export class SilenceWatch {
  readonly #options: SilenceWatchOptions
  readonly #sends = new Set<WatchedSend>()
  readonly #timer: NodeJS.Timeout

  constructor (options: SilenceWatchOptions) {
    this.#options = options
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS)
    this.#timer.unref()
  }

  add (send: WatchedSend): void {
    this.#sends.add(send)
  }

  remove (send: WatchedSend): void {
    this.#sends.delete(send)
  }

  /** Records that bytes came from an endpoint: it is there. */
  recordHeard (endpoint: DirectEndpoint): void {
    endpoint.heardAtMs = this.#options.clock.getMonotonicMs()
  }

  /** Records that a send's answer moved on; bytes alone do not show that. */
  recordProgress (send: WatchedSend): void {
    send.heardAtMs = this.#options.clock.getMonotonicMs()
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #check (): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const silentSends = this.#countSilent(nowMs)
    for (const [endpoint, count] of silentSends) this.#checkEndpoint(endpoint, count, nowMs)
    for (const send of [...this.#sends]) this.#checkSend(send, silentSends.get(send.endpoint) ?? 0, nowMs)
  }

  #countSilent (nowMs: number): Map<DirectEndpoint, number> {
    const counts = new Map<DirectEndpoint, number>()
    for (const { endpoint, sentAtMs } of this.#sends) {
      if (isSilent(this.#describeEndpoint(endpoint), sentAtMs, nowMs)) counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1)
    }
    return counts
  }

  #checkEndpoint (endpoint: DirectEndpoint, silentSends: number, nowMs: number): void {
    if (isEjected(endpoint, nowMs) || !isEndpointSilent({ ...this.#describeEndpoint(endpoint), silentSends })) return
    recordSend(endpoint, { kind: 'broken' }, nowMs)
    this.#options.log.write('notable', {
      event: 'endpointEjected',
      endpoint: endpoint.entry.id,
      reason: 'silent',
      silentSends,
      silentMs: Math.round(nowMs - endpoint.heardAtMs),
      silentToOthersMs: Math.round(nowMs - this.#options.loads.getOthers(endpoint.entry.id).heardAtMs),
      inFlight: endpoint.inFlight,
      forMs: Math.round(endpoint.ejectedUntilMs - nowMs)
    })
  }

  #checkSend (send: WatchedSend, silentSends: number, nowMs: number): void {
    const { request, endpoint } = send
    const decision = decideOnSilence({
      kind: request.route.kind,
      isRepeatable: isRepeatable(request.route),
      hasAlternative: send.hasAttemptsLeft && this.#hasAlternative(send, nowMs),
      sentAtMs: send.sentAtMs,
      heardAtMs: send.heardAtMs,
      targetMs: request.route.targetMs,
      betweenEventsTargetMs: request.route.betweenEventsTargetMs
    }, { ...this.#describeEndpoint(endpoint), silentSends }, this.#options.directory.getUsualAnswerMs(request.service), nowMs)
    if (decision.kind === 'giveUp') send.giveUp(decision.reason)
  }

  #describeEndpoint ({ entry, heardAtMs, pendingTokens }: DirectEndpoint): Omit<SilentEndpoint, 'silentSends'> {
    return { heardAtMs, pendingTokens, heardByOthersAtMs: this.#options.loads.getOthers(entry.id).heardAtMs }
  }

  #hasAlternative (send: WatchedSend, nowMs: number): boolean {
    return this.#options.directory.listReady(send.request.service).some(other => !send.tried.has(other.entry.id) && isAvailable(other, nowMs))
  }
}
