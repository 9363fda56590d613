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

/**
 * Keeps connections to endpoints for reuse. Closes an idle connection on which bytes arrive, so that
 * they are never taken for the answer to a later request.
 */
export class EndpointAgent extends Agent {
  readonly #idleDataHandlers = new WeakMap<Duplex, () => void>()
  readonly #handleIdleEnd: (socket: Duplex) => void
  readonly #idleEndHandlers = new WeakMap<Duplex, () => void>()

  constructor (options: EndpointAgentOptions) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: options.idleMs, maxFreeSockets: options.maxIdle, noDelay: true })
    this.#handleIdleEnd = options.handleIdleEnd ?? (() => {})
  }

  /** Called by Node.js when an answer has ended; returning false closes the connection. */
  override keepSocketAlive (socket: Duplex): boolean {
    // the type declarations omit the result, which Node.js reads
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept || socket.readableLength > 0) return false
    const handleIdleData = () => { socket.destroy() }
    this.#idleDataHandlers.set(socket, handleIdleData)
    socket.on('data', handleIdleData)
    const handleIdleEnd = () => this.#handleIdleEnd(socket)
    this.#idleEndHandlers.set(socket, handleIdleEnd)
    socket.on('end', handleIdleEnd)
    socket.on('error', handleIdleEnd)
    return true
  }

  /** Called by Node.js when an idle connection is reused for a request. */
  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    const handleIdleData = this.#idleDataHandlers.get(socket)
    if (handleIdleData !== undefined) socket.off('data', handleIdleData)
    const handleIdleEnd = this.#idleEndHandlers.get(socket)
    if (handleIdleEnd !== undefined) socket.off('end', handleIdleEnd).off('error', handleIdleEnd)
    super.reuseSocket(socket, request)
  }
}
