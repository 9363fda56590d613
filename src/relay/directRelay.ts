import { estimateWaitMs } from '../policy/endpointAvailability'
import { decideRetry } from '../policy/retryDecision'
import { waitForPendingInput } from '../base/pendingInput'
import { buildShareClaim } from './shareClaim'
import { buildUnknownRefusal } from './streamVersions'

import type { Clock } from '../base/clock'
import type { DirectChoice } from '../policy/directChooser'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { PlacementRequest, Placement } from '../policy/placement'
import type { DirectAttemptOutcome, RetryDecision, RetryState } from '../policy/retryDecision'
import type { RetryReservation } from '../policy/stallDetection'
import type { VersionChoice } from '../policy/versionChoice'
import type { ShareStanding } from '../policy/workspaceShares'
import type { RetryWindow } from '../policy/retryWindow'
import type { Refusal } from '../protocol/errorBody'
import type { CallerReply } from './callerReply'
import type { CrashGuard } from './crashGuard'
import type { Dispatcher } from './dispatcher'
import type { StreamPosition } from './answerForwarder'
import type { EndpointSender } from './endpointSender'
import type { LimitCoordinator } from './limitCoordinator'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'
import type { StreamVersions } from './streamVersions'

export interface DirectRelayOptions {
  clock: Clock
  directory: EndpointDirectory
  placement: Placement
  retries: RetryWindow
  observer: RelayObserver
  dispatcher: Dispatcher
  sender: EndpointSender
  crashes: CrashGuard
  limits: LimitCoordinator
  versions: StreamVersions
  /** Whether workspaces share the room of a rank. */
  sharesRoom: boolean
  /** Returns the refusal of a queued request that must no longer be sent; null when it may be sent. */
  checkStillAdmitted: (request: RelayRequest) => Refusal | null
  /** Returns the refusal of a request that might not end before this process does; null when it may be sent. */
  checkStop: (request: RelayRequest) => Refusal | null
  /** Returns whether a planned stop has begun. */
  isStopping: () => boolean
}

/** State of one request over all its attempts. */
interface RelayState {
  readonly request: RelayRequest
  readonly reply: CallerReply
  readonly tried: Set<string>
  readonly position: StreamPosition
  /** Software version of the endpoints that may serve the request, as decided before it waits; null until then. */
  version: VersionChoice | null
  attempts: number
  failedConnects: number
  /** Whether the next attempt has been taken from the retry budget. */
  hasReservedRetry: boolean
  /** Refusal that the caller gets if no further attempt succeeds. */
  lastRefusal: Refusal
  /** Forwards the failure that an endpoint answered, if no further attempt succeeds; null when there is none. */
  forwardFailure: (() => void) | null
}

/** Milliseconds of Retry-After when no endpoint has capacity and none named a time. */
const DEFAULT_RETRY_AFTER_MS = 300

/**
 * Relays requests straight to endpoints, without a sidecar. Waits for an endpoint with capacity,
 * sends the request, forwards the answer, and retries at another endpoint where that is allowed.
 */
export class DirectRelay {
  readonly #options: DirectRelayOptions
  /** Requests that wait for an endpoint; aborting ends their wait. */
  readonly #waiting = new Map<RelayState, AbortController>()
  #inFlight = 0

  constructor (options: DirectRelayOptions) {
    this.#options = options
  }

  /** Counts the requests that have no final answer yet. */
  countInFlight (): number {
    return this.#inFlight
  }

