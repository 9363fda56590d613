import { computeReadableElapsedMs } from '../base/clock'
import { waitForPendingInput } from '../base/pendingInput'
import { decideAnswerEnd, getSettleMs } from '../policy/answerEnd'
import { recordAttemptResult } from '../policy/directEndpoint'
import { recordBackoff } from '../policy/endpointBackoff'
import { isBegunStream } from '../policy/streamProgress'
import { parseAddress } from './endpointAddress'
import { sendToEndpoint } from './endpointExchange'
import { AnswerForwarder, isSuccess } from './answerForwarder'
import { isBound } from './streamVersions'

import type { Agent } from 'node:http'
import type { Clock } from '../base/clock'
import type { DirectChoice } from '../policy/directChooser'
import type { DirectEndpoint, AttemptResult } from '../policy/directEndpoint'
import type { NamedLimit } from '../policy/limitNotices'
import type { Placement } from '../policy/placement'
import type { RetryReservation } from '../policy/stallDetection'
import type { StreamProgress } from '../policy/streamProgress'
import type { DirectAttemptOutcome } from '../policy/retryDecision'
import type { CallerReply } from './callerReply'
import type { CrashGuard } from './crashGuard'
import type { AnswerHead, EndpointDialect } from './dialects'
import type { EndpointConnections } from './endpointConnections'
import type { ExchangeOptions, ExchangeResult } from './endpointExchange'
import type { ByteBudget } from './byteBudget'
import type { RejectReason, StreamPosition } from './answerForwarder'
import type { RelayObserver } from './relayObserver'
import type { PresenceChecker } from './presenceChecker'
import type { RelayRequest } from './relayRequest'
import type { StallDetector, WatchedAttempt } from './stallDetector'

export interface EndpointSenderOptions {
  /** Bounds what all answers in flight hold. */
  budget: ByteBudget
  clock: Clock
  dialect: EndpointDialect
  observer: RelayObserver
  placement: Placement
  stallDetector: StallDetector
  crashes: CrashGuard
  presence: PresenceChecker
  connections: EndpointConnections
  /** Returns whether the endpoint is known to be leaving. */
  isLeaving: (endpoint: DirectEndpoint) => boolean
  /** Keeps connections for reuse. */
  agent: Agent
  /** Returns the tightest latency target of a service's routes, in milliseconds. */
  getTightestTargetMs: (service: string) => number
  /** Counts the requests that wait for an endpoint of the service. */
  countWaiting: (service: string) => number
  /** Called when an endpoint announces in its answer to a request that it is leaving. */
  handleLeaving: (endpoint: DirectEndpoint, request: RelayRequest) => void
  /** Called with what each answer says about the endpoint's limit. */
  handleLimit: (limit: NamedLimit, answer: LimitedAnswer) => void
  /** Called when the first event of a stream has arrived that may go on at the same version only. */
  handleBegun: (request: RelayRequest, version: string) => void
  /** Called once for each attempt whose request began to run at the endpoint, with the monotonic milliseconds at which it did. */
  handleRun: (request: RelayRequest, beganAtMs: number) => void
  /** Called when a connection broke to an endpoint that serves streams of its version only. */
  handleBroken: (endpoint: DirectEndpoint) => void
  /** Called when an endpoint has prefilled a prompt or ended a request, and may have capacity. */
  handleCapacity: (service: string) => void
}

/** The answer in which an endpoint names, or no longer names, its limit. */
export interface LimitedAnswer {
  endpoint: DirectEndpoint
  request: RelayRequest
  /** Monotonic milliseconds at which the request was sent. */
  sentAtMs: number
}

/** Input of one attempt of a request at the endpoint chosen for it. */
export interface AttemptInput {
  request: RelayRequest
  reply: CallerReply
  choice: DirectChoice
  position: StreamPosition
  tried: ReadonlySet<string>
  /** Number of this attempt, from 1. */
  attempt: number
  /** Reserves the attempt that follows this one. */
  reserveRetry: () => RetryReservation
}

