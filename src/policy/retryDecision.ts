import type { RequestKind } from '../config/routingConfig'

/** Outcome of an attempt, as far as a retry depends on it. */
export type DirectAttemptOutcome =
  /** The endpoint received nothing of the request. */
  | 'notSent'
  /** The endpoint reported that it did not run the request and will not run it. */
  | 'notRun'
  /** The endpoint may have run the request, and no answer will arrive. */
  | 'mayHaveRun'
  /** The endpoint ran the request and answered with a failure. */
  | 'failedAnswer'

/** State of a request after one of its attempts ended. */
export interface RetryState {
  kind: RequestKind
  isResumable: boolean
  outcome: DirectAttemptOutcome
  /** Number of endpoints that the request was sent to. */
  attempts: number
  maxAttempts: number
  /** Connections for the request that could not be opened. */
  failedConnects: number
  remainingMs: number
  /** Whether the request may be what crashed endpoints before, as far as is known. */
  isCrashSuspect: boolean
}

/** Whether to retry a request. */
export type RetryDecision =
  /** `usesRetryBudget` says whether the retry counts against the retry budget. */
  | { kind: 'repeat', usesRetryBudget: boolean }
  /** `reason` says why the request is not retried. */
  | { kind: 'end', reason: 'mayNotRepeat' | 'attemptsSpent' | 'noTimeLeft' | 'connectsSpent' | 'mayCrashEndpoints' }

/** Minimum milliseconds before the deadline for a retry. A later retry could not be answered in time. */
const MIN_REMAINING_MS = 40
/** Maximum failed connections for one request, enough to skip a few lost endpoints. */
const MAX_FAILED_CONNECTS = 3

/**
 * Decides whether to retry a request at another endpoint. A request that may have run is retried only
 * if it is idempotent or a resumable stream. A connection that could not be opened is not an attempt.
 *
 * @example
 * decideRetry({ kind: 'idempotent', outcome: 'mayHaveRun', attempts: 1, maxAttempts: 2, ... })
 * // { kind: 'repeat', usesRetryBudget: true }
 */
export function decideRetry (state: RetryState): RetryDecision {
  if (state.remainingMs < MIN_REMAINING_MS) return { kind: 'end', reason: 'noTimeLeft' }
  if (state.outcome === 'notSent') return decideAfterFailedConnect(state)
  if (state.attempts >= state.maxAttempts) return { kind: 'end', reason: 'attemptsSpent' }
  if (state.outcome === 'notRun') return { kind: 'repeat', usesRetryBudget: true }
  if (state.outcome === 'mayHaveRun' && state.isCrashSuspect) return { kind: 'end', reason: 'mayCrashEndpoints' }
  return isRetryable(state) ? { kind: 'repeat', usesRetryBudget: true } : { kind: 'end', reason: 'mayNotRepeat' }
}

/** Returns whether a request that may have run may run again. */
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
