import { chooseDirectEndpoint, findSharedPart } from '../policy/directChooser'
import { recordSend } from '../policy/directEndpoint'
import { decideRepeat } from '../policy/repeatDecision'
import { sendToEndpoint } from './endpointExchange'
import { EndpointRun, isSuccess } from './endpointRun'

import type { Agent } from 'node:http'
import type { Clock } from '../base/clock'
import type { DirectChoice, PlannedTokens } from '../policy/directChooser'
import type { EndpointEntry, SendVerdict } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { SendOutcome } from '../policy/repeatDecision'
import type { RetryWindow } from '../policy/retryWindow'
import type { Refusal } from '../protocol/errorBody'
import type { CallerReply } from './callerReply'
import type { CrashGuard } from './crashGuard'
import type { EndpointDialect } from './dialects'
import type { Dispatcher } from './dispatcher'
import type { ExchangeEnd } from './endpointExchange'
import type { StreamPosition } from './endpointRun'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'
import type { SilenceWatch, WatchedSend } from './silenceWatch'

export interface DirectRelayOptions {
  clock: Clock
  random: () => number
  directory: EndpointDirectory
  retries: RetryWindow
  dialect: EndpointDialect
  observer: RelayObserver
  dispatcher: Dispatcher
  silence: SilenceWatch
  crashes: CrashGuard
  /** Tells why a request that had to wait must not be sent any more; null when it may. */
  checkAgain: (request: RelayRequest) => Refusal | null
  /** Connections that are kept for reuse. */
  agent: Agent
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

interface EndedSend {
  outcome: SendOutcome | 'answered' | 'callerLeft' | 'deadline' | 'stopped'
  verdict: SendVerdict | null
  detail: string
}

/** Time for a connection within a region: several round trips, below the retransmission of a lost first packet. */
const CONNECT_TIMEOUT_MS = 250
/** Wait before a caller comes back to a service with no free endpoint, when the endpoint does not say. */
const DEFAULT_RETRY_AFTER_MS = 300

/**
 * Relays requests straight to endpoints, without a sidecar: chooses an endpoint, sends, passes the
 * answer on, and repeats the request elsewhere where that is allowed.
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
    const { clock, observer, retries } = this.#options
    const state: RelayState = {
      request,
      reply,
      tried: new Set(),
      position: { lastEventId: request.traits.resumeAfter },
      attempts: 0,
      failedConnects: 0,
      lastRefusal: createNoEndpoint(request),
      passFailure: null
    }
    retries.recordRequest(request.service, clock.getMonotonicMs())
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
    const { request } = state
    const bound = await this.#acquireRoom(state)
    if (bound === null) return false
    const ended = await this.#send(state, bound)
    switch (ended.outcome) {
      case 'answered':
      case 'callerLeft':
      case 'stopped': return false
      case 'deadline':
        state.lastRefusal = { code: 'deadline_exceeded', message: 'The time for this request ran out.', execution: 'may_have_run' }
        return false
      case 'notSent':
        state.failedConnects += 1
        state.attempts -= 1
        break
      case 'notRun':
      case 'mayHaveRun':
      case 'failedAnswer': break
    }
    return this.#decideRepeat(state, ended.outcome, request)
  }

  #choose (state: RelayState, planned: PlannedTokens): DirectChoice | null {
    const { directory, clock, random } = this.#options
    const { request } = state
    const nowMs = clock.getMonotonicMs()
    const shared = findSharedPart(request.traits.promptParts)
    const home = shared === null ? null : directory.listHolders(request.service, shared.id, 1)[0] ?? null
    return chooseDirectEndpoint(
      { service: request.service, promptParts: request.traits.promptParts },
      directory.listReady(request.service),
      { excluded: state.tried, home, planned, nowMs, random }
    )
  }

  /** Waits for an endpoint with room and takes the room; null when there is none in time. */
  async #acquireRoom (state: RelayState): Promise<DirectChoice | null> {
    const { directory, dispatcher, checkAgain, crashes } = this.#options
    const { request, reply } = state
    const poison = crashes.check(request)
    if (poison !== null) {
      if (state.lastRefusal.execution === 'not_run') state.lastRefusal = poison
      return null
    }
    if (directory.listReady(request.service).every(endpoint => state.tried.has(endpoint.entry.id))) return null
    const choice = await dispatcher.wait({
      id: request.traits.requestId,
      service: request.service,
      rank: request.rank,
      dueAtMs: request.arrivedAtMs + request.route.targetMs,
      expiresAtMs: request.deadlineAtMs,
      choose: planned => this.#choose(state, planned),
      take: taken => this.#beginSend(state, taken)
    }, reply.signal)
    const refusal = choice === null ? null : checkAgain(request)
    if (choice === null || refusal === null) return choice
    this.#releaseRoom(choice)
    if (state.lastRefusal.execution === 'not_run') state.lastRefusal = refusal
    return null
  }

  async #send (state: RelayState, choice: DirectChoice): Promise<EndedSend> {
    const { clock, dialect, observer, agent, dispatcher, silence } = this.#options
    const { request, reply, position } = state
    const { endpoint } = choice
    const startedAtMs = clock.getMonotonicMs()
    const remainingMs = request.deadlineAtMs - startedAtMs
    const controller = new AbortController()
    let hasTimedOut = false
    let firstMs: number | null = null
    let events = 0
    const abort = () => controller.abort()
    let silentReason: string | null = null
    const watched: WatchedSend = {
      request,
      endpoint,
      tried: state.tried,
      hasAttemptsLeft: state.attempts < request.route.maxAttempts,
      sentAtMs: startedAtMs,
      heardAtMs: null,
      giveUp: reason => {
        silentReason = reason
        abort()
      }
    }
    silence.add(watched)
    const timer = setTimeout(() => {
      hasTimedOut = true
      abort()
    }, Math.max(0, remainingMs))
    reply.signal.addEventListener('abort', abort, { once: true })
    let pendingTokens = choice.unreadTokens
    const run = new EndpointRun({
      request,
      reply,
      dialect,
      position,
      abort,
      handleBytes: () => silence.recordHeard(watched),
      handleFirst: () => {
        firstMs = clock.getMonotonicMs() - request.arrivedAtMs
        endpoint.pendingTokens -= pendingTokens
        pendingTokens = 0
        dispatcher.notifyRoom(request.service)
      },
      handleEvents: count => { events += count }
    })
    const [host, port] = parseAddress(endpoint.entry.address)
    const isMistrusted = startedAtMs < endpoint.mistrustedUntilMs
    const end = await sendToEndpoint({
      agent: isMistrusted ? false : agent,
      host,
      port,
      method: request.traits.method,
      target: request.traits.target,
      headers: dialect.buildHeaders(request, { endpointId: endpoint.entry.id, remainingMs, resumeAfter: position.lastEventId }),
      body: request.body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal: controller.signal
    }, run)
    clearTimeout(timer)
    silence.remove(watched)
    reply.signal.removeEventListener('abort', abort)
    endpoint.inFlight -= 1
    endpoint.pendingTokens -= pendingTokens
    dispatcher.notifyRoom(request.service)
    const nowMs = clock.getMonotonicMs()
    const ended = this.#resolveEnd(state, run, end, { hasTimedOut, silentReason, elapsedMs: nowMs - startedAtMs })
    if (ended.verdict !== null) recordSend(endpoint, ended.verdict, nowMs)
    this.#recordCrashSigns(request, endpoint.entry, end)
    observer.recordSend(request, {
      endpointId: endpoint.entry.id,
      attempt: state.attempts,
      outcome: ended.outcome,
      status: run.head?.status ?? null,
      detail: ended.detail,
      elapsedMs: Math.round(nowMs - startedAtMs),
      firstMs: firstMs === null ? null : Math.round(firstMs),
      events
    })
    return ended
  }

  #beginSend (state: RelayState, choice: DirectChoice): void {
    const { endpoint, unreadTokens } = choice
    const { promptParts } = state.request.traits
    const nowMs = this.#options.clock.getMonotonicMs()
    state.tried.add(endpoint.entry.id)
    this.#options.observer.recordChoice(state.request, choice, state.attempts + 1, nowMs)
    endpoint.prefixes.record(promptParts, nowMs)
    endpoint.inFlight += 1
    endpoint.pendingTokens += unreadTokens
    state.attempts += 1
  }

  #recordCrashSigns (request: RelayRequest, entry: EndpointEntry, end: ExchangeEnd): void {
    const { crashes } = this.#options
    if (end.kind === 'broken') crashes.recordBroken(entry, request)
    if (end.kind === 'notSent' && end.isRefused) crashes.recordRefusedConnection(entry)
  }

  #releaseRoom ({ endpoint, unreadTokens }: DirectChoice): void {
    endpoint.inFlight -= 1
    endpoint.pendingTokens -= unreadTokens
    this.#options.dispatcher.notifyRoom(endpoint.entry.service)
  }

  #resolveEnd (state: RelayState, run: EndpointRun, end: ExchangeEnd, timing: { hasTimedOut: boolean, silentReason: string | null, elapsedMs: number }): EndedSend {
    const { reply } = state
    switch (end.kind) {
      case 'collected':
      case 'passed': return this.#resolveAnswer(state, run, end, timing.elapsedMs)
      case 'rejected': return { outcome: 'mayHaveRun', verdict: { kind: 'garbled' }, detail: run.rejected ?? 'rejected' }
      case 'garbled': return { outcome: 'mayHaveRun', verdict: { kind: 'garbled' }, detail: end.message }
      case 'notSent': return { outcome: 'notSent', verdict: { kind: 'broken' }, detail: end.message }
      case 'broken': return { outcome: 'mayHaveRun', verdict: { kind: 'broken' }, detail: end.message }
      case 'aborted':
        if (run.rejected !== null) return { outcome: 'mayHaveRun', verdict: { kind: 'garbled' }, detail: run.rejected }
        if (reply.end === 'callerLeft') return { outcome: 'callerLeft', verdict: null, detail: 'the caller left' }
        if (timing.silentReason !== null) return { outcome: 'mayHaveRun', verdict: { kind: 'failed' }, detail: timing.silentReason }
        return { outcome: timing.hasTimedOut ? 'deadline' : 'stopped', verdict: null, detail: 'the time ran out' }
    }
  }

  #resolveAnswer (state: RelayState, run: EndpointRun, end: Extract<ExchangeEnd, { kind: 'collected' | 'passed' }>, elapsedMs: number): EndedSend {
    const head = run.head
    if (head === null) return { outcome: 'mayHaveRun', verdict: { kind: 'broken' }, detail: 'no head' }
    if (isSuccess(head.status)) {
      run.completeReply(end)
      return { outcome: 'answered', verdict: { kind: 'answered', elapsedMs }, detail: '' }
    }
    if (head.isNotRun) {
      if (state.lastRefusal.execution === 'not_run') state.lastRefusal = createRefused(head.retryAfterMs)
      return { outcome: 'notRun', verdict: { kind: 'refused' }, detail: head.isWrongEndpoint ? 'another endpoint has the address' : 'refused' }
    }
    state.lastRefusal = createAnswerLost()
    if (!NOT_RUN_STATUSES.has(head.status)) state.passFailure = () => run.completeReply(end)
    return { outcome: 'failedAnswer', verdict: { kind: 'failed' }, detail: 'failure answered' }
  }

  /** Gives the caller the failure that an endpoint answered, or says why there is no answer. */
  #finish (state: RelayState): void {
    if (state.passFailure !== null && !state.reply.hasBegun) return state.passFailure()
    this.#refuse(state, state.lastRefusal)
  }

  #decideRepeat (state: RelayState, outcome: SendOutcome, request: RelayRequest): boolean {
    const { retries, clock, observer } = this.#options
    if (outcome === 'mayHaveRun') state.lastRefusal = createAnswerLost()
    const decision = decideRepeat(this.#buildSituation(state, outcome))
    const isGranted = decision.kind === 'repeat' && (!decision.isCounted || retries.acquire(request.service, clock.getMonotonicMs()))
    observer.recordRepeat(request, decision, isGranted)
    return isGranted
  }

  #buildSituation (state: RelayState, outcome: SendOutcome) {
    const { request, reply, attempts, failedConnects } = state
    return {
      kind: request.route.kind,
      isResumable: request.route.isResumable,
      outcome,
      hasBegun: reply.hasBegun,
      attempts,
      maxAttempts: request.route.maxAttempts,
      failedConnects,
      remainingMs: request.deadlineAtMs - this.#options.clock.getMonotonicMs()
    }
  }

  #refuse (state: RelayState, refusal: Refusal): void {
    const { request, reply } = state
    this.#options.observer.recordRefusal(request.traits.requestId, refusal, {
      route: request.route.name,
      service: request.service,
      attempts: state.attempts,
      failedConnects: state.failedConnects,
      endpoints: this.#options.directory.listReady(request.service).length
    })
    reply.refuse(refusal)
  }
}

/** Statuses that promise the caller that the request did not run; an endpoint that ran it must not have them passed on. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

function parseAddress (address: string): [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
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