/** How an attempt ended. */
export interface EndedAttempt {
  outcome: DirectAttemptOutcome | 'answered' | 'callerLeft' | 'deadline'
  /** What the attempt shows about the endpoint's health; null when it shows nothing. */
  verdict: AttemptResult | null
  detail: string
  retryAfterMs: number | null
  /** Forwards the endpoint's own failure answer to the caller; null when there is none to forward. */
  forwardFailure: (() => void) | null
}

/** Why this process aborted an attempt. */
type StopReason = 'deadline' | 'callerLeft' | { stalled: string }

/** Connect timeout within a region: several round trips, but shorter than the retransmission timeout of a lost first packet. */
const CONNECT_TIMEOUT_MS = 250
/** Statuses that tell the caller that the request did not run. They are not forwarded from an endpoint that may have run it. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Sends requests to endpoints, one attempt per call, and forwards valid answers to the caller. */
export class EndpointSender {
  readonly #options: EndpointSenderOptions

  constructor (options: EndpointSenderOptions) {
    this.#options = options
  }

  async send (input: AttemptInput): Promise<EndedAttempt> {
    return await new EndpointAttempt(this.#options, input).run()
  }
}

class EndpointAttempt {
  readonly #options: EndpointSenderOptions
  readonly #input: AttemptInput
  readonly #endpoint: DirectEndpoint
  readonly #controller = new AbortController()
  readonly #startedAtMs: number
  readonly #forwarder: AnswerForwarder
  readonly #watchedAttempt: WatchedAttempt
  #pendingTokens: number
  /** Monotonic milliseconds at which the answer's first event, or a complete answer, arrived; null before. */
  #begunAtMs: number | null = null
  #eventCount = 0
  /** Id of the last event that the caller had when the attempt began; null for a stream that begins. */
  readonly #continuedAfterId: number | null
  /** Milliseconds between the first and the latest events. */
  #streamedMs = 0
  #hasReportedAnswer = false
  #stopReason: StopReason | null = null
  #hasRun = false

  constructor (options: EndpointSenderOptions, input: AttemptInput) {
    this.#options = options
    this.#input = input
    this.#endpoint = input.choice.endpoint
    this.#pendingTokens = input.choice.unreadTokens
    this.#continuedAfterId = input.position.lastEventId
    this.#startedAtMs = options.clock.getMonotonicMs()
    this.#watchedAttempt = this.#buildWatchedAttempt()
    this.#forwarder = new AnswerForwarder({
      request: input.request,
      reply: input.reply,
      dialect: options.dialect,
      position: input.position,
      budget: options.budget,
      abort: () => this.#controller.abort(),
      handleHead: head => this.#recordEndpointNotices(head),
      handleBytes: () => options.stallDetector.recordBytes(this.#watchedAttempt.endpoint),
      handleProgress: () => options.stallDetector.recordProgress(this.#watchedAttempt),
      handleFirstEvent: () => this.#recordFirstEvent(),
      handleEvents: count => this.#recordEvents(count)
    })
  }

