import { AnswerAssembly } from './answerAssembly'
import { AttemptSession } from './attemptSession'
import { AttemptRecorder } from './attemptRecorder'
import { toTargetName } from './fleetView'
import { OfferResults } from './offerResults'

import type { Progress } from '../base/progress'
import type { OfferPlan, PlannedOffer } from '../policy/offerPlan'
import type { AttemptTarget, SubmitAttempt } from '../protocol/attemptMessages'
import type { AttemptMover, MovableAttempt } from './attemptMover'
import type { AttemptEnd } from './attemptSession'
import type { AttemptRecorderOptions } from './attemptRecorder'
import type { CallerAnswer } from './callerAnswer'
import type { CallerRequest } from './callerRequest'
import type { Refusal } from '../protocol/errorBody'
import type { OfferTarget } from './fleetView'
import type { RequestRelay } from './requestRelay'

/** Identity of this gateway, as sent to sidecars. */
export interface GatewayIdentity {
  gatewayId: string
  gatewayEpoch: string
  gatewayAddress: string
}

export interface FleetRelayOptions extends AttemptRecorderOptions {
  mover: AttemptMover
  getIdentity: () => GatewayIdentity
  getConfigGeneration: () => number
  /** Acquires one retry from the class's budget; returns false when none is left. */
  acquireRetry: (className: string) => boolean
  /** Returns whether a fingerprint has reached the limit of endpoint crashes. */
  isPoisoned: (fingerprint: string) => boolean
  /** Returns the number of endpoint crashes known for a fingerprint. */
  getCrashCount: (fingerprint: string) => number
  /** Merges the crash count that a sidecar reported for a fingerprint. */
  adoptCrashCount: (fingerprint: string, crashCount: number) => void
}

const DEADLINE_MARGIN_MS = 50
const MAX_PLAN_RESETS = 4
const MIN_RETRY_AFTER_MS = 500

/**
 * Offers a caller's request to the endpoints in order of preference. Starts another attempt where
 * that is safe, and ends the caller's answer exactly once.
 */
export class FleetRelay implements RequestRelay {
  readonly #options: FleetRelayOptions

  constructor (options: FleetRelayOptions) {
    this.#options = options
  }

  async relay (request: CallerRequest, answer: CallerAnswer, progress: Progress): Promise<void> {
    const run = new RelayRun(this.#options, request, answer, progress)
    await run.run()
  }
}

/** Relays one request. */
class RelayRun {
  readonly #options: FleetRelayOptions
  readonly #request: CallerRequest
  readonly #answer: CallerAnswer
  readonly #progress: Progress
  readonly #assembly: AnswerAssembly
  readonly #offerResults = new OfferResults()
  readonly #plan: OfferPlan
  #planResetCount = 0
  #attemptNumber = 0
  #mayHaveRun = false

  constructor (options: FleetRelayOptions, request: CallerRequest, answer: CallerAnswer, progress: Progress) {
    this.#options = options
    this.#request = request
    this.#answer = answer
    this.#progress = progress
    this.#plan = options.view.createOfferPlan(request)
    this.#assembly = new AnswerAssembly(answer, { mode: request.target.kind === 'chat' ? 'resumed' : 'whole' })
  }

