import http from 'node:http'
import { setTimeout as waitFor } from 'node:timers/promises'

import { CallerConnections } from './callerConnections'
import { systemClock } from './clock'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Handles the requests of one path. */
export type PathHandler = (request: IncomingMessage, response: ServerResponse) => void

export interface HttpListenerOptions {
  /** Handlers by exact path; other paths get 404. */
  handlers: Record<string, PathHandler>
}

const HEADERS_TIMEOUT_MS = 10_000
const LISTEN_BACKLOG = 4096
const KEEP_ALIVE_MS = 65_000
/** Milliseconds that callers have at the end of a drain to read what was written to them, and to close. */
const DELIVERY_TIMEOUT_MS = 5000
const DRAIN_POLL_MS = 10
const MALFORMED_REPLY = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

/** HTTP server for the paths that only the fleet's processes and operators use. */
export class HttpListener {
  readonly #options: HttpListenerOptions
  readonly #server: http.Server
  readonly #connections: CallerConnections
  /** Replies that have not ended. */
  readonly #replies = new Set<ServerResponse>()

  constructor (options: HttpListenerOptions) {
    this.#options = options
    this.#server = http.createServer({
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true
    }, (request, response) => this.#handleRequest(request, response))
    this.#connections = new CallerConnections({ clock: systemClock, server: this.#server, reportError: () => {} })
    this.#server.on('clientError', (_error, socket) => this.#connections.refuseMalformed(socket as Socket, MALFORMED_REPLY))
  }

  /**
   * Starts listening and returns the `host:port` in use.
   *
   * @throws the system's error when the address is in use or does not belong to this machine
   */
  async listen (address: { host: string, port: number }): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ ...address, backlog: LISTEN_BACKLOG }, resolve)
    })
    const { address: host, port } = this.#server.address() as AddressInfo
    return `${host}:${port}`
  }

  /** Stops accepting connections, and waits until the answers in flight have ended and callers have had time to read them. */
  async drain (): Promise<void> {
    this.#connections.startLeaving()
    this.#connections.startClosing()
    while (this.#replies.size > 0) await waitFor(DRAIN_POLL_MS)
    await this.#connections.waitUntilClosed(DELIVERY_TIMEOUT_MS)
  }

  /** Closes the server and its connections. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #handleRequest (request: IncomingMessage, response: ServerResponse): void {
    request.on('error', () => {})
    response.on('error', () => {})
    if (!this.#connections.beginRequest(request, response)) return
    this.#replies.add(response)
    for (const event of ['prefinish', 'close']) response.once(event, () => this.#replies.delete(response))
    const path = (request.url ?? '/').split('?')[0] ?? '/'
    const handler = Object.hasOwn(this.#options.handlers, path) ? this.#options.handlers[path] : undefined
    if (handler) return handler(request, response)
    response.shouldKeepAlive = false
    response.writeHead(404).end()
  }
}
