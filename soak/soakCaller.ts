import http from 'node:http'

import { HEADERS } from '../platform/names'

import type { IncomingMessage } from 'node:http'
import type { SoakRequest } from './soakRequests'

/** Outcome of a request as its caller observed it. */
export type CallerOutcome =
  | { kind: 'answered', status: number, isSigned: boolean, body: string, retryAfter: string | null }
  /** The connection closed before the answer was complete; `body` is what had arrived, `lastByteSentAtMs` when the whole request had left; null for never. */
  | { kind: 'broken', message: string, body: string, lastByteSentAtMs: number | null }
  /** The caller disconnected before the answer was complete, as planned. */
  | { kind: 'left' }
  /** No complete answer arrived within `ANSWER_GRACE_MS` after the deadline. */
  | { kind: 'unanswered' }

export interface CallerResult {
  request: SoakRequest
  /** Index of the gateway to which the request was sent. */
  gateway: number
  /** Which process of that gateway it was, counted from 1. */
  epoch: number
  sentAtMs: number
  endedAtMs: number
  end: CallerOutcome
}

export const SOAK_HOST = 'soak.example'
/** Time that a caller waits after the deadline before it counts the request as unanswered. */
const ANSWER_GRACE_MS = 1500
const MAX_CONNECTION_IDLE_MS = 4000

/** One caller that reuses its connections to the gateways. */
export class SoakCaller {
  readonly #agents = new Map<string, http.Agent>()

  /** Sends a request to `address` and resolves with its outcome. */
  async send (address: string, request: SoakRequest): Promise<CallerOutcome> {
    return await new Promise(resolve => {
      const [host, port] = address.split(':')
      const outgoing = http.request({
        host,
        port,
        method: request.method,
        path: request.target,
        agent: this.#openAgent(address),
        headers: {
          Host: SOAK_HOST,
          [HEADERS.requestId]: request.requestId,
          [HEADERS.remainingMs]: String(request.deadlineMs),
          [HEADERS.key]: request.key,
          // a caller may try to forge the workspace
          [HEADERS.workspace]: 'forged',
          ...request.resumed === null ? {} : { [HEADERS.resumedRequestId]: request.resumed.originId, [HEADERS.lastEventId]: String(request.resumed.lastEventId) },
          ...request.method === 'POST' ? { 'Content-Length': request.body.length } : {}
        }
      })
      let lastByteSentAtMs: number | null = null
      const finish = (end: CallerOutcome) => {
        clearTimeout(answerTimer)
        clearTimeout(disconnectTimer)
        resolve(end)
      }
      const answerTimer = setTimeout(() => {
        finish({ kind: 'unanswered' })
        outgoing.destroy()
      }, request.deadlineMs + ANSWER_GRACE_MS)
      const disconnectTimer = request.disconnectAfterMs === null
        ? undefined
        : setTimeout(() => {
          finish({ kind: 'left' })
          outgoing.destroy()
        }, request.disconnectAfterMs)
      const fail = (message: string, body: string) => finish({ kind: 'broken', message, body, lastByteSentAtMs })
      outgoing.on('finish', () => { lastByteSentAtMs = performance.now() })
      outgoing.on('error', error => fail(error.message, ''))
      outgoing.on('response', response => readAnswer(response, finish, fail))
      outgoing.end(request.body)
    })
  }

  close (): void {
    for (const agent of this.#agents.values()) agent.destroy()
  }

  #openAgent (address: string): http.Agent {
    const known = this.#agents.get(address)
    if (known !== undefined) return known
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1, timeout: MAX_CONNECTION_IDLE_MS })
    this.#agents.set(address, agent)
    return agent
  }
}

function readAnswer (response: IncomingMessage, finish: (end: CallerOutcome) => void, fail: (message: string, body: string) => void): void {
  let body = ''
  response.setEncoding('utf8')
  response.on('data', (text: string) => { body += text })
  response.on('error', error => fail(error.message, body))
  response.on('end', () => {
    if (!response.complete) return fail('the answer was cut', body)
    const signature = response.headers[HEADERS.signature.toLowerCase()]
    finish({ kind: 'answered', status: response.statusCode ?? 0, isSigned: signature !== undefined, body, retryAfter: response.headers['retry-after'] ?? null })
  })
}
