import { Result } from 'true-myth'

import { objectServiceMessages } from './objectServiceMessages'

import type * as z from 'zod'
import type { HttpCall, HttpCallResult } from './httpCall'
import type { ObjectServiceError } from './objectService'

export type CallResult<T> = Result<T, ObjectServiceError>
export type HttpResponse = Extract<HttpCallResult, { kind: 'answered' }>

const DEFAULT_RETRY_AFTER_MS = 1_000

/** Converts the result of an HTTP call into a value or a typed error. */
export function resolveCall<T> (method: HttpCall['method'], result: HttpCallResult, parse: (response: HttpResponse) => CallResult<T>): CallResult<T> {
  switch (result.kind) {
    case 'answered': return resolveResponse(method, result, parse)
    case 'notSent': return createUnavailable(result.message)
    case 'noAnswer': return createNoResponse(method, result.message)
    case 'timedOut':
    case 'aborted': return result.sent ? createNoResponse(method, result.message) : createUnavailable(result.message)
  }
}

function resolveResponse<T> (method: HttpCall['method'], response: HttpResponse, parse: (response: HttpResponse) => CallResult<T>): CallResult<T> {
  switch (response.status) {
    case 200:
    case 304:
    case 404: {
      const parsed = parse(response)
      return parsed.isErr && parsed.error.kind === 'unavailable' ? createNoResponse(method, parsed.error.message) : parsed
    }
    case 410: return Result.err({ kind: 'conflict', current: null })
    case 412: return parseResponse(response, objectServiceMessages.conflict).andThen(({ current }) => Result.err({ kind: 'conflict', current }))
    case 429: return Result.err({ kind: 'rateLimited', retryAfterMs: parseRetryAfterMs(response) })
    case 503: return createUnavailable('the object service answered 503')
    default: {
      const message = `the object service answered ${response.status}`
      return response.status >= 500 ? createNoResponse(method, message) : createUnavailable(message)
    }
  }
}

/** Parses the body of a response by `schema`. */
export function parseResponse<S extends z.ZodType> (response: HttpResponse, schema: S): CallResult<z.infer<S>> {
  const parsed = schema.safeParse(parseJson(response.body))
  if (parsed.success) return Result.ok(parsed.data)
  return createUnavailable(`the object service answered ${response.status} with an invalid body`)
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Returns the milliseconds after which a rate-limited call may be retried, from the `Retry-After` header. */
export function parseRetryAfterMs (response: HttpResponse): number {
  const seconds = Number(response.headers['retry-after'])
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1_000 : DEFAULT_RETRY_AFTER_MS
}

/**
 * Creates the error for a lost response. A GET has no effect, so its error is `unavailable`; any other
 * outcome is unknown.
 */
export function createNoResponse<T> (method: HttpCall['method'], message: string): CallResult<T> {
  return method === 'GET' ? createUnavailable(message) : Result.err({ kind: 'unknownOutcome', message })
}

/** Creates an error that guarantees that nothing was written. */
export function createUnavailable<T> (message: string): CallResult<T> {
  return Result.err({ kind: 'unavailable', message })
}
