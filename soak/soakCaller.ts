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
/** Start of another request, which never becomes whole. */
const FURTHER_BYTES = `GET /read/x HTTP/1.1\r\nHost: ${SOAK_HOST}\r\n`

/** One caller that reuses its connections to the gateways. */
export class SoakCaller {
  readonly #agents = new Map<string, http.Agent>()

  /** Sends a request to `address` and resolves with its outcome. */
  async send (address: string, request: SoakRequest): Promise<CallerOutcome> {
    return await new Promise(resolve => {
      const [host, port] = address.split(':')
      const { manner } = request
      // a connection with the start of another request cannot carry a further one
      const agent = manner.furtherBytesAfterMs === null ? this.#openAgent(address) : new http.Agent({ keepAlive: true })
      const outgoing = http.request({
        host,
        port,
        method: request.method,
        path: request.target,
        agent,
        headers: {
          Host: SOAK_HOST,
          [HEADERS.requestId]: request.requestId,
          [HEADERS.remainingMs]: String(request.deadlineMs),
          [HEADERS.key]: request.key,
          // a caller may try to forge the workspace
          [HEADERS.workspace]: 'forged',
          ...request.resumed === null ? {} : { [HEADERS.resumedRequestId]: request.resumed.originId, [HEADERS.lastEventId]: String(request.resumed.lastEventId) },
          ...buildBodyHeaders(request)
        }
      })
      let lastByteSentAtMs: number | null = null
      const timers: NodeJS.Timeout[] = []
      const finish = (end: CallerOutcome) => {
        clearTimeout(answerTimer)
        clearTimeout(disconnectTimer)
        for (const timer of timers) clearTimeout(timer)
        if (manner.furtherBytesAfterMs !== null) agent.destroy()
        resolve(end)
      }
      const answerTimer = setTimeout(() => {
        finish({ kind: 'unanswered' })
        outgoing.destroy()
      }, request.deadlineMs + ANSWER_GRACE_MS + manner.bodyDelayMs + manner.readPauseMs)
      const disconnectTimer = request.disconnectAfterMs === null
        ? undefined
        : setTimeout(() => {
          finish({ kind: 'left' })
          outgoing.destroy()
        }, request.disconnectAfterMs)
      const fail = (message: string, body: string) => finish({ kind: 'broken', message, body, lastByteSentAtMs })
      outgoing.on('finish', () => {
        lastByteSentAtMs = performance.now()
        if (manner.furtherBytesAfterMs !== null) timers.push(setTimeout(() => outgoing.socket?.write(FURTHER_BYTES), manner.furtherBytesAfterMs))
      })
      outgoing.on('error', error => fail(error.message, ''))
      outgoing.on('response', response => {
        readAnswer(response, finish, fail)
        if (manner.readPauseMs === 0) return
        response.once('data', () => {
          response.pause()
          timers.push(setTimeout(() => response.resume(), manner.readPauseMs))
        })
      })
      if (manner.bodyDelayMs === 0) return outgoing.end(request.body)
      const half = Math.floor(request.body.length / 2)
      outgoing.write(request.body.slice(0, half))
      timers.push(setTimeout(() => outgoing.end(request.body.slice(half)), manner.bodyDelayMs))
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

function buildBodyHeaders ({ method, body, manner }: SoakRequest): http.OutgoingHttpHeaders {
  if (method === 'GET') return {}
  switch (manner.bodyForm) {
    case 'length': return { 'Content-Length': body.length }
    case 'chunks': return { 'Transfer-Encoding': 'chunked' }
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
