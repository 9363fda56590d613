import { Agent } from 'node:http'

import type { ClientRequest } from 'node:http'
import type { Duplex } from 'node:stream'

export interface EndpointAgentOptions {
  /** Milliseconds for which an idle connection is kept when the endpoint does not say. */
  idleMs: number
  /** Idle connections kept to one endpoint. */
  maxIdle: number
}

/**
 * Keeps connections to endpoints for reuse. A connection on which bytes come while nothing is
 * asked on it is closed, so that they are never taken for the answer to a later request.
 */
export class EndpointAgent extends Agent {
  readonly #idleDataHandlers = new WeakMap<Duplex, () => void>()

  constructor (options: EndpointAgentOptions) {
    super({ keepAlive: true, scheduling: 'lifo', timeout: options.idleMs, maxFreeSockets: options.maxIdle, noDelay: true })
  }

  /** Called by the library when an answer has ended; false closes the connection. */
  override keepSocketAlive (socket: Duplex): boolean {
    // the types lack the result, which the library reads
    const isKept = super.keepSocketAlive(socket) as unknown as boolean
    if (!isKept || socket.readableLength > 0) return false
    const destroySocket = () => { socket.destroy() }
    this.#idleDataHandlers.set(socket, destroySocket)
    socket.on('data', destroySocket)
    return true
  }

  /** Called by the library when an idle connection gets its next request. */
  override reuseSocket (socket: Duplex, request: ClientRequest): void {
    const handleIdleData = this.#idleDataHandlers.get(socket)
    if (handleIdleData !== undefined) socket.off('data', handleIdleData)
    super.reuseSocket(socket, request)
  }
}
