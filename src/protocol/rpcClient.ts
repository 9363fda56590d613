import http from 'node:http'

import { JSONRPCClient } from 'json-rpc-2.0'
import { Result } from 'true-myth'

import { resetRequest } from '../base/resetRequest'
import { TimeLimit } from '../base/timeLimit'
import { LineSplitter } from './lineSplitter'
import { RPC_PATH } from './attemptMessages'

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0'
import type { Progress } from '../base/progress'
import type { RpcError } from './rpcError'

const MAX_LINE_LENGTH = 8 * 1024 * 1024
const CONNECT_TIMEOUT_MS = 1000
const MAX_IDLE_SOCKETS = 64
const STREAM_END_TIMEOUT_MS = 1000

/** A received JSON-RPC notification. Its parameters are not validated yet. */
export interface RpcNotification {
  method: string
  params: unknown
}

export interface RpcClientOptions {
  /** `host:port` of the peer. */
  address: string
  /** Shared secret of the fleet. Null if only processes of the fleet can reach the peer's address. */
  fleetSecret: string | null
}

export interface RpcCallOptions {
  progress: Progress
  /** Timeout in milliseconds for the first message. The call is lost when it expires. */
  firstMessageMs: number
  /** Idle timeout in milliseconds after the first message. The call is lost when it expires. */
  silenceMs: number
  /** Whether to open a new connection instead of using a pooled one. */
  newConnection?: boolean
  /** Handles the notifications of one read. A returned promise pauses reading until it settles. */
  onNotifications?: (notifications: RpcNotification[]) => Promise<void> | void
}

/**
 * Calls one peer process by JSON-RPC 2.0 over HTTP. The answer is a stream of notifications followed
 * by the response, one message per line.
 *
 * @example
 * const client = new RpcClient({ address: '127.0.0.1:7100', fleetSecret })
 * const result = await client.call('getLoad', {}, { progress, firstMessageMs: 250, silenceMs: 3000 })
 */
export class RpcClient {
  readonly #options: RpcClientOptions
  #agent = createAgent()

  constructor (options: RpcClientOptions) {
    this.#options = options
  }

  get address (): string {
    return this.#options.address
  }

