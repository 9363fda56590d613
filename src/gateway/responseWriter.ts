import { buildErrorBody, formatRetryAfter, getErrorStatus } from '../protocol/errorBody'

import type { ServerResponse } from 'node:http'
import type { Refusal } from '../protocol/errorBody'

/** Header that carries the request's id on every answer. */
export const REQUEST_ID_HEADER = 'x-tanagerwick-request-id'

/** Writes a JSON answer, unless the answer has begun or the connection is closed. */
export function writeJson (response: ServerResponse, requestId: string, status: number, value: unknown, headers: Record<string, string> = {}): void {
  if (response.headersSent || response.destroyed) return
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, {
    'content-type': 'application/json; charset=utf-8',
    'content-length': body.length,
    [REQUEST_ID_HEADER]: requestId,
    ...headers
  })
  response.end(body)
}

/** Writes an error with its status, and with `Retry-After` when the request may be retried. */
export function writeError (response: ServerResponse, requestId: string, refusal: Refusal): void {
  const headers: Record<string, string> = {}
  if (refusal.retryAfterMs !== undefined) headers['retry-after'] = formatRetryAfter(refusal.retryAfterMs)
  if (refusal.code === 'invalid_api_key') headers['www-authenticate'] = 'Bearer'
  writeJson(response, requestId, getErrorStatus(refusal.code), buildErrorBody(refusal), headers)
}
