import { timingSafeEqual } from 'node:crypto'

import { JSONRPCServer } from 'json-rpc-2.0'

import { hashText } from '../base/identifiers'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RpcNotification } from './rpcClient'

const MAX_BODY_BYTES = 8 * 1024 * 1024

/** Access of a method handler to the call that it serves. */
export interface RpcCall {
  /** Sends notifications to the caller in one write. */
  notify (notifications: RpcNotification[]): void
  /** Returns whether the caller reads data more slowly than it is sent. */
  isCongested (): boolean
  /** Aborts when the caller's connection closes before the response is complete. */
  readonly closed: AbortSignal
}

/** Serves one JSON-RPC method and returns its result. */
export type RpcMethod = (params: unknown, call: RpcCall) => Promise<unknown>

/**
 * Answers the JSON-RPC calls of peer processes that present the fleet's secret.
 *
 * @example
 * const rpc = new RpcServer({ fleetSecret })
 * rpc.register('getLoad', async () => readLoad())
 * http.createServer((request, response) => rpc.handle(request, response))
 */
export class RpcServer {
  readonly #secretDigest: Buffer | null
  readonly #server = new JSONRPCServer<RpcCall>({ errorListener: () => {} })

  /** `fleetSecret` is null if only processes of the fleet can reach the address. */
  constructor (options: { fleetSecret: string | null }) {
    this.#secretDigest = options.fleetSecret === null ? null : Buffer.from(hashText(`Bearer ${options.fleetSecret}`))
    this.#server.mapErrorToJSONRPCErrorResponse = (id, error) =>
      ({ jsonrpc: '2.0', id, error: { code: -32000, message: String(error?.message ?? error).slice(0, 500) } })
  }

  /** Adds a method. `handler` validates its own parameters and throws an error that describes the fault. */
  register (method: string, handler: RpcMethod): void {
    this.#server.addMethod(method, handler)
  }

  /** Returns whether the request carries the fleet's secret. */
  isAuthorized (request: IncomingMessage): boolean {
    if (this.#secretDigest === null) return true
    const digest = Buffer.from(hashText(request.headers.authorization ?? ''))
    return timingSafeEqual(digest, this.#secretDigest)
  }

  /** Answers one HTTP request. */
  handle (request: IncomingMessage, response: ServerResponse): void {
    if (!this.isAuthorized(request)) {
      refuse(response, 401)
      return
    }
    readBody(request, body => this.#answer(body, response), () => refuse(response, 413))
  }

  #answer (body: string, response: ServerResponse): void {
    response.socket?.setNoDelay(true)
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    const call = new StreamedCall(response)
    Promise.resolve(this.#server.receiveJSON(body, call)).then(answer => {
      if (!response.destroyed) response.end(`${JSON.stringify(answer)}\n`)
    }, () => response.destroy())
  }
}

/** Writes the notifications of a call to its HTTP response. */
class StreamedCall implements RpcCall {
  readonly #response: ServerResponse
  readonly #closed = new AbortController()

  constructor (response: ServerResponse) {
    this.#response = response
    response.on('close', () => {
      if (!response.writableFinished) this.#closed.abort()
    })
    response.on('error', () => this.#closed.abort())
  }

  get closed (): AbortSignal {
    return this.#closed.signal
  }

  notify (notifications: RpcNotification[]): void {
    if (this.#response.destroyed || this.#response.writableEnded) return
    const lines = notifications.map(message => JSON.stringify({ jsonrpc: '2.0', method: message.method, params: message.params }))
    this.#response.write(`${lines.join('\n')}\n`)
  }

  isCongested (): boolean {
    return this.#response.writableNeedDrain
  }
}

/** Answers without a body, and closes the connection after the answer. */
function refuse (response: ServerResponse, status: number): void {
  response.shouldKeepAlive = false
  response.writeHead(status).end()
}

function readBody (request: IncomingMessage, handleBody: (body: string) => void, handleOversizedBody: () => void): void {
  const parts: Buffer[] = []
  let size = 0
  request.on('data', (part: Buffer) => {
    size += part.length
    if (size <= MAX_BODY_BYTES) parts.push(part)
  })
  request.on('end', () => {
    if (size > MAX_BODY_BYTES) handleOversizedBody()
    else handleBody(Buffer.concat(parts).toString('utf8'))
  })
  request.on('error', () => {})
}
