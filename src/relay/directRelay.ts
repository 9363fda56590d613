import { countOwnTokens } from '../policy/placement'
import { findQuietRestMs } from '../policy/quietTime'
import { decideRepeat } from '../policy/repeatDecision'
import { waitForInput } from './pendingInput'

import type { Clock } from '../base/clock'
import type { DirectChoice } from '../policy/directChooser'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { PlacedRequest, Placement } from '../policy/placement'
import type { RepeatSituation, SendOutcome } from '../policy/repeatDecision'
import type { RetryWindow } from '../policy/retryWindow'
import type { Refusal } from '../protocol/errorBody'
import type { CallerReply } from './callerReply'
import type { CrashGuard } from './crashGuard'
import type { Dispatcher } from './dispatcher'
import type { StreamPosition } from './endpointRun'
import type { EndedSend, EndpointSender } from './endpointSender'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'

export interface DirectRelayOptions {
  clock: Clock
  directory: EndpointDirectory
  placement: Placement
  retries: RetryWindow
  observer: RelayObserver
  dispatcher: Dispatcher
  sender: EndpointSender
  crashes: CrashGuard
  /** Tells why a request that had to wait must not be sent any more; null when it may. */
  checkAgain: (request: RelayRequest) => Refusal | null
}

/** What one request has been through. */
interface RelayState {
  readonly request: RelayRequest
  readonly reply: CallerReply
  readonly tried: Set<string>
  readonly position: StreamPosition
  attempts: number
  failedConnects: number
  /** What the caller is told if nothing else comes. */
  lastRefusal: Refusal
  /** Passes on the failure that an endpoint answered, if no other endpoint does better. */
  passFailure: (() => void) | null
}

/** Wait before a caller comes back to a service with no free endpoint, when the endpoint does not say. */
const DEFAULT_RETRY_AFTER_MS = 300

/**
 * Relays requests straight to endpoints, without a sidecar: waits for an endpoint with room, sends,
 * passes the answer on, and repeats the request elsewhere where that is allowed.
 */
export class DirectRelay {
  readonly #options: DirectRelayOptions
  #inFlight = 0

  constructor (options: DirectRelayOptions) {
    this.#options = options
  }

  /** Number of requests that have no final answer yet. */
  countInFlight (): number {
    return this.#inFlight
  }

  /** Relays one admitted request until its reply has ended. */
  async relay (request: RelayRequest, reply: CallerReply): Promise<void> {
    const { clock, observer, placement, retries } = this.#options
    const state = createState(request, reply)
    retries.recordRequest(request.service, clock.getMonotonicMs())
    placement.recordArrival(toPlaced(request))
    this.#inFlight += 1
    try {
      while (reply.end === 'open' && await this.#runOnce(state));
      if (reply.end === 'open') this.#finish(state)
    } finally {
      this.#inFlight -= 1
      observer.recordEnd(request, reply, clock.getMonotonicMs())
    }
  }

  /** Sends the request once; true when it is to be sent again. */
  async #runOnce (state: RelayState): Promise<boolean> {
    const { request, reply, tried, position } = state
    const choice = await this.#acquireRoom(state)
    if (choice === null) return false
    await waitForInput()
    if (reply.end !== 'open') {
      this.#releaseRoom(choice)
      return false
    }
    const ended = await this.#options.sender.send({ request, reply, choice, position, tried, attempt: state.attempts })
    switch (ended.outcome) {
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
        refuseUnlessRun(state, createRefused(ended.retryAfterMs))
        break
      case 'mayHaveRun':
      case 'failedAnswer':
        state.lastRefusal = createAnswerLost()
        state.passFailure = ended.passFailure
        break
    }
    return this.#isRepeated(state, ended.outcome)
  }

