import { Result } from 'true-myth'

import { Backoff } from './backoff'
import { waitFor } from './channels'

import type { Progress } from '../base/progress'
import type { ObjectServiceError } from './objectService'

export interface RetryCallOptions {
  /** Shortest delay between tries in milliseconds. */
  baseMs?: number
  /** Longest delay between tries in milliseconds. */
  capMs?: number
  getRandom?: () => number
  /** Which errors are worth another try; by default all that surely had no effect. */
  isRetriable?: (error: ObjectServiceError) => boolean
}

const DEFAULT_BASE_MS = 50
const DEFAULT_CAP_MS = 2_000

/**
 * Repeats a call that surely had no effect (`unavailable`, `rateLimited`) with jittered exponential
 * back-off while the deadline of `progress` leaves time; any other result is returned as it is. An
 * unknown outcome is never retried here, since only a read-back can tell what happened.
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
    progress.log(`the object service answered ${result.error.kind}; trying again in ${Math.round(delayMs)} ms`)
    await waitFor(delayMs, progress.signal)
  }
}

/** Milliseconds after which the service asked to be called again; 0 when it did not say. */
export function getRetryAfterMs (error: ObjectServiceError): number {
  return error.kind === 'rateLimited' ? error.retryAfterMs : 0
}

/** Describes an error of the object service in one line. */
export function describeServiceError (error: ObjectServiceError): string {
  switch (error.kind) {
    case 'conflict': return `the object is now at version ${error.current?.version ?? 'none'}`
    case 'rateLimited': return `the object service asks to come back in ${error.retryAfterMs} ms`
    case 'unavailable': return `the object service is unavailable: ${error.message}`
    case 'unknownOutcome': return `the object service did not answer: ${error.message}`
  }
}

/** Whether the service only asks to come back later; for callers that have another way when it is down. */
export function isRateLimited (error: ObjectServiceError): boolean {
  return error.kind === 'rateLimited'
}

function isWithoutEffect (error: ObjectServiceError): boolean {
  return error.kind === 'unavailable' || error.kind === 'rateLimited'
}
