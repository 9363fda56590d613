import type { RequestKind } from '../config/routingConfig'

/** The properties of an attempt in flight that stall detection depends on. */
export interface AttemptInFlight {
  kind: RequestKind
  isRetryable: boolean
  /** Whether another endpoint could serve the request. */
  hasAlternative: boolean
  sentAtMs: number
  /** Time of the last byte of this answer; null before the first byte. */
  heardAtMs: number | null
  targetMs: number
  betweenEventsTargetMs: number
}

/** Recent activity of the endpoint of an attempt. */
export interface EndpointActivity {
  /** Time of the last byte that this gateway received from the endpoint, in any answer. */
  heardAtMs: number
  /** Time of the last byte that a peer gateway received from the endpoint, as last reported; -Infinity when none was. */
  lastPeerByteAtMs: number
  pendingTokens: number
  /** Attempts in flight there whose idle timeout has passed. */
  silentSends: number
}

/** Why an attempt that receives no bytes is abandoned. */
export type StallReason = 'endpointSilent' | 'answerLate' | 'streamStalled'

/**
 * Whether another attempt can follow the one that is abandoned: it is reserved; the retry budget is spent, so that only the caller can
 * repeat the request; or this process must not send the request again and may not end its answer either.
 */
export type RetryReservation = 'reserved' | 'budgetSpent' | 'refused'

/** Whether to keep waiting for an attempt that receives no bytes, or why to abandon it. */
export type StallDecision =
  | { kind: 'wait' }
  | { kind: 'giveUp', reason: StallReason }

/** Milliseconds without a byte after which an endpoint with work counts as unresponsive: several batch steps. */
const ENDPOINT_IDLE_TIMEOUT_MS = 800
/** Milliseconds added for each prompt token not yet prefilled, at the rate of a slow engine. */
const IDLE_TIMEOUT_PER_TOKEN_MS = 0.05
const MIN_STALLED_ATTEMPTS = 2
/** Maximum age in milliseconds of peer reports about an endpoint: two exchanges plus the network latency between failure domains. */
const PEER_REPORT_LAG_MS = 1200
/** Factor on the timeout of a stream's first event while the endpoint answers peer gateways, because it is busy. */
const BUSY_TIMEOUT_FACTOR = 2
/** Fraction of the target after which the request of a plain service fails over to another endpoint. */
const LATE_TARGET_SHARE = 0.8
/** Multiple of the typical answer time after which an answer counts as late. */
const LATE_ANSWER_FACTOR = 4
/** Multiple of the target pause between events after which a stream counts as stalled. Callers disconnect after twice as long. */
const STALL_TIMEOUT_FACTOR = 4
const MIN_STALL_TIMEOUT_MS = 1500

/**
 * Decides whether to keep waiting for an answer. Abandons an attempt only if the request is retryable
 * and another endpoint can serve it.
 *
 * @param typicalAnswerMs milliseconds that the service typically takes to answer; 0 when unknown
 */
export function decideOnStall (attempt: AttemptInFlight, endpoint: EndpointActivity, typicalAnswerMs: number, nowMs: number): StallDecision {
  if (!attempt.isRetryable || !attempt.hasAlternative) return { kind: 'wait' }
  if (attempt.kind === 'idempotent' && attempt.heardAtMs === null) return decideOnLateAnswer(attempt, typicalAnswerMs, nowMs)
  if (isEndpointUnresponsive(endpoint) && isIdleTimeoutExceeded(endpoint, attempt.sentAtMs, nowMs)) return { kind: 'giveUp', reason: 'endpointSilent' }
  return isStreamStalled(attempt, endpoint, nowMs) ? { kind: 'giveUp', reason: 'streamStalled' } : { kind: 'wait' }
}

/**
 * Returns whether an attempt may be abandoned. The caller of a stream that stands still can take it up elsewhere; a late answer may still
 * come, and is worth more to its caller than a failure.
 */
export function canAbandon (reason: StallReason, reservation: RetryReservation): boolean {
  switch (reservation) {
    case 'reserved': return true
    case 'budgetSpent': return reason !== 'answerLate'
    case 'refused': return false
  }
}

/** Returns whether the endpoint itself counts as unresponsive. A single stalled attempt may just be slow. */
export function isEndpointUnresponsive (endpoint: EndpointActivity): boolean {
  return endpoint.silentSends >= MIN_STALLED_ATTEMPTS
}

/**
 * Returns whether the idle timeout of an endpoint has passed for an attempt sent at `sentAtMs`. An
 * endpoint that answers peer gateways is not idle: with many gateways each one has few attempts there,
 * and all of them may be queued behind the attempts of peers.
 */
export function isIdleTimeoutExceeded (endpoint: Omit<EndpointActivity, 'silentSends'>, sentAtMs: number, nowMs: number): boolean {
  const { heardAtMs, lastPeerByteAtMs, pendingTokens } = endpoint
  const limitMs = ENDPOINT_IDLE_TIMEOUT_MS + IDLE_TIMEOUT_PER_TOKEN_MS * pendingTokens
  return nowMs - Math.max(sentAtMs, heardAtMs) > limitMs && nowMs - lastPeerByteAtMs > limitMs + PEER_REPORT_LAG_MS
}

/**
 * Returns whether a stream has stalled. A stream that has started must keep delivering events. One that
 * has not started may be queued while the endpoint answers peer gateways.
 */
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
