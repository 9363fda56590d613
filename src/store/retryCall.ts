import { Result } from 'true-myth'

import { Backoff } from './backoff'
import { waitFor } from './channels'

import type { Progress } from '../base/progress'
import type { ObjectServiceError } from './objectService'

export interface RetryCallOptions {
  /** Shortest delay between attempts in milliseconds. */
  baseMs?: number
  /** Longest delay between attempts in milliseconds. */
  capMs?: number
  getRandom?: () => number
  /** Returns whether to retry after an error; by default after all errors that certainly had no effect. */
  isRetriable?: (error: ObjectServiceError) => boolean
}

const DEFAULT_BASE_MS = 50
const DEFAULT_CAP_MS = 2_000

/**
 * Retries a call that certainly had no effect (`unavailable`, `rateLimited`) with jittered exponential
 * backoff until the deadline of `progress`. Returns any other result unchanged. It never retries an
 * unknown outcome, since only a read-back shows whether the call took effect.
 *
 * @example
 * const result = await retryCall(() => service.get(key, progress), progress)
 */
export async function retryCall<T> (
  call: () => Promise<Result<T, ObjectServiceError>>,
  progress: Progress,
  options: RetryCallOptions = {}
): Promise<Result<T, ObjectServiceError>> {
  const backoff = new Backoff({
    baseMs: options.baseMs ?? DEFAULT_BASE_MS,
    capMs: options.capMs ?? DEFAULT_CAP_MS,
    getRandom: options.getRandom
  })
  while (true) {
    const result = await call()
    if (result.isOk || !(options.isRetriable ?? isWithoutEffect)(result.error)) return result
    const delayMs = Math.max(backoff.advance(), getRetryAfterMs(result.error))
    if (progress.signal.aborted || delayMs >= progress.getRemainingMs()) return result
    progress.log(`the call to the object service failed (${result.error.kind}); retrying in ${Math.round(delayMs)} ms`)
    await waitFor(delayMs, progress.signal)
  }
}

/** Returns the retry delay that the service sent, in milliseconds; 0 when it sent none. */
export function getRetryAfterMs (error: ObjectServiceError): number {
  return error.kind === 'rateLimited' ? error.retryAfterMs : 0
}

/** Describes an error of the object service in one line. */
export function describeServiceError (error: ObjectServiceError): string {
  switch (error.kind) {
    case 'conflict': return `the object is now at version ${error.current?.version ?? 'none'}`
    case 'rateLimited': return `the object service is limiting the call rate; retry in ${error.retryAfterMs} ms`
    case 'unavailable': return `the object service is unavailable: ${error.message}`
    case 'unknownOutcome': return `the object service did not respond: ${error.message}`
  }
}

/**
 * Returns whether the error is a rate limit. For callers that have a fallback while the service is down
 * and should not retry then.
 */
export function isRateLimited (error: ObjectServiceError): boolean {
  return error.kind === 'rateLimited'
}

function isWithoutEffect (error: ObjectServiceError): boolean {
  return error.kind === 'unavailable' || error.kind === 'rateLimited'
}