  async run (): Promise<void> {
    if (this.#options.isPoisoned(this.#request.fingerprint)) this.#offerResults.recordNotRun('poison', 0)
    else await this.#runOffers()
    if (!this.#answer.hasEnded) this.#refuse(this.#createRefusal())
  }

  async #runOffers (): Promise<void> {
    while (!this.#progress.signal.aborted && !this.#answer.hasEnded) {
      const offer = this.#plan.selectNext(this.#options.clock.getMonotonicMs())
      if (offer === null) break
      const target = this.#options.view.findTarget(offer.view.name)
      if (target === undefined) continue
      const end = await this.#runAttempt(target, offer)
      if (this.#decideNext(offer, end) === 'done') return
    }
  }

  async #runAttempt (target: OfferTarget, offer: PlannedOffer): Promise<AttemptEnd> {
    const { clock, view, observer, mover } = this.#options
    this.#attemptNumber += 1
    const params = this.#createParams(offer)
    observer.recordOffer(this.#request, params.attemptId, target.endpointName)
    view.table.recordDispatch(target.endpointName, params.tier)
    const recorder = new AttemptRecorder(this.#options, this.#request, params, target)
    const session = new AttemptSession({
      clock,
      peer: target.peer,
      params,
      assembly: this.#assembly,
      observer: recorder,
      progress: this.#progress,
      expectedEpoch: target.epoch
    })
    const movable = this.#createMovableAttempt(target, recorder, session)
    mover.add(movable)
    const end = await session.run()
    mover.remove(movable)
    if (this.#progress.signal.aborted) recorder.recordAbandoned(clock.getMonotonicMs())
    else recorder.recordEnd(end, clock.getMonotonicMs())
    return end
  }

  #createMovableAttempt (target: OfferTarget, recorder: AttemptRecorder, session: AttemptSession): MovableAttempt {
    const { serviceClass, target: requestTarget } = this.#request
    let movedFrom: string | null = null
    return {
      endpointName: target.endpointName,
      targetName: toTargetName(requestTarget),
      tier: serviceClass.tier,
      className: serviceClass.name,
      betweenTokensTargetMs: serviceClass.betweenTokensTargetMs,
      resumable: requestTarget.kind === 'chat',
      getTokenIntervalMs: () => recorder.getTokenIntervalMs(),
      getStatus: () => recorder.getStatus()?.kind === movedFrom ? null : recorder.getStatus(),
      move: status => {
        movedFrom = status
        session.move({ onlyQueued: status === 'queued' })
      }
    }
  }

  #decideNext (offer: PlannedOffer, end: AttemptEnd): 'done' | 'goOn' {
    switch (end.kind) {
      case 'completed':
        this.#answer.complete({ status: end.status, contentType: end.contentType })
        return 'done'
      case 'notRun':
        this.#offerResults.recordNotRun(end.reason, end.retryAfterMs)
        return this.#decideNotRun(offer, end)
      case 'moved':
        return this.#decideMoved(end.wasRunning)
      case 'mayHaveRun':
      case 'failed':
        return this.#decideAfterStart(offer, end)
      default: return end satisfies never
    }
  }

  #decideNotRun (offer: PlannedOffer, end: Extract<AttemptEnd, { kind: 'notRun' }>): 'done' | 'goOn' {
    switch (end.reason) {
      case 'poison':
      case 'alreadyInProgress':
      case 'keyReused':
        return this.#refuse(this.#createRefusal())
      case 'displaced':
        if (this.#acquirePlanReset()) this.#plan.recordDisplacement(this.#options.clock.getMonotonicMs())
        return 'goOn'
      case 'fenced':
        if (this.#acquirePlanReset()) this.#plan.recordEndpointLost(this.#options.clock.getMonotonicMs())
        return 'goOn'
      case 'cannotMeetDeadline':
        this.#plan.recordRefusal(offer, end.retryAfterMs, this.#options.clock.getMonotonicMs())
        return 'goOn'
      default:
        return 'goOn'
    }
  }

  #decideMoved (wasRunning: boolean): 'goOn' {
    const nowMs = this.#options.clock.getMonotonicMs()
    this.#mayHaveRun ||= wasRunning
    if (!this.#acquirePlanReset()) return 'goOn'
    if (wasRunning) this.#plan.recordEndpointLost(nowMs)
    else this.#plan.recordDisplacement(nowMs)
    return 'goOn'
  }

  #decideAfterStart (offer: PlannedOffer, end: Extract<AttemptEnd, { kind: 'mayHaveRun' | 'failed' }>): 'done' | 'goOn' {
    this.#mayHaveRun = true
    if (this.#progress.signal.aborted) return this.#refuse(this.#createRefusal())
    if (!this.#request.idempotent) return this.#refuse(createAfterStartRefusal(end))
    if (end.kind === 'failed') this.#options.adoptCrashCount(this.#request.fingerprint, end.crashCount)
    if (!this.#options.acquireRetry(this.#request.serviceClass.name)) return this.#refuse(createAfterStartRefusal(end))
    this.#options.observer.recordRetry(this.#request, this.#getAttemptId(), `${offer.view.name}: ${end.reason}`)
    if (this.#acquirePlanReset()) this.#plan.recordEndpointLost(this.#options.clock.getMonotonicMs())
    return 'goOn'
  }

  /**
   * Counts a reset of the plan, after which all endpoints may be offered the request again. Returns
   * false after `MAX_PLAN_RESETS` resets.
   */
  #acquirePlanReset (): boolean {
    this.#planResetCount += 1
    return this.#planResetCount <= MAX_PLAN_RESETS
  }

  #createRefusal (): Refusal {
    if (this.#progress.signal.aborted) return this.#createDeadlineRefusal()
    if (this.#offerResults.count === 0) return this.#createUnplacedRefusal()
    return this.#offerResults.createRefusal(this.#mayHaveRun, MIN_RETRY_AFTER_MS)
  }

  #createDeadlineRefusal (): Refusal {
    const execution = this.#mayHaveRun ? 'may_have_run' : 'not_run'
    return { code: 'deadline_exceeded', message: 'The class\'s deadline passed before the answer was whole.', execution, retryAfterMs: MIN_RETRY_AFTER_MS }
  }

  #createUnplacedRefusal (): Refusal {
    const isPlaced = this.#options.view.isPlaced(this.#request)
    const message = isPlaced ? 'Every endpoint that serves this is leaving or down.' : 'No endpoint serves this at present.'
    return { code: isPlaced ? 'endpoint_unavailable' : 'model_not_placed', message, execution: 'not_run', retryAfterMs: MIN_RETRY_AFTER_MS }
  }

  #refuse (refusal: Refusal): 'done' {
    this.#options.observer.recordRefusal(this.#request, refusal.code)
    if (this.#answer.hasBegun) this.#answer.fail(refusal)
    else this.#answer.refuse(refusal)
    return 'done'
  }

  #createParams (offer: PlannedOffer): SubmitAttempt {
    const request = this.#request
    const elapsedMs = this.#options.clock.getMonotonicMs() - request.arrivedAtMs
    return {
      ...this.#options.getIdentity(),
      requestId: request.requestId,
      attemptId: this.#getAttemptId(),
      attemptNumber: this.#attemptNumber,
      configGeneration: this.#options.getConfigGeneration(),
      workspace: request.workspace.name,
      className: request.serviceClass.name,
      tier: request.serviceClass.tier,
      remainingMs: Math.max(0, request.serviceClass.deadlineMs - elapsedMs - DEADLINE_MARGIN_MS),
      startWithinMs: offer.startWithinMs,
      firstTokenRemainingMs: offer.firstTokenWithinMs,
      idempotent: request.idempotent,
      idempotencyKey: request.idempotencyKey,
      fingerprint: request.fingerprint,
      crashCount: this.#options.getCrashCount(request.fingerprint),
      target: this.#createTarget()
    }
  }

  #createTarget (): AttemptTarget {
    const { target } = this.#request
    if (target.kind !== 'chat' || this.#assembly.chunkCount === 0) return target
    return { ...target, resume: { text: this.#assembly.text, chunkCount: this.#assembly.chunkCount } }
  }

  #getAttemptId (): string {
    return `${this.#request.requestId}.${this.#attemptNumber}`
  }
}

function createAfterStartRefusal (end: Extract<AttemptEnd, { kind: 'mayHaveRun' | 'failed' }>): Refusal {
  if (end.kind === 'mayHaveRun') return { code: 'answer_lost', message: `The request may have run: ${end.reason}.`, execution: 'may_have_run', retryAfterMs: end.retryAfterMs }
  return { code: 'endpoint_failed', message: `The endpoint failed after the start: ${end.message}`, execution: 'may_have_run' }
}