  /** Relays one admitted request until its reply has ended. */
  async relay (request: RelayRequest, reply: CallerReply): Promise<void> {
    const { clock, observer, placement, retries } = this.#options
    const state = createState(request, reply)
    retries.recordRequest(request.service, clock.getMonotonicMs())
    placement.recordArrival(toPlacementRequest(request))
    this.#inFlight += 1
    try {
      while (reply.end === 'open' && await this.#runAttempt(state));
      if (reply.end === 'open') this.#finish(state)
    } finally {
      this.#inFlight -= 1
      observer.recordRequestEnd(request, reply, clock.getMonotonicMs())
    }
  }

  /** Refuses the waiting requests that must no longer be sent, because they crash endpoints or this process stops. */
  refuseHeld (): void {
    for (const [{ request }, hold] of this.#waiting) if (this.#checkHeld(request) !== null) hold.abort()
  }

  /** Makes one attempt. Returns true when the request is to be retried. */
  async #runAttempt (state: RelayState): Promise<boolean> {
    const { request, reply, tried, position } = state
    const choice = await this.#acquireEndpoint(state)
    if (choice === null) return false
    await waitForPendingInput()
    const heldRefusal = this.#checkHeld(request)
    if (heldRefusal !== null) setRefusalIfNotRun(state, heldRefusal)
    if (heldRefusal !== null || reply.end !== 'open') {
      this.#releaseEndpoint(choice)
      return false
    }
    reply.endpointId = choice.endpoint.entry.id
    const result = await this.#options.sender.send({ request, reply, choice, position, tried, attempt: state.attempts, reserveRetry: () => this.#reserveRetry(state) })
    switch (result.outcome) {
      case 'answered':
      case 'callerLeft': return false
      case 'deadline':
        state.lastRefusal = { code: 'deadline_exceeded', message: 'The time for this request ran out.', execution: 'may_have_run' }
        return false
      case 'notSent':
        state.failedConnects += 1
        state.attempts -= 1
        break
      case 'notRun':
        setRefusalIfNotRun(state, createOverloadedRefusal(result.retryAfterMs))
        break
      case 'mayHaveRun':
      case 'failedAnswer':
        state.lastRefusal = createAnswerLostRefusal()
        state.forwardFailure = result.forwardFailure
        break
    }
    return this.#shouldRetry(state, result.outcome)
  }

  /** Waits for an endpoint with capacity and reserves it. Returns null when the request is refused, the caller disconnects or no endpoint has capacity in time. */
  async #acquireEndpoint (state: RelayState): Promise<DirectChoice | null> {
    const { clock, dispatcher, placement, limits, checkStillAdmitted, observer } = this.#options
    const { request, reply } = state
    const heldRefusal = this.#checkHeld(request)
    if (heldRefusal !== null) {
      setRefusalIfNotRun(state, heldRefusal)
      return null
    }
    const versionRefusal = await this.#decideVersion(state)
    if (versionRefusal !== null) {
      setRefusalIfNotRun(state, versionRefusal)
      return null
    }
    const untried = this.#listUntried(state)
    if (untried.length === 0) return null
    const nowMs = clock.getMonotonicMs()
    const waitMs = this.#estimateWaitMs(request, untried)
    if (waitMs !== null && nowMs + waitMs >= request.deadlineAtMs) {
      setRefusalIfNotRun(state, createOverloadedRefusal(waitMs))
      return null
    }
    const placementRequest = toPlacementRequest(request)
    const claim = this.#options.sharesRoom ? buildShareClaim(request) : null
    const latestStartAtMs = placement.computeLatestStartAt(placementRequest)
    const hold = new AbortController()
    const chooseEndpoint = placement.createChooser(placementRequest, { triedIds: state.tried, latestStartAtMs, findVersion: () => this.#findVersion(state, hold) })
    let lastChoice: DirectChoice | null = null
    this.#waiting.set(state, hold)
    const choice = await dispatcher.wait({
      id: request.traits.requestId,
      service: request.service,
      rank: request.rank,
      prefillMs: placement.computePrefillMs(placementRequest),
      latestStartAtMs,
      expiresAtMs: request.deadlineAtMs,
      claim,
      choose: queuedTokens => {
        lastChoice = chooseEndpoint(queuedTokens, clock.getMonotonicMs())
        if (lastChoice?.needsPermit === true) limits.requestPermits(lastChoice.endpoint, dispatcher.countWaiting(request.service))
        return lastChoice
      },
      reserve: (reserved, standing) => this.#reserveEndpoint(state, reserved, standing)
    }, AbortSignal.any([reply.signal, hold.signal]))
    this.#waiting.delete(state)
    if (choice === null && hold.signal.aborted) {
      setRefusalIfNotRun(state, this.#checkHeld(request) ?? buildUnknownRefusal('assignmentStale'))
      return null
    }
    if (choice === null) {
      observer.recordWaitEnded(request, lastChoice, { waiting: dispatcher.countWaiting(request.service), standing: dispatcher.describeShare({ service: request.service, rank: request.rank, claim }) }, clock.getMonotonicMs())
      setRefusalIfNotRun(state, createOverloadedRefusal(this.#estimateWaitMs(request, this.#listUntried(state))))
      return null
    }
    // only the first attempt is checked again: a request that an endpoint has started under a valid key continues
    const refusal = state.attempts > 1 ? null : checkStillAdmitted(request)
    if (refusal === null) return choice
    this.#releaseEndpoint(choice)
    setRefusalIfNotRun(state, refusal)
    return null
  }

  #checkHeld (request: RelayRequest): Refusal | null {
    return this.#options.crashes.check(request) ?? this.#options.checkStop(request)
  }

  /** Decides, before the first attempt, which version may serve the request. Returns the refusal when that is not known. */
  async #decideVersion (state: RelayState): Promise<Refusal | null> {
    const { request, reply } = state
    const { versions } = this.#options
    if (state.version === null) {
      const decided = await versions.waitForVersion(request, reply.signal)
      if ('code' in decided) return decided
      state.version = decided
    }
    return request.traits.resumeAfterEventId !== null && state.version.kind === 'version' ? versions.checkVersion(request, state.version.version) : null
  }

  /** Finds the version that may serve the request now; ends the wait of a stream that may not begin any more. */
  #findVersion ({ request, position, version }: RelayState, hold?: AbortController): VersionChoice {
    if (version === null || version.kind === 'any') return { kind: 'any' }
    if (position.version !== null) return { kind: 'version', version: position.version }
    if (request.traits.resumeAfterEventId !== null) return version
    const beginning = this.#options.versions.findBeginning(request)
    if (beginning.kind === 'unknown' && beginning.reason === 'assignmentStale') hold?.abort()
    return beginning
  }

  #listUntried (state: RelayState): DirectEndpoint[] {
    const { request, tried } = state
    const version = this.#findVersion(state)
    return this.#options.directory.listReady(request.service, version.kind === 'version' ? version.version : null).filter(endpoint => !tried.has(endpoint.entry.id))
  }

  /** Estimates how long a request waits at least for one of the endpoints. Returns null when one may accept it now. */
  #estimateWaitMs (request: RelayRequest, endpoints: readonly DirectEndpoint[]): number | null {
    const { clock, dispatcher, limits } = this.#options
    return estimateWaitMs(endpoints, {
      getPermit: endpoint => limits.getPermit(endpoint),
      getLimit: endpoint => limits.getLimit(endpoint),
      waitingAhead: dispatcher.countAhead(request.service, request.rank),
      nowMs: clock.getMonotonicMs()
    })
  }

