import type { RequestKind } from '../config/routingConfig'

/** A send that is under way, as far as silence is judged by it. */
export interface AttemptInFlight {
  kind: RequestKind
  isRetryable: boolean
  /** Whether another endpoint could take the request. */
  hasAlternative: boolean
  sentAtMs: number
  /** Time of the last byte of this answer; null before the first. */
  heardAtMs: number | null
  targetMs: number
  betweenEventsTargetMs: number
}

/** What is known of the endpoint of a send. */
export interface EndpointActivity {
  /** Time of the last byte of any answer that came to this gateway. */
  heardAtMs: number
  /** Time at which another gateway had bytes from it, as lately told; -Infinity when none did. */
  lastPeerByteAtMs: number
  pendingTokens: number
  /** Sends there for which it has been silent for too long. */
  silentSends: number
}

/** What to do about a send on which nothing comes. */
export type StallDecision =
  | { kind: 'wait' }
  | { kind: 'giveUp', reason: 'endpointSilent' | 'answerLate' | 'streamStalled' }

/** Time without a byte after which an endpoint with work counts as silent: several batch steps. */
const ENDPOINT_IDLE_TIMEOUT_MS = 800
/** Added for each prompt token that it has yet to read, at a slow engine's rate. */
const IDLE_TIMEOUT_PER_TOKEN_MS = 0.05
const MIN_STALLED_ATTEMPTS = 2
/** Age of what gateways tell each other of an endpoint: two exchanges and the way between domains. */
const PEER_REPORT_LAG_MS = 1200
/** Factor on the time for a stream's first event at an endpoint that answers other gateways: it is busy. */
const BUSY_TIMEOUT_FACTOR = 2
/** Part of the target after which the answer of a plain service is asked for elsewhere. */
const LATE_TARGET_SHARE = 0.8
/** Usual answer times after which an answer counts as late. */
const LATE_ANSWER_FACTOR = 4
/** Pauses allowed after which a stream counts as stalled, and the least time; callers leave after twice as many. */
const STALL_TIMEOUT_FACTOR = 4
const MIN_STALL_TIMEOUT_MS = 1500

/**
 * Decides whether to go on waiting for an answer. Only what may be repeated is given up; an answer
 * that may not be made twice is waited for.
 *
 * @param typicalAnswerMs milliseconds that answers of the service usually take; 0 when none is known
 */
export function decideOnStall (attempt: AttemptInFlight, endpoint: EndpointActivity, typicalAnswerMs: number, nowMs: number): StallDecision {
  if (!attempt.isRetryable || !attempt.hasAlternative) return { kind: 'wait' }
  if (attempt.kind === 'idempotent' && attempt.heardAtMs === null) return decideOnLateAnswer(attempt, typicalAnswerMs, nowMs)
  if (isEndpointUnresponsive(endpoint) && isIdleTimeoutExceeded(endpoint, attempt.sentAtMs, nowMs)) return { kind: 'giveUp', reason: 'endpointSilent' }
  return isStreamStalled(attempt, endpoint, nowMs) ? { kind: 'giveUp', reason: 'streamStalled' } : { kind: 'wait' }
}

/** Tells whether the endpoint itself counts as silent; one send alone may be slow by itself. */
export function isEndpointUnresponsive (endpoint: EndpointActivity): boolean {
  return endpoint.silentSends >= MIN_STALLED_ATTEMPTS
}

/**
 * Tells whether an endpoint with a send since `sentAtMs` has been silent for too long. One that answers
 * other gateways is not silent: with many gateways each has but few sends there, which may all wait
 * behind the others'.
 */
export function isIdleTimeoutExceeded (endpoint: Omit<EndpointActivity, 'silentSends'>, sentAtMs: number, nowMs: number): boolean {
  const { heardAtMs, lastPeerByteAtMs, pendingTokens } = endpoint
  const limitMs = ENDPOINT_IDLE_TIMEOUT_MS + IDLE_TIMEOUT_PER_TOKEN_MS * pendingTokens
  return nowMs - Math.max(sentAtMs, heardAtMs) > limitMs && nowMs - lastPeerByteAtMs > limitMs + PEER_REPORT_LAG_MS
}

/** A stream that has begun must go on; one that has not may wait for its turn while the endpoint answers others. */
function isStreamStalled (attempt: AttemptInFlight, endpoint: EndpointActivity, nowMs: number): boolean {
  const stallMs = Math.max(MIN_STALL_TIMEOUT_MS, STALL_TIMEOUT_FACTOR * attempt.betweenEventsTargetMs)
  if (attempt.heardAtMs !== null) return nowMs - attempt.heardAtMs > stallMs
  const isBusy = nowMs - endpoint.lastPeerByteAtMs <= ENDPOINT_IDLE_TIMEOUT_MS + PEER_REPORT_LAG_MS
  const limitMs = (isBusy ? BUSY_TIMEOUT_FACTOR : 1) * stallMs + IDLE_TIMEOUT_PER_TOKEN_MS * endpoint.pendingTokens
  return nowMs - Math.max(attempt.sentAtMs, endpoint.heardAtMs) > limitMs
}

function decideOnLateAnswer (attempt: AttemptInFlight, typicalAnswerMs: number, nowMs: number): StallDecision {
  const limitMs = Math.max(LATE_TARGET_SHARE * attempt.targetMs, LATE_ANSWER_FACTOR * typicalAnswerMs)
  return nowMs - attempt.sentAtMs > limitMs ? { kind: 'giveUp', reason: 'answerLate' } : { kind: 'wait' }
}
