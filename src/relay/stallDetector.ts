import { isEjected, recordAttemptResult } from '../policy/directEndpoint'
import { isAvailable } from '../policy/endpointBackoff'
import { isRetryable } from '../policy/retryDecision'
import { decideOnStall, isEndpointUnresponsive, isIdleTimeoutExceeded } from '../policy/stallDetection'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { PeerLoadTable } from '../policy/peerLoadTable'
import type { EndpointActivity } from '../policy/stallDetection'
import type { RelayRequest } from './relayRequest'

/** One send that waits for bytes. */
export interface WatchedAttempt {
  request: RelayRequest
  endpoint: DirectEndpoint
  /** Endpoints that the request was at, this one included. */
  tried: ReadonlySet<string>
  /** Whether another send is allowed after this one. */
  hasAttemptsLeft: boolean
  sentAtMs: number
  /** Time at which the answer last moved on; null before its head. */
  heardAtMs: number | null
  abort: (reason: string) => void
}

export interface StallDetectorOptions {
  clock: Clock
  directory: EndpointDirectory
  /** What other gateways tell of the endpoints. */
  loads: PeerLoadTable
  log: DecisionLog
}

const CHECK_INTERVAL_MS = 50

/** Looks over the sends under way for those on which nothing comes any more. */
export class StallDetector {
  readonly #options: StallDetectorOptions
  readonly #attempts = new Set<WatchedAttempt>()
  readonly #timer: NodeJS.Timeout

  constructor (options: StallDetectorOptions) {
    this.#options = options
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS)
    this.#timer.unref()
  }

  add (attempt: WatchedAttempt): void {
    this.#attempts.add(attempt)
  }

  remove (attempt: WatchedAttempt): void {
    this.#attempts.delete(attempt)
  }

  /** Records that bytes came from an endpoint: it is there. */
  recordBytes (endpoint: DirectEndpoint): void {
    endpoint.heardAtMs = this.#options.clock.getMonotonicMs()
  }

  /** Records that a send's answer moved on; bytes alone do not show that. */
  recordProgress (attempt: WatchedAttempt): void {
    attempt.heardAtMs = this.#options.clock.getMonotonicMs()
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #check (): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const stalledAttempts = this.#countStalledAttempts(nowMs)
    for (const [endpoint, count] of stalledAttempts) this.#checkEndpoint(endpoint, count, nowMs)
    for (const attempt of [...this.#attempts]) this.#checkAttempt(attempt, stalledAttempts.get(attempt.endpoint) ?? 0, nowMs)
  }

  #countStalledAttempts (nowMs: number): Map<DirectEndpoint, number> {
    const counts = new Map<DirectEndpoint, number>()
    for (const { endpoint, sentAtMs } of this.#attempts) {
      if (isIdleTimeoutExceeded(this.#describeEndpoint(endpoint), sentAtMs, nowMs)) counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1)
    }
    return counts
  }

  #checkEndpoint (endpoint: DirectEndpoint, stalledAttempts: number, nowMs: number): void {
    if (isEjected(endpoint, nowMs) || !isEndpointUnresponsive({ ...this.#describeEndpoint(endpoint), silentSends: stalledAttempts })) return
    recordAttemptResult(endpoint, { kind: 'broken' }, nowMs)
    this.#options.log.write('notable', {
      event: 'endpointEjected',
      endpoint: endpoint.entry.id,
      reason: 'silent',
      silentSends: stalledAttempts,
      silentMs: Math.round(nowMs - endpoint.heardAtMs),
      silentToOthersMs: Math.round(nowMs - this.#options.loads.getPeerLoad(endpoint.entry.id).heardAtMs),
      inFlight: endpoint.inFlight,
      forMs: Math.round(endpoint.ejectedUntilMs - nowMs)
    })
  }

  #checkAttempt (attempt: WatchedAttempt, stalledAttempts: number, nowMs: number): void {
    const { request, endpoint } = attempt
    const decision = decideOnStall({
      kind: request.route.kind,
      isRetryable: isRetryable(request.route),
      hasAlternative: attempt.hasAttemptsLeft && this.#hasAlternative(attempt, nowMs),
      sentAtMs: attempt.sentAtMs,
      heardAtMs: attempt.heardAtMs,
      targetMs: request.route.targetMs,
      betweenEventsTargetMs: request.route.betweenEventsTargetMs
    }, { ...this.#describeEndpoint(endpoint), silentSends: stalledAttempts }, this.#options.directory.getTypicalAnswerMs(request.service), nowMs)
    if (decision.kind === 'giveUp') attempt.abort(decision.reason)
  }

  #describeEndpoint ({ entry, heardAtMs, pendingTokens }: DirectEndpoint): Omit<EndpointActivity, 'silentSends'> {
    return { heardAtMs, pendingTokens, lastPeerByteAtMs: this.#options.loads.getPeerLoad(entry.id).heardAtMs }
  }

  #hasAlternative (attempt: WatchedAttempt, nowMs: number): boolean {
    return this.#options.directory.listReady(attempt.request.service).some(other => !attempt.tried.has(other.entry.id) && isAvailable(other, nowMs))
  }
}
