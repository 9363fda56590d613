import { recordSend } from '../policy/directEndpoint'
import { recordQuiet } from '../policy/quietTime'
import { ByteBudget } from './byteBudget'
import { sendToEndpoint } from './endpointExchange'
import { EndpointRun, isSuccess } from './endpointRun'

import type { Agent } from 'node:http'
import type { Clock } from '../base/clock'
import type { DirectChoice } from '../policy/directChooser'
import type { DirectEndpoint, SendVerdict } from '../policy/directEndpoint'
import type { Placement } from '../policy/placement'
import type { SendOutcome } from '../policy/repeatDecision'
import type { CallerReply } from './callerReply'
import type { CrashGuard } from './crashGuard'
import type { AnswerHead, EndpointDialect } from './dialects'
import type { EndpointSend, ExchangeEnd } from './endpointExchange'
import type { StreamPosition } from './endpointRun'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'
import type { SilenceWatch, WatchedSend } from './silenceWatch'

export interface EndpointSenderOptions {
  clock: Clock
  dialect: EndpointDialect
  observer: RelayObserver
  placement: Placement
  silence: SilenceWatch
  crashes: CrashGuard
  /** Connections that are kept for reuse. */
  agent: Agent
  /** Tightest target of a service's routes, in milliseconds. */
  getTightestTargetMs: (service: string) => number
  /** Requests that wait for an endpoint of the service. */
  countWaiting: (service: string) => number
  /** Told that an endpoint said in its answer to a request that it is leaving. */
  handleLeaving: (endpoint: DirectEndpoint, request: RelayRequest) => void
  /** Told when an endpoint has taken up a prompt or ended a request, so that it may have room. */
  handleRoom: (service: string) => void
}

/** One send of a request to the endpoint that was chosen for it. */
export interface SendOrder {
  request: RelayRequest
  reply: CallerReply
  choice: DirectChoice
  position: StreamPosition
  tried: ReadonlySet<string>
  /** Number of this attempt, from 1. */
  attempt: number
}

/** How a send ended. */
export interface EndedSend {
  outcome: SendOutcome | 'answered' | 'callerLeft' | 'deadline'
  /** How the endpoint is judged by it; null when it shows nothing. */
  verdict: SendVerdict | null
  detail: string
  retryAfterMs: number | null
  /** Passes the endpoint's own failure on to the caller; null when there is none to pass on. */
  passFailure: (() => void) | null
}

/** Why this process ended a send itself. */
type StopReason = 'deadline' | 'callerLeft' | { silent: string }

/** Time for a connection within a region: several round trips, below the retransmission of a lost first packet. */
const CONNECT_TIMEOUT_MS = 250
/** Bytes that one collected answer may always hold, and all together beyond that: a small instance has 178 MB. */
const ANSWER_BYTES = { freeBytes: 65_536, sharedBytes: 33_554_432 }
/** Statuses that promise the caller that the request did not run; an endpoint that ran it must not have them passed on. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])

/** Sends requests to endpoints, one send at a time, and passes good answers on to the caller. */
export class EndpointSender {
  readonly #options: EndpointSenderOptions
  readonly #budget = new ByteBudget(ANSWER_BYTES)

  constructor (options: EndpointSenderOptions) {
    this.#options = options
  }

  async send (order: SendOrder): Promise<EndedSend> {
    return await new OneSend(this.#options, this.#budget, order).run()
  }
}

class OneSend {
  readonly #options: EndpointSenderOptions
  readonly #budget: ByteBudget
  readonly #order: SendOrder
  readonly #endpoint: DirectEndpoint
  readonly #controller = new AbortController()
  readonly #startedAtMs: number
  readonly #run: EndpointRun
  readonly #watched: WatchedSend
  #pendingTokens: number
  #firstMs: number | null = null
  #events = 0
  #stopped: StopReason | null = null

