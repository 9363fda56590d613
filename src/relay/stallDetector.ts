import { toReadableMs } from '../base/clock'
import { waitForPendingInput } from '../base/pendingInput'
import { isEjected, recordAttemptResult } from '../policy/directEndpoint'
import { isAvailable } from '../policy/endpointAvailability'
import { isRetryable } from '../policy/retryDecision'
import { canAbandon, decideOnStall, isEndpointUnresponsive, isIdleTimeoutExceeded } from '../policy/stallDetection'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { PeerLoadTable } from '../policy/peerLoadTable'
import type { PermitState } from '../policy/sendPermits'
import type { EndpointActivity, RetryReservation, StallDecision } from '../policy/stallDetection'
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
  /** Reserves the attempt that follows this one. */
  reserveRetry: () => RetryReservation
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

/**
 * Checks the attempts in flight for stalled answers and unresponsive endpoints. Silence counts only while this
 * process could read, and nothing is abandoned before the input that has arrived is read.
 */
export class StallDetector {
  readonly #options: StallDetectorOptions
  readonly #attempts = new Set<WatchedAttempt>()
  readonly #timer: NodeJS.Timeout
  #isConfirming = false
  #isClosed = false

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
    this.#isClosed = true
    clearInterval(this.#timer)
  }

  #check (): void {
    if (this.#isConfirming || !this.#hasStalls()) return
    this.#isConfirming = true
    waitForPendingInput().then(() => {
      this.#isConfirming = false
      if (!this.#isClosed) this.#abortStalled()
    })
  }

  #hasStalls (): boolean {
    const nowMs = this.#options.clock.getMonotonicMs()
    const stalledAttempts = this.#countStalledAttempts(nowMs)
    return [...stalledAttempts].some(([endpoint, count]) => this.#isSilent(endpoint, count, nowMs)) ||
      [...this.#attempts].some(attempt => this.#decide(attempt, stalledAttempts, nowMs).kind === 'giveUp')
  }

  #abortStalled (): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const stalledAttempts = this.#countStalledAttempts(nowMs)
    for (const [endpoint, count] of stalledAttempts) if (this.#isSilent(endpoint, count, nowMs)) this.#eject(endpoint, count, nowMs)
    for (const attempt of [...this.#attempts]) {
      const decision = this.#decide(attempt, stalledAttempts, nowMs)
      if (decision.kind === 'giveUp' && canAbandon(decision.reason, attempt.reserveRetry())) attempt.abort(decision.reason)
    }
  }

  #countStalledAttempts (nowMs: number): Map<DirectEndpoint, number> {
    const counts = new Map<DirectEndpoint, number>()
    for (const { endpoint, sentAtMs } of this.#attempts) {
      if (isIdleTimeoutExceeded(this.#describeEndpoint(endpoint), this.#toReadable(sentAtMs), this.#toReadable(nowMs))) counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1)
    }
    return counts
  }

  #isSilent (endpoint: DirectEndpoint, stalledAttempts: number, nowMs: number): boolean {
    return !isEjected(endpoint, nowMs) && isEndpointUnresponsive({ ...this.#describeEndpoint(endpoint), silentSends: stalledAttempts })
  }

  #eject (endpoint: DirectEndpoint, stalledAttempts: number, nowMs: number): void {
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

  #decide (attempt: WatchedAttempt, stalledAttempts: ReadonlyMap<DirectEndpoint, number>, nowMs: number): StallDecision {
    const { request, endpoint } = attempt
    return decideOnStall({
      kind: request.route.kind,
      isRetryable: isRetryable(request.route),
      hasAlternative: attempt.hasAttemptsLeft && this.#hasAlternative(attempt, nowMs),
      sentAtMs: this.#toReadable(attempt.sentAtMs),
      heardAtMs: attempt.heardAtMs === null ? null : this.#toReadable(attempt.heardAtMs),
      targetMs: request.route.targetMs,
      betweenEventsTargetMs: request.route.betweenEventsTargetMs
    }, { ...this.#describeEndpoint(endpoint), silentSends: stalledAttempts.get(endpoint) ?? 0 }, this.#options.directory.getTypicalAnswerMs(request.service), this.#toReadable(nowMs))
  }

  /** Describes an endpoint's activity in readable milliseconds. */
  #describeEndpoint ({ entry, heardAtMs, pendingTokens }: DirectEndpoint): Omit<EndpointActivity, 'silentSends'> {
    return { heardAtMs: this.#toReadable(heardAtMs), pendingTokens, lastPeerByteAtMs: this.#toReadable(this.#options.loads.getPeerLoad(entry.id).heardAtMs) }
  }

  #toReadable (monotonicMs: number): number {
    return toReadableMs(this.#options.clock, monotonicMs)
  }

  #hasAlternative (attempt: WatchedAttempt, nowMs: number): boolean {
    return this.#options.directory.listReady(attempt.request.service, attempt.version).some(other => !attempt.tried.has(other.entry.id) && isAvailable(other, this.#options.getPermit(other), nowMs))
  }
}
