import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

const MAX_BODY_BYTES = 16 * 1024 * 1024
const REOPEN_RETRY_DELAY_MS = 10

export interface ListenOptions {
  host?: string
  /** 0 selects a free port. */
  port?: number
}

export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void> | void

/** Error that a stand-in answers with `status` and a JSON body. */
export class HttpError extends Error {
  constructor (readonly status: number, message: string) {
    super(message)
  }
}

/** HTTP server of a stand-in, with the connection faults that all stand-ins share. */
export class HttpServer {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #stalledSockets = new WeakSet<Socket>()
  readonly #host: string
  #port: number

  constructor (handler: HttpHandler, options: ListenOptions) {
    this.#host = options.host ?? '127.0.0.1'
    this.#port = options.port ?? 0
    this.#server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      if (!this.isStalled(request)) serveRequest(handler, request, response)
    })
    this.#server.on('connection', socket => this.#addSocket(socket))
  }

  /** Returns the `host:port` on which the server listens. */
  get address (): string {
    return `${this.#host}:${this.#port}`
  }

  get url (): string {
    return `http://${this.address}`
  }

  /** Starts to listen; after `close`, listens on the same port again. */
  async open (): Promise<void> {
    while (!await this.#beginListening()) await sleep(REOPEN_RETRY_DELAY_MS)
    this.#port = (this.#server.address() as AddressInfo).port
  }

  /** Closes every connection and stops listening. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.abortConnections()
    await closed
  }

  abortConnections (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  /** Stalls every open connection except `excluded` permanently; later connections work. */
  setConnectionsStalled (excluded?: Socket): void {
    for (const socket of this.#sockets) {
      if (socket === excluded) continue
      socket.cork()
      socket.uncork = () => {} // the end of an HTTP response would uncork its socket
      this.#stalledSockets.add(socket)
    }
  }

  isStalled (request: IncomingMessage): boolean {
    return this.#stalledSockets.has(request.socket)
  }

  #addSocket (socket: Socket): void {
    this.#sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => this.#sockets.delete(socket))
  }

  async #beginListening (): Promise<boolean> {
    return await new Promise((resolve, reject) => {
      const handleError = (error: NodeJS.ErrnoException) => {
        if (error.code === 'EADDRINUSE' && this.#port !== 0) resolve(false)
        else reject(error)
      }
      this.#server.once('error', handleError)
      this.#server.listen(this.#port, this.#host, () => {
        this.#server.off('error', handleError)
        resolve(true)
      })
    })
  }
}

/**
 * Reads the whole body of `request`.
 *
 * @throws HttpError 413 above 16 megabytes
 */
export async function readBody (request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  let size = 0
  for await (const part of request as AsyncIterable<Buffer>) {
    size += part.length
    if (size > MAX_BODY_BYTES) throw new HttpError(413, 'the body is too large')
    parts.push(part)
  }
  return Buffer.concat(parts).toString('utf8')
}

/**
 * Reads the body of `request` as JSON.
 *
 * @throws HttpError 400 when it is not JSON
 */
export async function readJson (request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request)
  try {
    return JSON.parse(body)
  } catch {
    throw new HttpError(400, 'the body is not JSON')
  }
}

export function sendJson (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  if (response.destroyed || response.writableEnded) return
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}

async function serveRequest (handler: HttpHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  try {
    await handler(request, response)
  } catch (error) {
    const status = error instanceof HttpError ? error.status : 500
    if (response.headersSent) response.destroy()
    else sendJson(response, status, { error: String((error as Error).message) })
  }
}
