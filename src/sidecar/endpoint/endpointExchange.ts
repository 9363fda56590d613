import http from 'node:http'

import { resetRequest } from '../../base/resetRequest'
import { watchAnswerHead } from '../../protocol/answerHead'
import { isFinalStatus } from '../../protocol/answerStatus'

import type { IncomingMessage } from 'node:http'
import type { EndpointEnd } from './endpointRun'

const CONNECT_TIMEOUT_MS = 1000

export interface EndpointExchangeOptions {
  /** `host:port` of the endpoint. */
  address: string
  method: string
  path: string
  headers: Record<string, string>
  body: Buffer
  agent: http.Agent
  silenceMs: number
  signal: AbortSignal
  /** Reads the answer; calls `finish` when it is complete. */
  readAnswer: (response: IncomingMessage, finish: (end: EndpointEnd) => void) => void
}

/** Runs one HTTP exchange with the endpoint. Detects refused and broken connections, idle timeouts and cancellation. */
export async function runExchange (options: EndpointExchangeOptions): Promise<EndpointEnd> {
  return await new Promise(resolve => {
    const [host, port] = options.address.split(':')
    const request = http.request({
      host,
      port: Number(port),
      method: options.method,
      path: options.path,
      agent: options.agent,
      headers: { ...options.headers, 'content-length': options.body.length }
    })
    const state = new ExchangeState(request, options, resolve)
    request.setNoDelay(true)
    request.on('socket', socket => {
      state.startConnectTimer(socket.connecting, socket)
      const stopWatchingHead = watchAnswerHead(socket, () => state.finishBroken('the head of the answer is not valid'))
      request.once('close', stopWatchingHead)
    })
    request.on('error', error => state.finishBroken(error.message))
    request.on('response', response => {
      if (state.hasEnded) return
      if (!isFinalStatus(response.statusCode ?? 0)) return state.finishBroken(`the endpoint sent status ${response.statusCode}`)
      response.on('data', () => state.resetIdleTimer())
      response.on('error', error => state.finishBroken(error.message))
      options.readAnswer(response, end => state.finish(end))
      response.on('end', () => state.finishBroken('the answer ended before it was whole'))
    })
    request.end(options.body)
  })
}

/** Timers and end of one exchange with the endpoint. */
class ExchangeState {
  readonly #request: http.ClientRequest
  readonly #options: EndpointExchangeOptions
  readonly #resolve: (end: EndpointEnd) => void
  #timer: NodeJS.Timeout | null = null
  #connected = false
  #ended = false

  constructor (request: http.ClientRequest, options: EndpointExchangeOptions, resolve: (end: EndpointEnd) => void) {
    this.#request = request
    this.#options = options
    this.#resolve = resolve
    options.signal.addEventListener('abort', this.#handleAbort, { once: true })
    if (options.signal.aborted) this.#handleAbort()
  }

  startConnectTimer (connecting: boolean, socket: { once (event: 'connect', listener: () => void): unknown }): void {
    if (!connecting) return this.#markConnected()
    socket.once('connect', () => this.#markConnected())
    this.#setTimer(CONNECT_TIMEOUT_MS, () => this.finish({ kind: 'notStarted', message: 'the endpoint did not accept the connection' }))
  }

  resetIdleTimer (): void {
    if (this.#ended) return
    const { silenceMs } = this.#options
    this.#setTimer(silenceMs, () => this.finish({ kind: 'silent', message: `no byte from the endpoint within ${silenceMs} ms` }))
  }

  get hasEnded (): boolean {
    return this.#ended
  }

  finishBroken (message: string): void {
    this.finish(this.#connected ? { kind: 'broken', message } : { kind: 'notStarted', message })
  }

  finish (end: EndpointEnd): void {
    if (this.#ended) return
    this.#ended = true
    if (this.#timer) clearTimeout(this.#timer)
    this.#options.signal.removeEventListener('abort', this.#handleAbort)
    if (end.kind !== 'completed' && end.kind !== 'rejected') resetRequest(this.#request)
    this.#resolve(end)
  }

  readonly #handleAbort = (): void => {
    this.finish(this.#connected ? { kind: 'cancelled' } : { kind: 'notStarted', message: 'cancelled before the connection was made' })
  }

  #markConnected (): void {
    this.#connected = true
    this.resetIdleTimer()
  }

  #setTimer (milliseconds: number, handle: () => void): void {
    if (this.#timer) clearTimeout(this.#timer)
    this.#timer = setTimeout(handle, milliseconds)
  }
}
