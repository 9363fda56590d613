import { STATUS_CODES } from 'node:http'

import { buildErrorBody, getErrorStatus } from '../protocol/errorBody'

import type { ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Refusal } from '../protocol/errorBody'

/**
 * Answers a request that the HTTP parser rejected or that timed out, then closes its connection.
 * Writes nothing once `response`, the connection's answer in progress, has begun.
 */
export function writeSocketError (error: NodeJS.ErrnoException, socket: Duplex, response: ServerResponse | undefined): void {
  if (error.code === 'ECONNRESET' || !socket.writable || response?.headersSent) {
    socket.destroy()
    return
  }
  const refusal = createRefusal(error)
  const status = getErrorStatus(refusal.code)
  const body = JSON.stringify(buildErrorBody(refusal))
  const head = [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    'content-type: application/json; charset=utf-8',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close'
  ].join('\r\n')
  socket.end(`${head}\r\n\r\n${body}`, () => socket.destroy())
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
