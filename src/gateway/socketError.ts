import { STATUS_CODES } from 'node:http'

import { buildErrorBody, getErrorStatus } from '../protocol/errorBody'

import type { Refusal } from '../protocol/errorBody'

/** Builds the reply to a request that the HTTP parser rejected or that timed out. */
export function buildSocketErrorReply (error: NodeJS.ErrnoException): string {
  const refusal = createRefusal(error)
  const status = getErrorStatus(refusal.code)
  const body = JSON.stringify(buildErrorBody(refusal))
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'content-type: application/json; charset=utf-8',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close'
  ].join('\r\n')
  return `${head}\r\n\r\n${body}`
}

function createRefusal (error: NodeJS.ErrnoException): Refusal {
  switch (error.code) {
    case 'HPE_HEADER_OVERFLOW':
      return { code: 'headers_too_large', message: 'The header is larger than this gateway takes.', execution: 'not_run' }
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return { code: 'request_timeout', message: 'The request did not arrive whole in time.', execution: 'not_run' }
    default:
      return { code: 'invalid_request', message: 'The request is not HTTP/1.1.', execution: 'not_run' }
  }
}