  #reserveEndpoint (state: RelayState, choice: DirectChoice, standing: ShareStanding | null): void {
    const { clock, observer, placement, limits } = this.#options
    const nowMs = clock.getMonotonicMs()
    state.tried.add(choice.endpoint.entry.id)
    observer.recordEndpointChoice(state.request, choice, { attempt: state.attempts + 1, limitPerSecond: limits.getLimit(choice.endpoint), standing }, nowMs)
    limits.takePermit(choice.endpoint)
    placement.reserve(choice, state.request.traits.promptParts, nowMs)
    state.attempts += 1
  }

  #releaseEndpoint (choice: DirectChoice): void {
    const { placement, dispatcher } = this.#options
    placement.release(choice)
    dispatcher.notifyCapacity(choice.endpoint.entry.service)
  }

  #shouldRetry (state: RelayState, outcome: DirectAttemptOutcome): boolean {
    const decision = this.#decideRetry(state, outcome)
    const isGranted = decision.kind === 'repeat' && (!decision.usesRetryBudget || state.hasReservedRetry || this.#acquireRetry(state))
    state.hasReservedRetry = false
    this.#options.observer.recordRetryDecision(state.request, decision, isGranted)
    return isGranted
  }

  /** Reserves the attempt that follows when the present one is given up although its endpoint may still answer. */
  #reserveRetry (state: RelayState): RetryReservation {
    if (this.#checkHeld(state.request) !== null || this.#decideRetry(state, 'mayHaveRun').kind === 'end') return 'refused'
    state.hasReservedRetry ||= this.#acquireRetry(state)
    if (state.hasReservedRetry) return 'reserved'
    // a planned stop ends no answer that its endpoint may still give
    return this.#options.isStopping() ? 'refused' : 'budgetSpent'
  }

  #decideRetry (state: RelayState, outcome: DirectAttemptOutcome): RetryDecision {
    const { clock, crashes } = this.#options
    return decideRetry(buildRetrySituation(state, { outcome, isCrashSuspect: crashes.isRisky(state.request), nowMs: clock.getMonotonicMs() }))
  }

  #acquireRetry ({ request }: RelayState): boolean {
    const { retries, clock } = this.#options
    return retries.acquire(request.service, clock.getMonotonicMs())
  }

  /** Forwards the failure that an endpoint answered, or sends the last refusal. */
  #finish (state: RelayState): void {
    const { request, reply } = state
    if (state.forwardFailure !== null && !reply.hasStarted) return state.forwardFailure()
    this.#options.observer.recordRefusal(request.traits.requestId, state.lastRefusal, {
      route: request.route.name,
      service: request.service,
      attempts: state.attempts,
      failedConnects: state.failedConnects,
      endpoints: this.#options.directory.listReady(request.service).length,
      waiting: this.#options.dispatcher.countWaiting(request.service)
    })
    reply.refuse(state.lastRefusal)
  }
}