  async run (): Promise<EndedAttempt> {
    const { stallDetector } = this.#options
    const { request, reply } = this.#input
    const handleDisconnect = () => this.#stop('callerLeft')
    // the caller's time is real time; what has arrived by its end is still passed on
    const timer = setTimeout(() => { waitForPendingInput().then(() => this.#stop('deadline')) }, Math.max(0, request.deadlineAtMs - this.#startedAtMs))
    reply.signal.addEventListener('abort', handleDisconnect, { once: true })
    stallDetector.add(this.#watchedAttempt)
    const exchangeResult = await this.#verifyEnd(await sendToEndpoint(this.#buildExchangeOptions(), this.#forwarder))
    clearTimeout(timer)
    reply.signal.removeEventListener('abort', handleDisconnect)
    stallDetector.remove(this.#watchedAttempt)
    return this.#finish(exchangeResult)
  }

  /** Returns the result with the end of the answer decided: whole, or broken off. Framing shows only that no byte of the body is missing. */
  async #verifyEnd (result: ExchangeResult): Promise<ExchangeResult> {
    if (result.kind !== 'collected' && result.kind !== 'passed') return result
    // a refusal has nothing that could be missing
    if (this.#forwarder.head?.isNotRun === true) return result
    const isFramed = result.end === 'framed'
    switch (this.#forwarder.streamRemainder) {
      case 'event': return { kind: isFramed ? 'truncated' : 'broken', message: 'the stream ended within an event' }
      case 'comment':
        if (!isFramed) return { kind: 'broken', message: 'the stream ended within a comment' }
        break
      case 'none':
    }
    if (isFramed) return result
    const { clock, presence, isLeaving, observer } = this.#options
    const { request } = this.#input
    const closedAtMs = clock.getMonotonicMs()
    const { kind, isResumable } = request.route
    const isStream = result.kind === 'passed'
    const answer = { presence: await presence.check(this.#endpoint, getSettleMs(isStream)), isLeaving: isLeaving(this.#endpoint), isStream, kind, isResumable }
    if (answer.presence === 'refused') this.#endpoint.refusedAtMs = clock.getMonotonicMs()
    const verdict = decideAnswerEnd(answer)
    observer.recordAnswerEnd(request, this.#endpoint.entry, { ...answer, verdict, elapsedMs: Math.round(clock.getMonotonicMs() - closedAtMs) })
    return verdict === 'whole' ? result : { kind: 'broken', message: `the answer ended with its connection, and its endpoint is ${answer.presence}` }
  }

  #buildWatchedAttempt (): WatchedAttempt {
    const { request, choice, tried, attempt, reserveRetry } = this.#input
    return {
      request,
      endpoint: choice.endpoint,
      tried,
      version: isBound(request) ? choice.endpoint.entry.version : null,
      hasAttemptsLeft: attempt < request.route.maxAttempts,
      sentAtMs: this.#startedAtMs,
      heardAtMs: null,
      reserveRetry,
      abort: reason => this.#stop({ stalled: reason })
    }
  }

  #buildExchangeOptions (): ExchangeOptions {
    const { agent, clock, dialect, connections } = this.#options
    const { request, position, choice } = this.#input
    const { entry, mistrustedUntilMs } = this.#endpoint
    const [host, port] = parseAddress(entry.address)
    const remainingMs = request.deadlineAtMs - this.#startedAtMs
    return {
      agent: this.#startedAtMs < mistrustedUntilMs ? false : agent,
      host,
      port,
      method: request.traits.method,
      target: request.traits.target,
      headers: dialect.buildHeaders(request, { endpointId: entry.id, remainingMs, resumeAfterEventId: position.lastEventId, prefixSourceAddress: choice.prefixSource?.endpoint.entry.address ?? null }),
      body: request.body,
      clock,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      handleConnect: socket => connections.add(entry.address, socket),
      signal: this.#controller.signal,
      budget: this.#options.budget
    }
  }

  #stop (reason: StopReason): void {
    this.#stopReason ??= reason
    this.#controller.abort()
  }

  /** Records what the endpoint announces about itself, whatever the outcome of the request. */
  #recordEndpointNotices ({ isWrongEndpoint, isSigned, isLeaving, limit, backoffMs }: AnswerHead): void {
    // a different endpoint at the address announces its own state, not that of the expected endpoint
    if (isWrongEndpoint) return
    const { clock, observer, handleLeaving, handleLimit } = this.#options
    const { request } = this.#input
    if (isLeaving) handleLeaving(this.#endpoint, request)
    // an answer that is not the endpoint's own may lack the limit that is still in force
    if (isSigned || limit.kind !== 'none') handleLimit(limit, { endpoint: this.#endpoint, request, sentAtMs: this.#startedAtMs })
    if (backoffMs === null) return
    const nowMs = clock.getMonotonicMs()
    recordBackoff(this.#endpoint, backoffMs, nowMs)
    observer.recordBackoff(request, this.#endpoint, backoffMs, nowMs)
  }

  #recordFirstEvent (): void {
    const { clock, placement, getTightestTargetMs, countWaiting, handleCapacity } = this.#options
    const { request, choice } = this.#input
    const nowMs = clock.getMonotonicMs()
    this.#begunAtMs = nowMs
    if (this.#forwarder.head?.isEventStream === true) this.#recordRun(nowMs)
    placement.recordFirstEvent(choice, {
      promptParts: request.traits.promptParts,
      // how long the prompt waited there, and not how long its event waited here
      sentAtMs: nowMs - computeReadableElapsedMs(clock, this.#startedAtMs),
      targetMs: getTightestTargetMs(request.service),
      hasQueuedRequests: countWaiting(request.service) > 0,
      nowMs
    })
    this.#releaseTokens()
    handleCapacity(request.service)
  }

  /** Records once that the request began to run. */
  #recordRun (beganAtMs: number): void {
    if (this.#hasRun) return
    this.#hasRun = true
    this.#options.handleRun(this.#input.request, beganAtMs)
  }

  #recordEvents (count: number): void {
    if (this.#eventCount === 0) this.#recordVersion()
    this.#streamedMs = this.#options.clock.getMonotonicMs() - this.#begunAtMs!
    this.#eventCount += count
    if (!this.#hasReportedAnswer && isBegunStream(this.#getStreamProgress())) this.#recordBegunAnswer()
  }

  /** Records which version writes the stream from here on. */
  #recordVersion (): void {
    const { request, position } = this.#input
    const { entry } = this.#endpoint
    if (this.#continuedAfterId === null && isBound(request) && entry.version !== null) this.#options.handleBegun(request, entry.version)
    if (this.#continuedAfterId !== null) this.#options.observer.recordStreamContinued(request, entry, { versionBefore: position.version, afterEventId: this.#continuedAfterId })
    position.version = entry.version
  }

  #releaseTokens (): void {
    this.#endpoint.pendingTokens -= this.#pendingTokens
    this.#pendingTokens = 0
  }

  #finish (exchangeResult: ExchangeResult): EndedAttempt {
    const { clock, handleCapacity } = this.#options
    const { request } = this.#input
    this.#endpoint.inFlight -= 1
    this.#forwarder.close()
    this.#releaseTokens()
    handleCapacity(request.service)
    const nowMs = clock.getMonotonicMs()
    const ended = this.#resolveResult(exchangeResult, computeReadableElapsedMs(clock, this.#startedAtMs))
    if (ended.verdict !== null) recordAttemptResult(this.#endpoint, ended.verdict, nowMs)
    if (ended.outcome !== 'answered' && ended.outcome !== 'callerLeft' && this.#begunAtMs === null) this.#options.placement.recordFetchFailure(this.#input.choice, nowMs)
    this.#recordCrashEvidence(exchangeResult)
    if (hasRun(exchangeResult, this.#forwarder.head)) this.#recordRun(this.#startedAtMs)
    this.#report(ended, nowMs)
    return ended
  }

  #recordCrashEvidence (exchangeResult: ExchangeResult): void {
    const { crashes } = this.#options
    const { entry } = this.#endpoint
    const { request } = this.#input
    switch (exchangeResult.kind) {
      // a process that ends within the head of an answer leaves bytes that are no valid head
      case 'garbled':
      case 'broken':
        this.#endpoint.brokenAtMs = this.#options.clock.getMonotonicMs()
        if (isBound(request)) this.#options.handleBroken(this.#endpoint)
        crashes.recordBrokenConnection(entry, request, { status: this.#forwarder.head?.status ?? null, ...this.#getStreamProgress() })
        break
      case 'notSent':
        if (!exchangeResult.isRefused) break
        this.#endpoint.refusedAtMs = this.#options.clock.getMonotonicMs()
        crashes.recordRefusedConnection(entry)
        break
      case 'passed':
        if (!this.#isSurvived(exchangeResult)) crashes.recordConnectionEnd(entry, request, this.#getStreamProgress())
        break
      // the endpoint was there to end the framing
      case 'truncated':
      case 'collected':
      case 'rejected':
      case 'aborted':
    }
  }

  /** Returns whether an answer shows that its prompt did not crash its endpoint, which may take some milliseconds to end. */
  #isSurvived (result: Extract<ExchangeResult, { kind: 'collected' | 'passed' }>): boolean {
    return result.kind === 'collected' || result.end === 'framed' || isBegunStream(this.#getStreamProgress())
  }

  #getStreamProgress (): StreamProgress {
    return { events: this.#eventCount, streamedMs: Math.round(this.#streamedMs) }
  }

  /** Records that the endpoint survived the beginning of this answer. */
  #recordBegunAnswer (): void {
    this.#hasReportedAnswer = true
    this.#options.crashes.recordBegunAnswer(this.#input.request, this.#begunAtMs!)
  }

  #report (ended: EndedAttempt, nowMs: number): void {
    this.#options.observer.recordAttempt(this.#input.request, {
      endpointId: this.#endpoint.entry.id,
      attempt: this.#input.attempt,
      outcome: ended.outcome,
      status: this.#forwarder.head?.status ?? null,
      detail: ended.detail,
      elapsedMs: Math.round(nowMs - this.#startedAtMs),
      firstMs: this.#begunAtMs === null ? null : Math.round(this.#begunAtMs - this.#input.request.arrivedAtMs),
      events: this.#eventCount
    })
  }

  #resolveResult (exchangeResult: ExchangeResult, elapsedMs: number): EndedAttempt {
    switch (exchangeResult.kind) {
      case 'collected':
      case 'passed': return this.#resolveAnswer(exchangeResult, elapsedMs)
      case 'rejected': return buildRejectResult(this.#forwarder.rejectReason)
      case 'garbled': return buildResult('mayHaveRun', { kind: 'garbled' }, exchangeResult.message)
      case 'notSent': return buildResult('notSent', { kind: 'broken' }, exchangeResult.message)
      case 'broken':
      case 'truncated': return buildResult('mayHaveRun', { kind: 'broken' }, exchangeResult.message)
      case 'aborted': return this.#resolveStop()
    }
  }

  #resolveStop (): EndedAttempt {
    if (this.#forwarder.rejectReason !== null) return buildRejectResult(this.#forwarder.rejectReason)
    if (this.#stopReason === null || this.#stopReason === 'callerLeft') return buildResult('callerLeft', null, 'the caller disconnected')
    if (this.#stopReason === 'deadline') return buildResult('deadline', null, 'the deadline passed')
    return buildResult('mayHaveRun', { kind: 'failed' }, this.#stopReason.stalled)
  }

  #resolveAnswer (exchangeResult: Extract<ExchangeResult, { kind: 'collected' | 'passed' }>, elapsedMs: number): EndedAttempt {
    const { head } = this.#forwarder
    if (head === null) return buildResult('mayHaveRun', { kind: 'broken' }, 'the answer has no head')
    if (isSuccess(head.status)) {
      this.#forwarder.completeReply(exchangeResult)
      if (!this.#hasReportedAnswer && this.#isSurvived(exchangeResult)) this.#recordBegunAnswer()
      return buildResult('answered', { kind: 'answered', elapsedMs }, '')
    }
    if (head.isNotRun) {
      return { ...buildResult('notRun', { kind: 'refused' }, head.isWrongEndpoint ? 'a different endpoint listens at the address' : 'refused'), retryAfterMs: head.retryAfterMs }
    }
    const forwardFailure = NOT_RUN_STATUSES.has(head.status) ? null : () => this.#forwarder.completeReply(exchangeResult)
    return { ...buildResult('failedAnswer', { kind: 'failed' }, 'the endpoint answered with a failure'), forwardFailure }
  }
}

/** Returns whether a request counts as run although none of its events arrived: it was answered, also with a failure or a part of an event, or its connection broke. */
function hasRun ({ kind }: ExchangeResult, head: AnswerHead | null): boolean {
  return kind === 'broken' || kind === 'truncated' || (kind === 'collected' && head !== null && !head.isNotRun)
}

/** Builds the result of a rejected answer. An endpoint that sends bytes without end is avoided at once. */
function buildRejectResult (reason: RejectReason | null): EndedAttempt {
  const isEndless = reason === 'noData' || reason === 'eventTooLarge'
  return buildResult('mayHaveRun', { kind: isEndless ? 'broken' : 'garbled' }, reason ?? 'rejected')
}

function buildResult (outcome: EndedAttempt['outcome'], verdict: AttemptResult | null, detail: string): EndedAttempt {
  return { outcome, verdict, detail, retryAfterMs: null, forwardFailure: null }
}