  /** Calls `method`. Resolves with the result or a typed error and never rejects. */
  async call (method: string, params: unknown, options: RpcCallOptions): Promise<Result<unknown, RpcError>> {
    const exchange = new RpcExchange(this.#options, options.newConnection ? false : this.#agent, options)
    const result = await exchange.run(method, params)
    if (result.isErr && result.error.kind === 'lost') this.#closeIdleConnections()
    return result
  }

  /** Closes all connections of the pool, including those of calls in flight. */
  close (): void {
    for (const socket of listSockets(this.#agent.sockets)) socket.resetAndDestroy()
    this.#agent.destroy()
  }

  /** Closes the idle connections of the pool, because the fault of one connection may affect them too. Calls in flight keep their connections. */
  #closeIdleConnections (): void {
    for (const socket of listSockets(this.#agent.freeSockets)) socket.destroy()
  }
}

function listSockets (sockets: NodeJS.ReadOnlyDict<Socket[]>): Socket[] {
  return Object.values(sockets).flatMap(list => list ?? [])
}

function createAgent (): http.Agent {
  return new http.Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_SOCKETS })
}

/** Runs one call: an HTTP request, its streamed messages and its timeouts. */
class RpcExchange {
  readonly #client: RpcClientOptions
  readonly #agent: http.Agent | false
  readonly #options: RpcCallOptions
  readonly #splitter = new LineSplitter({ maxLineLength: MAX_LINE_LENGTH })
  readonly #rpc: JSONRPCClient
  #request: http.ClientRequest | null = null
  #limit: TimeLimit | null = null
  #connected = false
  #responseReceived = false
  #fail: (error: RpcError) => void = () => {}

  constructor (client: RpcClientOptions, agent: http.Agent | false, options: RpcCallOptions) {
    this.#client = client
    this.#agent = agent
    this.#options = options
    this.#rpc = new JSONRPCClient(payload => this.#send(payload))
  }

  async run (method: string, params: unknown): Promise<Result<unknown, RpcError>> {
    const failure = new Promise<Result<unknown, RpcError>>(resolve => {
      this.#fail = error => resolve(Result.err(error))
    })
    const { signal } = this.#options.progress
    const handleAbort = () => this.#fail({ kind: this.#connected ? 'lost' : 'notSent', message: 'the call was aborted' })
    signal.addEventListener('abort', handleAbort, { once: true })
    if (signal.aborted) handleAbort()
    try {
      const response = this.#rpc.requestAdvanced({ jsonrpc: '2.0', id: 1, method, params: params as JSONRPCRequest['params'] })
      return await Promise.race([failure, Promise.resolve(response).then(toResult, toLostResult)])
    } finally {
      signal.removeEventListener('abort', handleAbort)
      this.#close()
    }
  }

  #send (payload: unknown): void {
    if (this.#options.progress.signal.aborted) return
    const body = Buffer.from(JSON.stringify(payload))
    const [host, port] = this.#client.address.split(':')
    const request = http.request({
      host,
      port: Number(port),
      method: 'POST',
      path: RPC_PATH,
      agent: this.#agent,
      headers: {
        'content-type': 'application/json',
        'content-length': body.length,
        ...this.#client.fleetSecret === null ? {} : { authorization: `Bearer ${this.#client.fleetSecret}` }
      }
    })
    this.#request = request
    request.setNoDelay(true)
    request.on('socket', socket => {
      const markConnected = () => { this.#connected = true }
      if (socket.connecting) socket.once('connect', markConnected)
      else markConnected()
    })
    request.on('response', response => this.#receive(response))
    request.on('error', error => this.#failLost(error.message))
    this.#startTimeout(Math.min(CONNECT_TIMEOUT_MS, this.#options.firstMessageMs), 'the first message')
    request.end(body)
  }

  #receive (response: IncomingMessage): void {
    if (response.statusCode !== 200) {
      response.resume()
      this.#fail({ kind: 'rejected', code: response.statusCode ?? 0, message: `the peer answered HTTP ${response.statusCode}` })
      return
    }
    this.#startTimeout(this.#options.firstMessageMs, 'the first message')
    response.on('data', (bytes: Buffer) => this.#receiveBytes(response, bytes))
    response.on('end', () => this.#handleEnd('the peer closed the stream before its response'))
    response.on('error', error => this.#handleEnd(error.message))
  }

  #receiveBytes (response: IncomingMessage, bytes: Buffer): void {
    this.#startTimeout(this.#options.silenceMs, 'the next message')
    const messages = this.#parse(bytes)
    if (messages === null) return
    const notifications = messages.filter(isNotification)
    const final = messages.find(message => !isNotification(message)) as JSONRPCResponse | undefined
    if (final !== undefined) this.#responseReceived = true
    const handled = notifications.length > 0 ? this.#options.onNotifications?.(notifications) : undefined
    if (handled === undefined) {
      this.#receiveResponse(final)
      return
    }
    response.pause()
    this.#clearTimeout()
    handled.then(() => {
      response.resume()
      if (!this.#responseReceived) this.#startTimeout(this.#options.silenceMs, 'the next message')
      this.#receiveResponse(final)
    }, (error: Error) => this.#fail({ kind: 'malformed', message: error.message }))
  }

  #receiveResponse (final: JSONRPCResponse | undefined): void {
    if (final !== undefined) this.#rpc.receive(final)
  }

  #parse (bytes: Buffer): unknown[] | null {
    try {
      return this.#splitter.push(bytes).map(line => JSON.parse(line))
    } catch (error) {
      this.#fail({ kind: 'malformed', message: `the peer sent a line that is not JSON: ${String(error).slice(0, 200)}` })
      return null
    }
  }

  /** Stops the idle timeout. It must not run while this side has paused reading. */
  #clearTimeout (): void {
    this.#limit?.cancel()
  }

  #startTimeout (milliseconds: number, awaited: string): void {
    this.#clearTimeout()
    this.#limit = new TimeLimit(this.#options.progress.clock, milliseconds, () => this.#failLost(`no byte within ${milliseconds} ms while waiting for ${awaited}`))
  }

  /** Fails the call if the stream ended without a response. A response that was received counts, even if its notifications are still being handled. */
  #handleEnd (message: string): void {
    if (!this.#responseReceived) this.#failLost(message)
  }

  #failLost (message: string): void {
    this.#fail({ kind: this.#connected ? 'lost' : 'notSent', message: `${this.#client.address}: ${message}` })
  }

  #close (): void {
    this.#clearTimeout()
    this.#fail = () => {}
    const request = this.#request
    if (request === null) return
    if (this.#responseReceived) destroyUnlessEnded(request)
    else resetRequest(request)
  }
}

/** Returns the connection of an answered call to the pool. Closes it if its stream does not end in time. */
function destroyUnlessEnded (request: http.ClientRequest): void {
  const timer = setTimeout(() => request.destroy(), STREAM_END_TIMEOUT_MS)
  timer.unref()
  request.once('close', () => clearTimeout(timer))
}

function isNotification (message: unknown): message is RpcNotification {
  return typeof message === 'object' && message !== null && 'method' in message
}

function toResult (response: JSONRPCResponse): Result<unknown, RpcError> {
  if (response.error) return Result.err({ kind: 'rejected', code: response.error.code, message: response.error.message })
  return Result.ok(response.result)
}

function toLostResult (error: Error): Result<unknown, RpcError> {
  return Result.err({ kind: 'lost', message: error.message })
}