  /** Waits for an endpoint with room and takes the room; null when there is none in time. */
  async #acquireRoom (state: RelayState): Promise<DirectChoice | null> {
    const { clock, dispatcher, placement, checkAgain, crashes, observer } = this.#options
    const { request, reply } = state
    const poison = crashes.check(request)
    if (poison !== null) {
      refuseUnlessRun(state, poison)
      return null
    }
    const untried = this.#listUntried(state)
    if (untried.length === 0) return null
    const nowMs = clock.getMonotonicMs()
    const quietMs = findQuietRestMs(untried, nowMs)
    if (quietMs !== null && nowMs + quietMs >= request.deadlineAtMs) {
      refuseUnlessRun(state, createRefused(quietMs))
      return null
    }
    const placed = toPlaced(request)
    const dueAtMs = placement.computeDueAt(placed)
    const place = placement.open(placed, state.tried, dueAtMs)
    let best: DirectChoice | null = null
    const choice = await dispatcher.wait({
      id: request.traits.requestId,
      service: request.service,
      rank: request.rank,
      tokens: countOwnTokens(placed.promptParts),
      dueAtMs,
      expiresAtMs: request.deadlineAtMs,
      choose: planned => {
        best = place(planned, clock.getMonotonicMs())
        return best
      },
      take: taken => this.#takeRoom(state, taken)
    }, reply.signal)
    if (choice === null) {
      observer.recordWaitEnded(request, best, dispatcher.countWaiting(request.service), clock.getMonotonicMs())
      refuseUnlessRun(state, createRefused(findQuietRestMs(this.#listUntried(state), clock.getMonotonicMs())))
      return null
    }
    // what an endpoint has begun under a valid key goes on; only a first send is asked for again
    const refusal = state.attempts > 1 ? null : checkAgain(request)
    if (refusal === null) return choice
    this.#releaseRoom(choice)
    refuseUnlessRun(state, refusal)
    return null
  }

  #listUntried ({ request, tried }: RelayState): DirectEndpoint[] {
    return this.#options.directory.listReady(request.service).filter(endpoint => !tried.has(endpoint.entry.id))
  }

  #takeRoom (state: RelayState, choice: DirectChoice): void {
    const { clock, observer, placement } = this.#options
    const nowMs = clock.getMonotonicMs()
    state.tried.add(choice.endpoint.entry.id)
    observer.recordChoice(state.request, choice, state.attempts + 1, nowMs)
    placement.take(choice, state.request.traits.promptParts, nowMs)
    state.attempts += 1
  }

  #releaseRoom (choice: DirectChoice): void {
    const { placement, dispatcher } = this.#options
    placement.release(choice)
    dispatcher.notifyRoom(choice.endpoint.entry.service)
  }

  #isRepeated (state: RelayState, outcome: SendOutcome): boolean {
    const { retries, clock, observer } = this.#options
    const { request } = state
    const nowMs = clock.getMonotonicMs()
    const decision = decideRepeat(buildSituation(state, outcome, nowMs))
    const isGranted = decision.kind === 'repeat' && (!decision.isCounted || retries.acquire(request.service, nowMs))
    observer.recordRepeat(request, decision, isGranted)
    return isGranted
  }

  /** Gives the caller the failure that an endpoint answered, or says why there is no answer. */
  #finish (state: RelayState): void {
    const { request, reply } = state
    if (state.passFailure !== null && !reply.hasBegun) return state.passFailure()
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

function toPlaced ({ service, arrivedAtMs, route, traits }: RelayRequest): PlacedRequest {
  return { service, promptParts: traits.promptParts, targetMs: route.targetMs, arrivedAtMs }
}

function createState (request: RelayRequest, reply: CallerReply): RelayState {
  return {
    request,
    reply,
    tried: new Set(),
    position: { lastEventId: request.traits.resumeAfter },
    attempts: 0,
    failedConnects: 0,
    lastRefusal: createNoEndpoint(request),
    passFailure: null
  }
}

function buildSituation (state: RelayState, outcome: EndedSend['outcome'] & SendOutcome, nowMs: number): RepeatSituation {
  const { request, attempts, failedConnects } = state
  const { kind, isResumable, maxAttempts } = request.route
  return { kind, isResumable, outcome, attempts, maxAttempts, failedConnects, remainingMs: request.deadlineAtMs - nowMs }
}

/** Once a request may have run, no later refusal may say that it did not. */
function refuseUnlessRun (state: RelayState, refusal: Refusal): void {
  if (state.lastRefusal.execution === 'not_run') state.lastRefusal = refusal
}

function createNoEndpoint (request: RelayRequest): Refusal {
  return { code: 'endpoint_unavailable', message: `No endpoint of service '${request.service}' takes requests.`, execution: 'not_run', retryAfterMs: DEFAULT_RETRY_AFTER_MS }
}

function createRefused (retryAfterMs: number | null): Refusal {
  return { code: 'overloaded', message: 'The endpoints are full.', execution: 'not_run', retryAfterMs: retryAfterMs ?? DEFAULT_RETRY_AFTER_MS }
}

function createAnswerLost (): Refusal {
  return { code: 'answer_lost', message: 'The endpoint gave no whole answer; the request may have run.', execution: 'may_have_run' }
}
