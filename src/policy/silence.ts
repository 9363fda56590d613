import type { RequestKind } from '../config/routingConfig'

/** A send that is under way, as far as silence is judged by it. */
export interface SilentSend {
  kind: RequestKind
  isRepeatable: boolean
  /** Whether another endpoint could take the request. */
  hasAlternative: boolean
  sentAtMs: number
  /** Time of the last byte of this answer; null before the first. */
  heardAtMs: number | null
  targetMs: number
  betweenEventsTargetMs: number
}

/** What is known of the endpoint of a send. */
export interface SilentEndpoint {
  /** Time of the last byte of any answer that came to this gateway. */
  heardAtMs: number
  /** Time at which another gateway had bytes from it, as lately told; -Infinity when none did. */
  heardByOthersAtMs: number
  pendingTokens: number
  /** Sends there for which it has been silent for too long. */
  silentSends: number
}

/** What to do about a send on which nothing comes. */
export type SilenceDecision =
  | { kind: 'wait' }
  | { kind: 'giveUp', reason: 'endpointSilent' | 'answerLate' | 'streamStalled' }

/** Time without a byte after which an endpoint with work counts as silent: several batch steps. */
const ENDPOINT_SILENCE_MS = 800
/** Added for each prompt token that it has yet to read, at a slow engine's rate. */
const SILENCE_PER_TOKEN_MS = 0.05
const MIN_SILENT_SENDS = 2
/** Age of what gateways tell each other of an endpoint: two exchanges and the way between domains. */
const TOLD_LAG_MS = 1200
/** Factor on the time for a stream's first event at an endpoint that answers other gateways: it is busy. */
const BUSY_FACTOR = 2
/** Part of the target after which the answer of a plain service is asked for elsewhere. */
const LATE_SHARE = 0.8
/** Usual answer times after which an answer counts as late. */
const LATE_FACTOR = 4
/** Pauses allowed after which a stream counts as stalled, and the least time; callers leave after twice as many. */
const STALL_FACTOR = 4
const MIN_STALL_MS = 1500

/**
 * Decides whether to go on waiting for an answer. Only what may be repeated is given up; an answer
 * that may not be made twice is waited for.
 *
 * @param usualMs milliseconds that answers of the service usually take; 0 when none is known
 */
export function decideOnSilence (send: SilentSend, endpoint: SilentEndpoint, usualMs: number, nowMs: number): SilenceDecision {
  if (!send.isRepeatable || !send.hasAlternative) return { kind: 'wait' }
  if (send.kind === 'idempotent' && send.heardAtMs === null) return decideOnLateAnswer(send, usualMs, nowMs)
  if (isEndpointSilent(endpoint) && isSilent(endpoint, send.sentAtMs, nowMs)) return { kind: 'giveUp', reason: 'endpointSilent' }
  return isStalled(send, endpoint, nowMs) ? { kind: 'giveUp', reason: 'streamStalled' } : { kind: 'wait' }
}

/** Tells whether the endpoint itself counts as silent; one send alone may be slow by itself. */
export function isEndpointSilent (endpoint: SilentEndpoint): boolean {
  return endpoint.silentSends >= MIN_SILENT_SENDS
}

/**
 * Tells whether an endpoint with a send since `sentAtMs` has been silent for too long. One that answers
 * other gateways is not silent: with many gateways each has but few sends there, which may all wait
 * behind the others'.
 */
export function isSilent (endpoint: Omit<SilentEndpoint, 'silentSends'>, sentAtMs: number, nowMs: number): boolean {
  const { heardAtMs, heardByOthersAtMs, pendingTokens } = endpoint
  const limitMs = ENDPOINT_SILENCE_MS + SILENCE_PER_TOKEN_MS * pendingTokens
  return nowMs - Math.max(sentAtMs, heardAtMs) > limitMs && nowMs - heardByOthersAtMs > limitMs + TOLD_LAG_MS
}

/** A stream that has begun must go on; one that has not may wait for its turn while the endpoint answers others. */
function isStalled (send: SilentSend, endpoint: SilentEndpoint, nowMs: number): boolean {
  const stallMs = Math.max(MIN_STALL_MS, STALL_FACTOR * send.betweenEventsTargetMs)
  if (send.heardAtMs !== null) return nowMs - send.heardAtMs > stallMs
  const isBusy = nowMs - endpoint.heardByOthersAtMs <= ENDPOINT_SILENCE_MS + TOLD_LAG_MS
  const limitMs = (isBusy ? BUSY_FACTOR : 1) * stallMs + SILENCE_PER_TOKEN_MS * endpoint.pendingTokens
  return nowMs - Math.max(send.sentAtMs, endpoint.heardAtMs) > limitMs
}

function decideOnLateAnswer (send: SilentSend, usualMs: number, nowMs: number): SilenceDecision {
  const limitMs = Math.max(LATE_SHARE * send.targetMs, LATE_FACTOR * usualMs)
  return nowMs - send.sentAtMs > limitMs ? { kind: 'giveUp', reason: 'answerLate' } : { kind: 'wait' }
}
