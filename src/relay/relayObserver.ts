import type { DecisionLog } from '../base/decisionLog'
import type { LabeledHistogram } from '../base/labeledHistogram'
import type { Counter, Metrics } from '../base/metrics'
import type { Standstill } from '../base/readableTime'
import type { ClosedAnswer, decideAnswerEnd } from '../policy/answerEnd'
import type { DirectChoice } from '../policy/directChooser'
import type { DirectEndpoint, EndpointEntry } from '../policy/directEndpoint'
import type { RateChange } from '../policy/engines/rateMeter'
import type { LeavingNotice } from '../policy/leavingNotices'
import type { LimitNotice } from '../policy/limitNotices'
import type { FleetState, GrantDecision } from '../policy/sendGrants'
import type { ShareStanding } from '../policy/workspaceShares'
import type { RetryDecision, DirectAttemptOutcome } from '../policy/retryDecision'
import type { Refusal } from '../protocol/errorBody'
import type { PermitRequest } from '../protocol/permitMessages'
import type { GivenWay } from './callerMemory'
import type { CallerReply, ReplyEnder } from './callerReply'
import type { RelayRequest } from './relayRequest'

/** Result of one attempt, for the log and the metrics. */
export interface AttemptReport {
  endpointId: string
  attempt: number
  outcome: DirectAttemptOutcome | 'answered' | 'callerLeft' | 'deadline' | 'stopped'
  status: number | null
  /** Cause seen on the connection or in the answer. */
  detail: string
  elapsedMs: number
  firstMs: number | null
  events: number
}

/** What shows that an endpoint's process has ended. */
export type ExitSign = 'refusedConnection' | 'entryGone' | 'replaced'

/** An answer that broke off, for the log and the metrics. */
export interface BrokenAnswerReport {
  endpoint: string
  crashId: string
  fingerprint: string
  /** Keys of the prompt parts that the request shares with others. */
  parts: string[]
  status: number | null
  /** Complete events that had arrived. */
  events: number
  /** Milliseconds between the first and the last of them. */
  streamedMs: number
}

/** What was decided about the end of an answer, for the log and the metrics. */
export interface AnswerEndReport extends ClosedAnswer {
  verdict: ReturnType<typeof decideAnswerEnd>
  /** Milliseconds that the check took. */
  elapsedMs: number
}

/** The end of an endpoint's process, for the log and the metrics. */
export interface ExitReport {
  endpoint: string
  crashId: string
  sign: ExitSign
  /** Answers of this gateway that broke with it. */
  attempts: number
  /** Milliseconds since the last of them broke; null when none did. */
  brokenAgoMs: number | null
}

/** The version that began a stream, for the log and the metrics. */
export interface OriginReport {
  version: string | null
  source: string
  candidates: ReadonlyArray<string | null>
  /** Sequence number of the assignment, and its age; null when there is none. */
  sequence: number | null
  recordAgeMs: number | null
  waitedMs: number
}

const GAVE_WAY_LOG_INTERVAL_MS = 1000
/** Maximum characters of an endpoint's text in a log line. */
const MAX_LOGGED_TEXT = 40

/** Writes the decision log and the metrics of relayed requests. */
export class RelayObserver {
  readonly #log: DecisionLog
  readonly #requests: Counter
  readonly #attempts: Counter
  readonly #retries: Counter
  readonly #permits: Counter
  readonly #startsByShare: Counter
  readonly #prefixFetches: Counter
  readonly #brokenAnswers: Counter
  readonly #answerEnds: Counter
  readonly #exits: Counter
  readonly #continuedStreams: Counter
  readonly #takeUps: Counter
  readonly #repliesNotWhole: Counter
  readonly #gaveWay: Counter
  #gaveWayLoggedAtMs = -Infinity
  /** Requests that gave way since the last line. */
  #unloggedGaveWay = 0
  readonly #standstills: LabeledHistogram
  readonly #firstEventTime: LabeledHistogram
  readonly #queueTime: LabeledHistogram

