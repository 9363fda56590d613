import type { AttemptOutcome, NotRunReason } from '../protocol/attemptMessages'

/**
 * Creates the outcome of an attempt that did not run.
 *
 * @param retryAfterMs milliseconds after which the same request is likely to be accepted
 */
export function createNotRun (reason: NotRunReason, retryAfterMs: number): AttemptOutcome {
  return { kind: 'notRun', reason, retryAfterMs: Math.ceil(retryAfterMs) }
}
