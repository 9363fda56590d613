import http from 'node:http'

import type { Progress } from '../base/progress'

export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  url: URL
  headers?: Record<string, string>
  body?: string
  /** Milliseconds to wait for the whole answer. */
  timeoutMs: number
  /** Largest answer body in bytes. */
  maxResponseBytes: number
}

/** How an HTTP call ended, told apart by whether the server may have seen it. */
export type HttpCallResult =
  | { kind: 'answered', status: number, headers: http.IncomingHttpHeaders, body: string }
  /** The connection could not be made: the server saw nothing. */
  | { kind: 'notSent', message: string }
  /** The call was sent and no whole answer came. */
  | { kind: 'noAnswer', message: string }
  /** No whole answer came in time; `sent` says whether the server may have seen the call. */
  | { kind: 'timedOut', sent: boolean, message: string }
  /** The caller gave up; `sent` says whether the server may have seen the call. */
  | { kind: 'aborted', sent: boolean, message: string }

/**
 * Makes one HTTP call and reads its answer, bounded in time and size.
 *
 * @example
 * const result = await sendHttpCall(agent, { method: 'GET', url, timeoutMs: 1_000, maxAnswerBytes: 1_048_576 }, progress)
 */
export async function sendHttpCall (agent: http.Agent, call: HttpCall, progress: Progress): Promise<HttpCallResult> {
  return await new Promise(resolve => {
    const { method, url, headers } = call
    let sent = false
    const finish = (result: HttpCallResult) => {
      clearTimeout(timer)
      progress.signal.removeEventListener('abort', handleAbort)
      resolve(result)
    }
    const fail = (message: string) => finish({ kind: sent ? 'noAnswer' : 'notSent', message: `${method} ${url.pathname}: ${message}` })
    const handleAbort = () => {
      finish({ kind: 'aborted', sent, message: `${method} ${url.pathname}: the caller gave up` })
      request.destroy()
    }
    const request = http.request(url, { method, headers, agent })
    const timer = setTimeout(() => {
      const message = `${method} ${url.pathname}: no answer within ${Math.round(call.timeoutMs)} ms`
      finish({ kind: 'timedOut', sent, message })
      request.destroy()
    }, call.timeoutMs)
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
          request.destroy()
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
    if (size > maxBytes) throw new Error(`the answer is larger than ${maxBytes} bytes`)
    parts.push(part)
  }
  return Buffer.concat(parts).toString('utf8')
}