  constructor (log: DecisionLog, metrics: Metrics) {
    this.#log = log
    this.#requests = metrics.createCounter('requests_total', 'Requests by route rank and how they ended.')
    this.#attempts = metrics.createCounter('sends_total', 'Sends to endpoints by service and outcome.')
    this.#retries = metrics.createCounter('repeats_total', 'Repeats by service and whether the budget allowed them.')
    this.#permits = metrics.createCounter('permit_requests_total', 'Requests for permits to send to an endpoint that names a limit, by service and outcome.')
    this.#startsByShare = metrics.createCounter('starts_by_share_total', 'Sends of requests with a workspace, by service and whether the workspace was within its share, above it, or competed with none.')
    this.#prefixFetches = metrics.createCounter('prefix_fetches_total', 'Requests whose endpoint should fetch the beginning of the prompt from another one, by service and why that one is expected to hold it.')
    this.#brokenAnswers = metrics.createCounter('broken_answers_total', 'Answers that broke off, by service and whether events had arrived before.')
    this.#answerEnds = metrics.createCounter('closed_answers_total', 'Answers without framing, by service, whether their endpoint was there afterwards and whether they count as whole.')
    this.#exits = metrics.createCounter('endpoint_exits_total', 'Endpoints that ended under requests of this process, by service and the sign of it.')
    this.#continuedStreams = metrics.createCounter('streams_continued_total', 'Streams that an endpoint continued, by service and whether its software version is that of the events before.')
    this.#takeUps = metrics.createCounter('stream_take_ups_total', 'Streams that callers take up, by service and how the version that began them is known.')
    this.#repliesNotWhole = metrics.createCounter('replies_not_whole_total', 'Replies that their callers do not have as a whole, by the stage of the request and who ended them.')
    this.#gaveWay = metrics.createCounter('gave_way_total', 'Requests refused or cut because the memory or the connections for callers are short, by stage.')
    this.#standstills = metrics.createHistogram('held_up_ms', 'Milliseconds by which the event loop was late, where requests are read noticeably later than they arrive.')
    this.#firstEventTime = metrics.createHistogram('first_event_ms', 'Milliseconds from arrival to the first event or the answer, by service.')
    this.#queueTime = metrics.createHistogram('queue_ms', 'Milliseconds from arrival to the first send, by service.')
  }

