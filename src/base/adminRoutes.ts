import { formatState } from './stateDump'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Metrics } from './metrics'
import type { StateDump } from './stateDump'

/** HTTP paths for operators, served by every process. */
export const METRICS_PATH = '/metrics'
export const STATE_PATH = '/state'
export const LIFT_HOLD_PATH = '/holds/lift'

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

/**
 * Creates the handler of `POST /holds/lift?fingerprint=...`, by which an operator ends a hold on requests.
 *
 * @param removeHold ends the hold and returns false when there is none with this fingerprint
 */
export function createLiftHandler (removeHold: (fingerprint: string) => boolean): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    if (!checkMethod(request, response, 'POST')) return
    const fingerprint = new URL(request.url ?? '/', 'http://gateway').searchParams.get('fingerprint') ?? ''
    const isLifted = removeHold(fingerprint)
    sendText(response, isLifted ? 200 : 404, 'text/plain; charset=utf-8', isLifted ? 'The hold has ended.\n' : 'No hold has this fingerprint.\n')
  }
}

function checkMethod (request: IncomingMessage, response: ServerResponse, method: 'GET' | 'POST' = 'GET'): boolean {
  if (request.method === method) return true
  sendText(response, 405, 'text/plain; charset=utf-8', `Use ${method} here.\n`)
  return false
}

function sendText (response: ServerResponse, status: number, contentType: string, text: string): void {
  const body = Buffer.from(text)
  response.writeHead(status, { 'content-type': contentType, 'content-length': body.length })
  response.end(body)
}
