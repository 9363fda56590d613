import { formatState } from './stateDump'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Metrics } from './metrics'
import type { StateDump } from './stateDump'

/** HTTP paths for operators, served by every process. */
export const METRICS_PATH = '/metrics'
export const STATE_PATH = '/state'

/** Creates the handler of `GET /metrics`. */
export function createMetricsHandler (metrics: Metrics): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    if (!checkMethod(request, response)) return
    sendText(response, 200, 'text/plain; version=0.0.4; charset=utf-8', metrics.format())
  }
}

/**
 * Creates the handler of `GET /state`, which returns JSON, or readable text for `Accept: text/plain`.
 *
 * @param isAuthorized whether the request carries the fleet's secret
 */
export function createStateHandler (dump: StateDump, isAuthorized: (request: IncomingMessage) => boolean): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    if (!checkMethod(request, response)) return
    if (!isAuthorized(request)) {
      sendText(response, 401, 'text/plain; charset=utf-8', "Show the fleet's secret as 'Authorization: Bearer SECRET'.\n")
      return
    }
    const state = dump.readAll()
    if (request.headers.accept?.includes('text/plain')) sendText(response, 200, 'text/plain; charset=utf-8', formatState(state))
    else sendText(response, 200, 'application/json; charset=utf-8', JSON.stringify(state))
  }
}

function checkMethod (request: IncomingMessage, response: ServerResponse): boolean {
  if (request.method === 'GET') return true
  sendText(response, 405, 'text/plain; charset=utf-8', 'Use GET here.\n')
  return false
}

function sendText (response: ServerResponse, status: number, contentType: string, text: string): void {
  const body = Buffer.from(text)
  response.writeHead(status, { 'content-type': contentType, 'content-length': body.length })
  response.end(body)
}