function toPlacementRequest ({ service, arrivedAtMs, route, traits }: RelayRequest): PlacementRequest {
  return { service, promptParts: traits.promptParts, targetMs: route.targetMs, arrivedAtMs }
}

function createState (request: RelayRequest, reply: CallerReply): RelayState {
  return {
    request,
    reply,
    tried: new Set(),
    position: { lastEventId: request.traits.resumeAfterEventId, version: null },
    version: null,
    attempts: 0,
    failedConnects: 0,
    hasReservedRetry: false,
    lastRefusal: createUnavailableRefusal(request),
    forwardFailure: null
  }
}

function buildRetrySituation (state: RelayState, { outcome, isCrashSuspect, nowMs }: { outcome: DirectAttemptOutcome, isCrashSuspect: boolean, nowMs: number }): RetryState {
  const { request, attempts, failedConnects } = state
  const { kind, isResumable, maxAttempts } = request.route
  return { kind, isResumable, outcome, attempts, maxAttempts, failedConnects, remainingMs: request.deadlineAtMs - nowMs, isCrashSuspect }
}

/** Sets the last refusal. Once a request may have run, no later refusal may state that it did not. */
function setRefusalIfNotRun (state: RelayState, refusal: Refusal): void {
  if (state.lastRefusal.execution === 'not_run') state.lastRefusal = refusal
}

function createUnavailableRefusal (request: RelayRequest): Refusal {
  return { code: 'endpoint_unavailable', message: `No endpoint of service '${request.service}' takes requests.`, execution: 'not_run', retryAfterMs: DEFAULT_RETRY_AFTER_MS }
}

function createOverloadedRefusal (retryAfterMs: number | null): Refusal {
  return { code: 'overloaded', message: 'The endpoints are full.', execution: 'not_run', retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }
}

function createAnswerLostRefusal (): Refusal {
  return { code: 'answer_lost', message: 'The endpoint gave no whole answer; the request may have run.', execution: 'may_have_run' }
}
