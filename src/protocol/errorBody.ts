const MAX_MESSAGE_CHARACTERS = 500
const MS_PER_SECOND = 1000

/** Whether a request that failed may have been executed. */
export type Execution = 'not_run' | 'may_have_run'

/** Machine-readable reason of an error; docs/OPERATIONS.md lists them. */
export type ErrorCode =
  | 'invalid_request' | 'invalid_json' | 'invalid_header' | 'invalid_path' | 'unknown_class'
  | 'invalid_api_key' | 'class_not_allowed'
  | 'not_found' | 'model_not_found' | 'service_not_found' | 'method_not_allowed'
  | 'request_timeout' | 'already_in_progress' | 'body_too_large' | 'headers_too_large'
  | 'request_crashes_endpoints' | 'idempotency_key_reused' | 'rate_limited' | 'too_many_concurrent'
  | 'overloaded' | 'draining' | 'endpoint_unavailable' | 'model_not_placed'
  | 'claim_store_unavailable' | 'configuration_missing' | 'configuration_stale'
  | 'stream_version_unknown' | 'stream_version_gone'
  | 'internal_error' | 'endpoint_failed' | 'answer_lost' | 'answer_too_large' | 'deadline_exceeded'

/** Error reported to the caller of a request. */
export interface Refusal {
  code: ErrorCode
  message: string
  execution: Execution
  /** Milliseconds after which the caller should retry; absent if a retry is pointless. */
  retryAfterMs?: number
}

/** JSON body of an error response. */
export interface ErrorBody {
  error: { message: string, type: string, code: ErrorCode, execution: Execution }
}

const STATUS_BY_CODE: Record<ErrorCode, number> = {
  invalid_request: 400,
  invalid_json: 400,
  invalid_header: 400,
  invalid_path: 400,
  unknown_class: 400,
  invalid_api_key: 401,
  class_not_allowed: 403,
  not_found: 404,
  model_not_found: 404,
  service_not_found: 404,
  method_not_allowed: 405,
  request_timeout: 408,
  already_in_progress: 409,
  body_too_large: 413,
  headers_too_large: 431,
  request_crashes_endpoints: 422,
  idempotency_key_reused: 422,
  rate_limited: 429,
  too_many_concurrent: 429,
  overloaded: 503,
  draining: 503,
  endpoint_unavailable: 503,
  model_not_placed: 503,
  claim_store_unavailable: 503,
  configuration_missing: 503,
  configuration_stale: 503,
  stream_version_unknown: 503,
  stream_version_gone: 503,
  internal_error: 500,
  endpoint_failed: 502,
  answer_lost: 502,
  answer_too_large: 502,
  deadline_exceeded: 504
}

/** Returns the HTTP status of an error code. */
export function getErrorStatus (code: ErrorCode): number {
  return STATUS_BY_CODE[code]
}

/**
 * Builds the JSON body of an error response. Truncates a long message.
 *
 * @example
 * buildErrorBody({ code: 'overloaded', message: 'No endpoint can start in time.', execution: 'not_run' })
 */
export function buildErrorBody (refusal: Refusal): ErrorBody {
  const message = formatMessage(refusal.message)
  return { error: { message, type: getErrorType(refusal.code), code: refusal.code, execution: refusal.execution } }
}

/**
 * Formats the value of the `Retry-After` header in whole seconds, at least 1.
 *
 * @example
 * formatRetryAfter(1200) // '2'
 */
export function formatRetryAfter (retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)))
}

function formatMessage (message: string): string {
  if (message.length <= MAX_MESSAGE_CHARACTERS) return message
  return `${message.slice(0, MAX_MESSAGE_CHARACTERS - 1)}…`
}

function getErrorType (code: ErrorCode): string {
  const status = STATUS_BY_CODE[code]
  if (status === 401) return 'authentication_error'
  if (status === 403) return 'permission_error'
  if (status === 429) return 'rate_limit_error'
  return status < 500 ? 'invalid_request_error' : 'server_error'
}
