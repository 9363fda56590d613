import { Agent } from 'node:http'

import type { ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'

export interface EndpointAgentOptions {
  /** Milliseconds for which an idle connection is kept when the endpoint names no time. */
  idleMs: number
  /** Maximum number of idle connections kept per endpoint. */
  maxIdle: number
  /** Called when the endpoint ends or resets an idle connection. */
  handleIdleEnd?: (socket: Duplex) => void
}

/** Listeners of an idle connection. */
interface IdleHandlers {
  handleData: () => void
  handleEnd: () => void
}

/**
 * Keeps connections to endpoints for reuse. Closes an idle connection on which bytes arrive, so that
 * they are never taken for the answer to a later request.
 */
export class EndpointAgent extends Agent {
  readonly #idleHandlers = new WeakMap<Duplex, IdleHandlers>()
  readonly #handleIdleEnd: (socket: Duplex) => void

  constructor (options: EndpointAgentOptions) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: options.idleMs, maxFreeSockets: options.maxIdle, noDelay: true })
    this.#handleIdleEnd = options.handleIdleEnd ?? (() => {})
  }

  /** Called by Node.js when an answer has ended; returning false closes the connection. */
  override keepSocketAlive (socket: Duplex): boolean {
    // the type declarations omit the result, which Node.js reads
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept || socket.readableLength > 0) return false
    const handlers: IdleHandlers = { handleData: () => { socket.destroy() }, handleEnd: () => this.#handleIdleEnd(socket) }
    this.#idleHandlers.set(socket, handlers)
    socket.on('data', handlers.handleData).on('end', handlers.handleEnd).on('error', handlers.handleEnd)
    return true
  }

  /** Called by Node.js when an idle connection is reused for a request. */
  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    const handlers = this.#idleHandlers.get(socket)
    if (handlers !== undefined) socket.off('data', handlers.handleData).off('end', handlers.handleEnd).off('error', handlers.handleEnd)
    super.reuseSocket(socket, request)
  }
}
