import { isEjected, recordAttemptResult } from '../policy/directEndpoint'
import { isAvailable } from '../policy/endpointAvailability'
import { isRetryable } from '../policy/retryDecision'
import { decideOnStall, isEndpointUnresponsive, isIdleTimeoutExceeded } from '../policy/stallDetection'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { PeerLoadTable } from '../policy/peerLoadTable'
import type { PermitState } from '../policy/sendPermits'
import type { EndpointActivity } from '../policy/stallDetection'
import type { RelayRequest } from './relayRequest'

/** One attempt that is waiting for bytes. */
export interface WatchedAttempt {
  request: RelayRequest
  endpoint: DirectEndpoint
  /** Ids of the endpoints at which the request was tried, including this one. */
  tried: ReadonlySet<string>
  /** Software version of the endpoints that may go on with the answer; null for any. */
  version: string | null
  /** Whether another attempt is allowed after this one. */
  hasAttemptsLeft: boolean
  sentAtMs: number
  /** Time of the answer's last progress; null before its head arrives. */
  heardAtMs: number | null
  abort: (reason: string) => void
}

export interface StallDetectorOptions {
  clock: Clock
  directory: EndpointDirectory
  /** Load of the endpoints as reported by peer gateways. */
  loads: PeerLoadTable
  /** Returns whether the limit that an endpoint names allows this gateway to send to it now. */
  getPermit: (endpoint: DirectEndpoint) => PermitState
  log: DecisionLog
}

const CHECK_INTERVAL_MS = 50

/** Checks the attempts in flight for stalled answers and unresponsive endpoints. */
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

  /** Records that bytes were received from an endpoint, which shows that it is responsive. */
  recordBytes (endpoint: DirectEndpoint): void {
    endpoint.heardAtMs = this.#options.clock.getMonotonicMs()
  }

  /** Records that an attempt's answer made progress; received bytes alone do not show that. */
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
    return this.#options.directory.listReady(attempt.request.service, attempt.version).some(other => !attempt.tried.has(other.entry.id) && isAvailable(other, this.#options.getPermit(other), nowMs))
  }
}
