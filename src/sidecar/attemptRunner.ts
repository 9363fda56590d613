import { Progress } from '../base/progress'
import { createNotRun } from './outcomes'

import type { Clock } from '../base/clock'
import type { ClassDurations } from '../policy/classDurations'
import type { AttemptOutcome } from '../protocol/attemptMessages'
import type { Attempt } from './attempt'
import type { ClaimGate, GrantedClaim } from './claimGate'
import type { EndpointMonitor } from './endpoint/endpointMonitor'
import type { EndpointClient, EndpointEnd } from './endpoint/endpointRun'

const CLAIM_TIMEOUT_MS = 800
const MIN_IDLE_TIMEOUT_MS = 4000
const IDLE_TIMEOUT_QUANTILE = 0.99
const IDLE_TIMEOUT_FACTOR = 3
/** Fraction of the remaining time that the first answer of an unknown class may take, so that a retry has time. */
const UNKNOWN_CLASS_TIMEOUT_FRACTION = 1 / 3
const UNAVAILABLE_RETRY_AFTER_MS = 1000
const HTTP_TOO_MANY_REQUESTS = 429
const HTTP_UNAVAILABLE = 503

/** Receives measurements of the runs, and provides crash counts and admission checks. */
export interface RunObserver {
  recordTokenInterval (milliseconds: number): void
  /** Settles when a crash of the attempt's fingerprint is stored, or after a short timeout. */
  waitForCrashStored (attempt: Attempt): Promise<void>
  /** Returns the number of endpoint crashes attributed to the attempt's fingerprint. */
  getCrashCount (attempt: Attempt): number
  /** Reads the crashes that other sidecars stored; settles when they are known here, or after a short timeout. */
  syncCrashCount (attempt: Attempt): Promise<void>
  /** Returns the outcome that refuses the attempt, or null when it may run now. */
  checkAdmission (attempt: Attempt): AttemptOutcome | null
}

export interface AttemptRunnerOptions {
  clock: Clock
  endpoint: EndpointClient
  monitor: EndpointMonitor
  claims: ClaimGate
  observer: RunObserver
  /** Durations of answers by class. */
  durations: ClassDurations
}