  /** Records which endpoint a request is sent to, and why. */
  recordEndpointChoice (request: RelayRequest, choice: DirectChoice, { attempt, limitPerSecond, standing }: { attempt: number, limitPerSecond: number | null, standing: ShareStanding | null }, nowMs: number): void {
    const { endpoint } = choice
    if (choice.prefixSource !== null) this.#prefixFetches.add({ service: request.service, belief: choice.prefixSource.belief })
    if (attempt === 1) this.#queueTime.record(nowMs - request.arrivedAtMs, { service: request.service })
    if (request.workspace !== null) this.#startsByShare.add({ service: request.service, share: standing?.share ?? 'uncontended' })
    this.#log.write('routine', {
      event: 'endpointChosen',
      requestId: request.traits.requestId,
      route: request.route.name,
      rank: request.rank,
      attempt,
      endpoint: endpoint.entry.id,
      version: endpoint.entry.version,
      resumes: request.traits.resumedRequestId,
      resumesAfter: request.traits.resumeAfterEventId,
      reason: choice.reason,
      costMs: Math.round(choice.costMs),
      candidates: choice.candidates,
      inFlight: endpoint.inFlight,
      limitPerSecond,
      recentSends: endpoint.recentSends.getCount(nowMs),
      pendingTokens: Math.round(endpoint.pendingTokens),
      unreadTokens: Math.round(choice.unreadTokens),
      othersInFlight: choice.othersInFlight,
      othersTokens: Math.round(choice.othersTokens),
      prefixSource: choice.prefixSource?.endpoint.entry.id ?? null,
      fetchTokens: choice.prefixSource?.tokens ?? 0,
      failureRate: Number(endpoint.failureRate.toFixed(2)),
      heldMs: Math.round(nowMs - request.arrivedAtMs),
      remainingMs: Math.round(request.deadlineAtMs - nowMs),
      ...standing
    })
  }

  /** Records that a request left the queue without being sent, with the endpoint that it last waited for. */
  recordWaitEnded (request: RelayRequest, lastChoice: DirectChoice | null, { waiting, standing }: { waiting: number, standing: ShareStanding | null }, nowMs: number): void {
    this.#log.write('notable', {
      event: 'waitEnded',
      requestId: request.traits.requestId,
      route: request.route.name,
      rank: request.rank,
      waitedMs: Math.round(nowMs - request.arrivedAtMs),
      waiting,
      endpoint: lastChoice?.endpoint.entry.id ?? null,
      costMs: lastChoice === null ? null : Math.round(lastChoice.costMs),
      unreadTokens: lastChoice?.unreadTokens ?? null,
      pendingTokens: lastChoice === null ? null : Math.round(lastChoice.endpoint.pendingTokens),
      othersTokens: lastChoice === null ? null : Math.round(lastChoice.othersTokens),
      limitTokens: lastChoice === null ? null : Math.round(lastChoice.endpoint.prefillLimit.tokens),
      inFlight: lastChoice?.endpoint.inFlight ?? null,
      silentMs: lastChoice === null ? null : Math.round(nowMs - lastChoice.endpoint.heardAtMs),
      ...standing
    })
  }

  recordAttempt (request: RelayRequest, report: AttemptReport): void {
    this.#attempts.add({ service: request.service, outcome: report.outcome })
    const isGood = report.outcome === 'answered'
    if (isGood && report.firstMs !== null) this.#firstEventTime.record(report.firstMs, { service: request.service })
    this.#log.write(isGood ? 'routine' : 'notable', { event: 'sendEnded', requestId: request.traits.requestId, service: request.service, ...report })
  }

  /** Records that an endpoint refused a request with Retry-After, so that the gateway backs off. */
  recordBackoff (request: RelayRequest, { entry, inFlight, quietUntilMs }: DirectEndpoint, requestedMs: number, nowMs: number): void {
    this.#log.write('notable', {
      event: 'endpointQuiet',
      requestId: request.traits.requestId,
      endpoint: entry.id,
      askedMs: Math.round(requestedMs),
      forMs: Math.round(quietUntilMs - nowMs),
      inFlight
    })
  }

  /** Records that the prefill rate of an endpoint has changed notably. */
  recordRateChange ({ endpoint: { entry, prefillRate, inFlight }, previousTokensPerMs, evidence, nowMs }: RateChange): void {
    this.#log.write('notable', { event: 'prefillRateChanged', endpoint: entry.id, service: entry.service, previousTokensPerMs: Math.round(previousTokensPerMs), ...prefillRate.describe(nowMs), peerExpectedMs: Math.round(evidence.expectedMs), peerMeasuredMs: Math.round(evidence.measuredMs), inFlight })
  }

  /** Records that an endpoint is leaving; `requestId` names the request whose answer announced it. */
  recordLeaving ({ id, bornAtMs, source, saidAtMs }: LeavingNotice, requestId: string | undefined, nowMs: number): void {
    this.#log.write('notable', { event: 'endpointLeaving', requestId, endpoint: id, bornAtMs, source, saidAgoMs: Math.round(nowMs - saidAtMs) })
  }

  /** Records that an endpoint named another limit, or none any more, in the answer to a request. */
  recordLimit ({ id, bornAtMs, version, requestsPerSecond }: LimitNotice, origin: { requestId: string | undefined, before: number | null, source: 'answer' | 'peer' }): void {
    this.#log.write('notable', { event: 'endpointLimit', endpoint: id, bornAtMs, version, requestsPerSecond, ...origin })
  }

  /** Records what this gateway, as the keeper of an endpoint's limit, decided on a request for permits. */
  recordPermitDecision ({ gateway, limit, wanted }: PermitRequest, decision: GrantDecision, { recentSends, gateways, keptFor }: FleetState): void {
    this.#log.write('routine', { event: 'permitsDecided', gateway, endpoint: limit.id, requestsPerSecond: limit.requestsPerSecond, wanted, recentSends, gateways, keptFor, ...describeGrant(decision) })
  }

  /** Records the answer to this gateway's request for permits. */
  recordPermitAnswer ({ limit, wanted }: PermitRequest, decision: GrantDecision, { service, keeper, elapsedMs }: { service: string, keeper: string, elapsedMs: number }): void {
    this.#permits.add({ service, outcome: decision.kind })
    this.#log.write('routine', { event: 'permitsAnswered', keeper, endpoint: limit.id, wanted, elapsedMs: Math.round(elapsedMs), ...describeGrant(decision) })
  }

  /** Records that the keeper of an endpoint's limit did not answer. */
  recordKeeperLost (endpointId: string, keeper: string, reason: string): void {
    this.#log.write('notable', { event: 'limitKeeperLost', endpoint: endpointId, keeper, reason })
  }

  /** Records what was decided about an answer without framing whose connection was closed in order. */
  recordAnswerEnd ({ service, traits }: RelayRequest, endpoint: EndpointEntry, { presence, isLeaving, isStream, verdict, elapsedMs }: AnswerEndReport): void {
    this.#answerEnds.add({ service, presence, verdict })
    this.#log.write(verdict === 'whole' ? 'routine' : 'notable', { event: 'answerEndDecided', requestId: traits.requestId, endpoint: endpoint.id, presence, isLeaving, isStream, verdict, elapsedMs })
  }

  /** Records an answer that broke off, with what the request shares with others. */
  recordBrokenAnswer (request: RelayRequest, answer: BrokenAnswerReport): void {
    this.#brokenAnswers.add({ service: request.service, progress: answer.events > 0 ? 'events' : 'none' })
    this.#log.write('notable', { event: 'answerBroken', requestId: request.traits.requestId, ...answer })
  }

  /** Records that an endpoint ended while requests of this gateway ran there. */
  recordExit (service: string, exit: ExitReport): void {
    this.#exits.add({ service, sign: exit.sign })
    this.#log.write('notable', { event: 'endpointExited', ...exit })
  }

  /** Records which version began a stream that a request takes up, and how that is known. */
  recordStreamOrigin ({ service, traits }: RelayRequest, origin: OriginReport): void {
    this.#takeUps.add({ service, source: origin.source })
    this.#log.write('notable', { event: 'streamOriginDecided', requestId: traits.requestId, service, resumes: traits.resumedRequestId, ...origin })
  }

  /** Records that an endpoint continued a stream after an event that the caller already had. */
  recordStreamContinued (request: RelayRequest, endpoint: EndpointEntry, { versionBefore, afterEventId }: { versionBefore: string | null, afterEventId: number }): void {
    const { requestId, resumedRequestId } = request.traits
    const version = versionBefore === null || endpoint.version === null ? 'unknown' : versionBefore === endpoint.version ? 'same' : 'other'
    this.#continuedStreams.add({ service: request.service, version })
    this.#log.write('notable', { event: 'streamContinued', requestId, service: request.service, endpoint: endpoint.id, version: endpoint.version, versionBefore, resumes: resumedRequestId, afterEventId })
  }

  recordError (error: unknown): void {
    this.#log.writeError(error)
  }

  /** Records that an endpoint named a limit that is not a number; `kept` is the limit that stays in force. */
  recordUnreadableLimit (requestId: string, endpointId: string, text: string, kept: number | null): void {
    this.#log.write('notable', { event: 'endpointLimitUnreadable', requestId, endpoint: endpointId, text: text.slice(0, MAX_LOGGED_TEXT), kept })
  }

  /** Records whether a request is retried. */
  recordRetryDecision (request: RelayRequest, decision: RetryDecision, isGranted: boolean): void {
    const outcome = decision.kind === 'end' ? decision.reason : isGranted ? 'repeated' : 'budgetSpent'
    this.#retries.add({ service: request.service, outcome })
    this.#log.write('notable', { event: 'repeatDecided', requestId: request.traits.requestId, service: request.service, outcome })
  }

  /** Records a refusal by this process. */
  recordRefusal (requestId: string | undefined, refusal: Refusal, inputs: Record<string, unknown>): void {
    this.#log.write('notable', { event: 'requestRefused', requestId, code: refusal.code, execution: refusal.execution, retryAfterMs: refusal.retryAfterMs, ...inputs })
  }

  /** Records a request that gave way because the memory or the connections for callers are short; at most one line a second. */
  recordGaveWay ({ stage, shortage, ...given }: GivenWay, nowMs: number): void {
    this.#gaveWay.add({ stage, shortage })
    this.#unloggedGaveWay += 1
    if (nowMs - this.#gaveWayLoggedAtMs < GAVE_WAY_LOG_INTERVAL_MS) return
    this.#log.write('notable', { event: 'callerGaveWay', shortage, stage, ...given, count: this.#unloggedGaveWay })
    this.#gaveWayLoggedAtMs = nowMs
    this.#unloggedGaveWay = 0
  }

  /** Records a reply that its caller does not have as a whole: how far it had come, and who ended it. */
  recordNotWhole (reply: CallerReply, { endedBy, stopAgeMs }: { endedBy: ReplyEnder, stopAgeMs: number | null }, nowMs: number): void {
    this.#repliesNotWhole.add({ stage: reply.stage, by: endedBy })
    this.#log.write('notable', {
      event: 'replyNotWhole',
      requestId: reply.requestId ?? undefined,
      stage: reply.stage,
      endpoint: reply.endpointId,
      endedBy,
      ageMs: Math.round(nowMs - reply.arrivedAtMs),
      stopAgeMs: stopAgeMs === null ? null : Math.round(stopAgeMs),
      sentBytes: reply.sentBytes,
      unwrittenBytes: reply.unwrittenBytes
    })
  }

  /** Records a delay of the event loop that is long enough to be noticed by others. */
  recordStandstill ({ delayMs, processorMs, deferred }: Standstill): void {
    this.#standstills.record(delayMs)
    this.#log.write('notable', { event: 'processHeldUp', delayMs: Math.round(delayMs), processorMs: Math.round(processorMs), deferred })
  }

  recordRequestEnd (request: RelayRequest, reply: CallerReply, nowMs: number): void {
    this.#requests.add({ rank: String(request.rank), kind: request.route.kind, end: reply.end })
    this.#log.write(reply.end === 'whole' ? 'routine' : 'notable', {
      event: 'requestEnded',
      requestId: request.traits.requestId,
      route: request.route.name,
      end: reply.end,
      elapsedMs: Math.round(nowMs - request.arrivedAtMs),
      sentBytes: reply.sentBytes
    })
  }
}

function describeGrant (decision: GrantDecision): { outcome: GrantDecision['kind'], granted: number, retryAfterMs: number | null } {
  switch (decision.kind) {
    case 'granted': return { outcome: 'granted', granted: decision.count, retryAfterMs: null }
    case 'denied': return { outcome: 'denied', granted: 0, retryAfterMs: Math.round(decision.retryAfterMs) }
  }
}