  constructor (options: EndpointSenderOptions, budget: ByteBudget, order: SendOrder) {
    this.#options = options
    this.#budget = budget
    this.#order = order
    this.#endpoint = order.choice.endpoint
    this.#pendingTokens = order.choice.unreadTokens
    this.#startedAtMs = options.clock.getMonotonicMs()
    this.#watched = this.#buildWatched()
    this.#run = new EndpointRun({
      request: order.request,
      reply: order.reply,
      dialect: options.dialect,
      position: order.position,
      abort: () => this.#controller.abort(),
      handleHead: head => this.#recordNotices(head),
      handleBytes: () => options.silence.recordHeard(this.#watched.endpoint),
      handleProgress: () => options.silence.recordProgress(this.#watched),
      handleFirst: () => this.#recordFirst(),
      handleEvents: count => { this.#events += count }
    })
  }

  async run (): Promise<EndedSend> {
    const { silence } = this.#options
    const { request, reply } = this.#order
    const handleLeft = () => this.#stop('callerLeft')
    const timer = setTimeout(() => this.#stop('deadline'), Math.max(0, request.deadlineAtMs - this.#startedAtMs))
    reply.signal.addEventListener('abort', handleLeft, { once: true })
    silence.add(this.#watched)
    const end = await sendToEndpoint(this.#buildSend(), this.#run)
    clearTimeout(timer)
    reply.signal.removeEventListener('abort', handleLeft)
    silence.remove(this.#watched)
    return this.#finish(end)
  }

  #buildWatched (): WatchedSend {
    const { request, choice, tried, attempt } = this.#order
    return {
      request,
      endpoint: choice.endpoint,
      tried,
      hasAttemptsLeft: attempt < request.route.maxAttempts,
      sentAtMs: this.#startedAtMs,
      heardAtMs: null,
      giveUp: reason => this.#stop({ silent: reason })
    }
  }

  #buildSend (): EndpointSend {
    const { agent, dialect } = this.#options
    const { request, position } = this.#order
    const { entry, mistrustedUntilMs } = this.#endpoint
    const [host, port] = parseAddress(entry.address)
    const remainingMs = request.deadlineAtMs - this.#startedAtMs
    return {
      agent: this.#startedAtMs < mistrustedUntilMs ? false : agent,
      host,
      port,
      method: request.traits.method,
      target: request.traits.target,
      headers: dialect.buildHeaders(request, { endpointId: entry.id, remainingMs, resumeAfter: position.lastEventId }),
      body: request.body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal: this.#controller.signal,
      budget: this.#budget
    }
  }

  #stop (reason: StopReason): void {
    this.#stopped ??= reason
    this.#controller.abort()
  }

  /** Takes in what the endpoint says of itself, whatever became of the request. */
  #recordNotices ({ isWrongEndpoint, isLeaving, quietMs }: AnswerHead): void {
    // another endpoint at the address speaks for itself, not for the one that was asked
    if (isWrongEndpoint) return
    const { clock, observer, handleLeaving } = this.#options
    const { request } = this.#order
    if (isLeaving) handleLeaving(this.#endpoint, request)
    if (quietMs === null) return
    const nowMs = clock.getMonotonicMs()
    recordQuiet(this.#endpoint, quietMs, nowMs)
    observer.recordQuiet(request, this.#endpoint, quietMs, nowMs)
  }

  #recordFirst (): void {
    const { clock, placement, getTightestTargetMs, countWaiting, handleRoom } = this.#options
    const { request, choice } = this.#order
    const nowMs = clock.getMonotonicMs()
    this.#firstMs = nowMs - request.arrivedAtMs
    placement.recordFirst(choice, {
      sentAtMs: this.#startedAtMs,
      targetMs: getTightestTargetMs(request.service),
      isWanted: countWaiting(request.service) > 0,
      nowMs
    })
    this.#releaseTokens()
    handleRoom(request.service)
  }

  #releaseTokens (): void {
    this.#endpoint.pendingTokens -= this.#pendingTokens
    this.#pendingTokens = 0
  }

  #finish (end: ExchangeEnd): EndedSend {
    const { clock, handleRoom } = this.#options
    const { request } = this.#order
    this.#endpoint.inFlight -= 1
    this.#releaseTokens()
    handleRoom(request.service)
    const nowMs = clock.getMonotonicMs()
    const ended = this.#resolveEnd(end, nowMs - this.#startedAtMs)
    if (ended.verdict !== null) recordSend(this.#endpoint, ended.verdict, nowMs)
    this.#recordCrashSigns(end)
    this.#report(ended, nowMs)
    return ended
  }

  #recordCrashSigns (end: ExchangeEnd): void {
    const { crashes } = this.#options
    if (end.kind === 'broken') crashes.recordBroken(this.#endpoint.entry, this.#order.request)
    if (end.kind === 'notSent' && end.isRefused) crashes.recordRefusedConnection(this.#endpoint.entry)
  }

  #report (ended: EndedSend, nowMs: number): void {
    this.#options.observer.recordSend(this.#order.request, {
      endpointId: this.#endpoint.entry.id,
      attempt: this.#order.attempt,
      outcome: ended.outcome,
      status: this.#run.head?.status ?? null,
      detail: ended.detail,
      elapsedMs: Math.round(nowMs - this.#startedAtMs),
      firstMs: this.#firstMs === null ? null : Math.round(this.#firstMs),
      events: this.#events
    })
  }

  #resolveEnd (end: ExchangeEnd, elapsedMs: number): EndedSend {
    switch (end.kind) {
      case 'collected':
      case 'passed': return this.#resolveAnswer(end, elapsedMs)
      case 'rejected': return buildEnded('mayHaveRun', { kind: 'garbled' }, this.#run.rejected ?? 'rejected')
      case 'garbled': return buildEnded('mayHaveRun', { kind: 'garbled' }, end.message)
      case 'notSent': return buildEnded('notSent', { kind: 'broken' }, end.message)
      case 'broken': return buildEnded('mayHaveRun', { kind: 'broken' }, end.message)
      case 'aborted': return this.#resolveStop()
    }
  }

  #resolveStop (): EndedSend {
    if (this.#run.rejected !== null) return buildEnded('mayHaveRun', { kind: 'garbled' }, this.#run.rejected)
    if (this.#stopped === null || this.#stopped === 'callerLeft') return buildEnded('callerLeft', null, 'the caller left')
    if (this.#stopped === 'deadline') return buildEnded('deadline', null, 'the time ran out')
    return buildEnded('mayHaveRun', { kind: 'failed' }, this.#stopped.silent)
  }

  #resolveAnswer (end: Extract<ExchangeEnd, { kind: 'collected' | 'passed' }>, elapsedMs: number): EndedSend {
    const { head } = this.#run
    if (head === null) return buildEnded('mayHaveRun', { kind: 'broken' }, 'no head')
    if (isSuccess(head.status)) {
      this.#run.completeReply(end)
      return buildEnded('answered', { kind: 'answered', elapsedMs }, '')
    }
    if (head.isNotRun) {
      return { ...buildEnded('notRun', { kind: 'refused' }, head.isWrongEndpoint ? 'another endpoint has the address' : 'refused'), retryAfterMs: head.retryAfterMs }
    }
    const passFailure = NOT_RUN_STATUSES.has(head.status) ? null : () => this.#run.completeReply(end)
    return { ...buildEnded('failedAnswer', { kind: 'failed' }, 'failure answered'), passFailure }
  }
}

function buildEnded (outcome: EndedSend['outcome'], verdict: SendVerdict | null, detail: string): EndedSend {
  return { outcome, verdict, detail, retryAfterMs: null, passFailure: null }
}

function parseAddress (address: string): [string, number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
