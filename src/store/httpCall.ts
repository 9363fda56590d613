import http from 'node:http'

import { resetRequest } from '../base/resetRequest'
import { TimeLimit } from '../base/timeLimit'

import type { Progress } from '../base/progress'

export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  url: URL
  headers?: Record<string, string>
  body?: string
  /** Milliseconds to wait for the complete response. */
  timeoutMs: number
  /** Largest response body in bytes. */
  maxResponseBytes: number
}

/** How an HTTP call ended; the kinds differ in whether the server may have received it. */
export type HttpCallResult =
  | { kind: 'answered', status: number, headers: http.IncomingHttpHeaders, body: string }
  /** The connection failed, so the server received nothing. */
  | { kind: 'notSent', message: string }
  /** The call was sent, but no complete response arrived. */
  | { kind: 'noAnswer', message: string }
  /** No complete response arrived in time; `sent` says whether the server may have received the call. */
  | { kind: 'timedOut', sent: boolean, message: string }
  /** The caller aborted the call; `sent` says whether the server may have received it. */
  | { kind: 'aborted', sent: boolean, message: string }

/**
 * Makes one HTTP call and reads its response, with limits on time and size. A call that is given up does not
 * reach the server afterwards.
 *
 * @example
 * const result = await sendHttpCall(agent, { method: 'GET', url, timeoutMs: 1_000, maxResponseBytes: 1_048_576 }, progress)
 */
export async function sendHttpCall (agent: http.Agent, call: HttpCall, progress: Progress): Promise<HttpCallResult> {
  return await new Promise(resolve => {
    const { method, url, headers } = call
    let sent = false
    const finish = (result: HttpCallResult) => {
      limit.cancel()
      progress.signal.removeEventListener('abort', handleAbort)
      resolve(result)
    }
    const fail = (message: string) => finish({ kind: sent ? 'noAnswer' : 'notSent', message: `${method} ${url.pathname}: ${message}` })
    const handleAbort = () => {
      finish({ kind: 'aborted', sent, message: `${method} ${url.pathname}: aborted by the caller` })
      resetRequest(request)
    }
    const request = http.request(url, { method, headers, agent })
    const limit = new TimeLimit(progress.clock, call.timeoutMs, () => {
      const message = `${method} ${url.pathname}: no response within ${Math.round(call.timeoutMs)} ms`
      finish({ kind: 'timedOut', sent, message })
      resetRequest(request)
    })
    request.on('socket', socket => {
      if (!socket.connecting) sent = true
      else socket.once('connect', () => { sent = true })
    })
    request.on('error', error => fail(error.message))
    request.on('response', response => {
      readBody(response, call.maxResponseBytes).then(
        body => finish({ kind: 'answered', status: response.statusCode ?? 0, headers: response.headers, body }),
        (error: Error) => {
          fail(error.message)
          resetRequest(request)
        }
      )
    })
    progress.signal.addEventListener('abort', handleAbort, { once: true })
    if (progress.signal.aborted) return handleAbort()
    request.end(call.body)
  })
}

async function readBody (response: http.IncomingMessage, maxBytes: number): Promise<string> {
  const parts: Buffer[] = []
  let size = 0
  for await (const part of response) {
    size += part.length
    if (size > maxBytes) throw new Error(`the response body is larger than ${maxBytes} bytes`)
    parts.push(part)
  }
  return Buffer.concat(parts).toString('utf8')
}
