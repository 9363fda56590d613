import type { RequestKind } from '../config/routingConfig'

/** How a send ended, as far as a repeat depends on it. */
export type DirectAttemptOutcome =
  /** The endpoint saw nothing of the request. */
  | 'notSent'
  /** The endpoint said that it did not run the request and will not. */
  | 'notRun'
  /** The endpoint may have run it, and no answer will come. */
  | 'mayHaveRun'
  /** The endpoint ran it and answered with a failure. */
  | 'failedAnswer'

/** What is known of a request when a send of it has ended. */
export interface RetryState {
  kind: RequestKind
  isResumable: boolean
  outcome: DirectAttemptOutcome
  /** Endpoints that the request was sent to. */
  attempts: number
  maxAttempts: number
  /** Connections that could not be made for the request. */
  failedConnects: number
  remainingMs: number
}

/** What happens next to a request. */
export type RetryDecision =
  /** `isCounted` says whether the repeat draws on the retry budget. */
  | { kind: 'repeat', usesRetryBudget: boolean }
  /** Why it is not repeated. */
  | { kind: 'end', reason: 'mayNotRepeat' | 'attemptsSpent' | 'noTimeLeft' | 'connectsSpent' }

/** A repeat with less time than this could not be answered any more. */
const MIN_REMAINING_MS = 40
/** Connections tried for one request before it is given up: enough to pass a few lost endpoints. */
const MAX_FAILED_CONNECTS = 3

/**
 * Decides whether a request is sent to another endpoint. What may have run is repeated only if
 * it is idempotent or a stream that resumes; a connection that was never made is not an attempt.
 *
 * @example
 * decideRepeat({ kind: 'idempotent', outcome: 'mayHaveRun', attempts: 1, maxAttempts: 2, ... })
 * // { kind: 'repeat', isCounted: true }
 */
export function decideRetry (state: RetryState): RetryDecision {
  if (state.remainingMs < MIN_REMAINING_MS) return { kind: 'end', reason: 'noTimeLeft' }
  if (state.outcome === 'notSent') return decideAfterFailedConnect(state)
  if (state.attempts >= state.maxAttempts) return { kind: 'end', reason: 'attemptsSpent' }
  if (state.outcome === 'notRun') return { kind: 'repeat', usesRetryBudget: true }
  return isRetryable(state) ? { kind: 'repeat', usesRetryBudget: true } : { kind: 'end', reason: 'mayNotRepeat' }
}

/** Tells whether a request that may have run may run again. */
export function isRetryable (request: { kind: RequestKind, isResumable: boolean }): boolean {
  switch (request.kind) {
    case 'idempotent': return true
    case 'nonIdempotent': return false
    case 'stream': return request.isResumable
  }
}

function decideAfterFailedConnect (state: RetryState): RetryDecision {
  if (state.failedConnects >= MAX_FAILED_CONNECTS) return { kind: 'end', reason: 'connectsSpent' }
  return { kind: 'repeat', usesRetryBudget: false }
}
