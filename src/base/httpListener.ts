import http from 'node:http'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Handles the requests of one path. */
export type PathHandler = (request: IncomingMessage, response: ServerResponse) => void

export interface HttpListenerOptions {
  /** Handlers by exact path; other paths get 404. */
  handlers: Record<string, PathHandler>
}

const HEADERS_TIMEOUT_MS = 10_000
const LISTEN_BACKLOG = 4096
const KEEP_ALIVE_MS = 65_000

/** HTTP server for the paths that only the fleet's processes and operators use. */
export class HttpListener {
  readonly #server: http.Server

  constructor (options: HttpListenerOptions) {
    this.#server = http.createServer({
      headersTimeout: HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      noDelay: true
    }, (request, response) => {
      request.on('error', () => {})
      response.on('error', () => {})
      const path = (request.url ?? '/').split('?')[0] ?? '/'
      const handler = Object.hasOwn(options.handlers, path) ? options.handlers[path] : undefined
      if (handler) handler(request, response)
      else response.writeHead(404, { connection: 'close' }).end()
    })
    this.#server.on('clientError', (_error, socket) => socket.destroy())
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

  /** Stops accepting connections and waits until the answers in flight are sent. */
  async drain (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeIdleConnections()
    await closed
  }

  /** Closes the server and its connections. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