/** Runs a dispatched attempt: claims its idempotency key, runs it at the endpoint and decides its outcome. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions
  /** Classes whose first answer exceeded `UNKNOWN_CLASS_TIMEOUT_FRACTION` of the remaining time; they may be slow. */
  readonly #slowClasses = new Set<string>()

  constructor (options: AttemptRunnerOptions) {
    this.#options = options
  }

  /** Runs `attempt` to its end; never rejects. */
  async run (attempt: Attempt): Promise<void> {
    try {
      const { observer } = this.#options
      if (observer.getCrashCount(attempt) > 0) {
        // The watch reports crashes with a short delay, and a caller that was just refused may retry immediately.
        await observer.syncCrashCount(attempt)
        const refusal = observer.checkAdmission(attempt)
        if (refusal !== null) return attempt.end(refusal)
      }
      if (shouldClaim(attempt)) await this.#runClaimed(attempt)
      else await this.#runAtEndpoint(attempt)
    } catch (error) {
      attempt.end({ kind: 'mayHaveRun', reason: 'answerLost', retryAfterMs: 0 })
      throw error
    }
  }

  async #runClaimed (attempt: Attempt): Promise<void> {
    attempt.markClaiming()
    const progress = new Progress({
      title: `claiming the idempotency key of attempt ${attempt.id}`,
      timeoutMs: Math.min(CLAIM_TIMEOUT_MS, attempt.getRemainingMs(this.#options.clock.getMonotonicMs())),
      clock: this.#options.clock
    })
    const decision = await this.#options.claims.claim(attempt.params, progress)
    switch (decision.kind) {
      case 'refused': return attempt.end(decision.outcome)
      case 'answered': {
        const { status, contentType, body } = decision.answer
        attempt.addChunks([body], this.#options.clock.getMonotonicMs())
        return attempt.complete(status, contentType)
      }
      case 'granted': return await this.#runGranted(attempt, decision.claim)
      default: decision satisfies never
    }
  }

  async #runGranted (attempt: Attempt, claim: GrantedClaim): Promise<void> {
    if (attempt.signal.aborted) {
      attempt.end(createNotRun('cancelled', 0))
      return await claim.release()
    }
    const texts: string[] = []
    const outcome = await this.#runAtEndpoint(attempt, texts)
    if (outcome.kind === 'notRun') return await claim.release()
    if (outcome.kind === 'completed') {
      await claim.complete({ status: outcome.status, contentType: outcome.contentType, body: texts.join('') })
    }
  }

  async #runAtEndpoint (attempt: Attempt, texts?: string[]): Promise<AttemptOutcome> {
    const { clock, endpoint, monitor } = this.#options
    const { params } = attempt
    const remainingMs = attempt.getRemainingMs(clock.getMonotonicMs())
    const bootId = monitor.bootId
    const intervals = new TokenIntervalMeter()
    attempt.markRunning(clock.getMonotonicMs())
    const deadline = setTimeout(() => attempt.cancel('the deadline passed'), remainingMs)
    const end = await endpoint.run({
      attemptId: attempt.id,
      tier: params.tier,
      idempotencyKey: params.idempotencyKey,
      target: params.target,
      silenceMs: this.#getIdleTimeoutMs(attempt, remainingMs),
      signal: canCancel(attempt) ? attempt.signal : new AbortController().signal,
      onTexts: read => {
        const nowMs = clock.getMonotonicMs()
        attempt.addChunks(read, nowMs)
        texts?.push(...read)
        intervals.record(read.length, nowMs, interval => this.#options.observer.recordTokenInterval(interval))
      }
    })
    clearTimeout(deadline)
    const outcome = await this.#decideOutcome(attempt, end, bootId)
    if (outcome.kind === 'completed') attempt.complete(outcome.status, outcome.contentType)
    else attempt.end(outcome)
    return attempt.outcome ?? outcome
  }

  /**
   * Computes the idle timeout of an attempt. A plain service sends no bytes while it works, so its
   * timeout depends on how long answers of its class take.
   */
  #getIdleTimeoutMs (attempt: Attempt, remainingMs: number): number {
    const { params } = attempt
    if (params.target.kind === 'chat') return MIN_IDLE_TIMEOUT_MS
    if (!params.idempotent) return remainingMs
    const { durations } = this.#options
    const unknownClassMs = this.#slowClasses.has(params.className) ? remainingMs : UNKNOWN_CLASS_TIMEOUT_FRACTION * remainingMs
    const limitMs = durations.has(params.className) ? IDLE_TIMEOUT_FACTOR * durations.getQuantile(params.className, IDLE_TIMEOUT_QUANTILE, remainingMs) : unknownClassMs
    return Math.min(remainingMs, Math.max(MIN_IDLE_TIMEOUT_MS, limitMs))
  }

  async #decideOutcome (attempt: Attempt, end: EndpointEnd, bootId: string | null): Promise<AttemptOutcome> {
    switch (end.kind) {
      case 'completed': return { kind: 'completed', status: end.status, contentType: end.contentType, chunkCount: 0, digest: '' }
      case 'notStarted':
        this.#options.monitor.checkNow().catch(() => {})
        return createNotRun('endpointUnavailable', UNAVAILABLE_RETRY_AFTER_MS)
      case 'cancelled': return createFailed(attempt.getRemainingMs(this.#options.clock.getMonotonicMs()) > 0 ? 'cancelled' : 'deadlinePassed', 'the attempt was cancelled')
      case 'rejected':
        if (end.status === HTTP_TOO_MANY_REQUESTS || end.status === HTTP_UNAVAILABLE) return createNotRun('endpointUnavailable', UNAVAILABLE_RETRY_AFTER_MS)
        return createFailed('endpointError', `the endpoint answered ${end.status}: ${end.message}`)
      case 'silent':
        if (!attempt.params.idempotent) return { kind: 'mayHaveRun', reason: 'endpointSilent', retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }
        if (!this.#options.durations.has(attempt.params.className)) this.#slowClasses.add(attempt.params.className)
        return createFailed('endpointError', end.message)
      case 'broken': return await this.#decideBroken(attempt, end.message, bootId)
      default: return end satisfies never
    }
  }

  async #decideBroken (attempt: Attempt, message: string, bootId: string | null): Promise<AttemptOutcome> {
    const hasCrashed = await this.#options.monitor.hasCrashedSince(bootId)
    if (hasCrashed) await this.#options.observer.waitForCrashStored(attempt)
    if (!attempt.params.idempotent) return { kind: 'mayHaveRun', reason: 'answerLost', retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }
    return createFailed(hasCrashed ? 'endpointCrashed' : 'endpointError', message, this.#options.observer.getCrashCount(attempt))
  }
}

/** Returns whether the attempt's idempotency key must be claimed before the start. */
function shouldClaim (attempt: Attempt): boolean {
  return !attempt.params.idempotent && attempt.params.idempotencyKey !== undefined
}

/** Returns whether a running attempt may be cancelled. A non-idempotent call never is, because its answer is worth keeping. */
function canCancel (attempt: Attempt): boolean {
  return attempt.params.idempotent
}

function createFailed (reason: 'endpointCrashed' | 'endpointError' | 'cancelled' | 'deadlinePassed', message: string, crashCount = 0): AttemptOutcome {
  return { kind: 'failedAfterStart', reason, message: message.slice(0, 500), crashCount }
}

/** Measures the time between tokens of one stream. */
class TokenIntervalMeter {
  #previousMs: number | null = null

  record (count: number, nowMs: number, report: (milliseconds: number) => void): void {
    if (this.#previousMs !== null) report((nowMs - this.#previousMs) / count)
    this.#previousMs = nowMs
  }
}
