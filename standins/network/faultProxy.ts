import { connect, createServer } from 'node:net'

import type { AddressInfo, Server, Socket } from 'node:net'

/** Direction of bytes: `forth` from the client that opened the connection to the target, `back` to the client. */
export type Direction = 'forth' | 'back'

interface PendingDelivery {
  dueAtMs: number
  deliver: () => void
}

/** Relays one direction of one connection. */
class DirectionRelay {
  readonly #pending: PendingDelivery[] = []
  readonly #isBlocked: () => boolean
  #timer: NodeJS.Timeout | null = null
  isStalled = false

  constructor (from: Socket, to: Socket, isBlocked: () => boolean, getDelayMs: () => number) {
    this.#isBlocked = isBlocked
    const enqueue = (deliver: () => void) => {
      this.#pending.push({ dueAtMs: performance.now() + getDelayMs(), deliver })
      this.flush()
    }
    from.on('data', bytes => enqueue(() => { to.write(bytes) }))
    from.on('end', () => enqueue(() => { to.end() }))
    from.on('close', () => enqueue(() => { to.destroy() }))
    from.on('error', () => enqueue(() => { to.resetAndDestroy() }))
  }

  /** Delivers the pending bytes and connection events that are due. */
  flush (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
    this.#timer = null
    while (!this.isStalled && !this.#isBlocked()) {
      const [next] = this.#pending
      if (next === undefined) return
      const waitMs = next.dueAtMs - performance.now()
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.flush(), waitMs)
        return
      }
      this.#pending.shift()
      next.deliver()
    }
  }
}

interface ProxiedConnection {
  clientSocket: Socket
  targetSocket: Socket
  relays: Record<Direction, DirectionRelay>
}

/**
 * Forwards connections to one loopback address and injects network faults: delays, resets, blocked
 * directions, and connections that stall permanently.
 *
 * @example
 * const proxy = await startFaultProxy('127.0.0.1:7100')
 * proxy.setBlockedDirections(['back'])
 */
export class FaultProxy {
  readonly #server: Server
  readonly #connections = new Set<ProxiedConnection>()
  #target: string
  #blockedDirections: readonly Direction[] = []
  #delayMs = 0
  #address = ''

  constructor (target: string) {
    this.#target = target
    this.#server = createServer({ noDelay: true, allowHalfOpen: true }, clientSocket => this.#handleConnection(clientSocket))
  }

  get address (): string {
    return this.#address
  }

  countConnections (): number {
    return this.#connections.size
  }

  async open (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    for (const { clientSocket, targetSocket } of this.#connections) {
      clientSocket.destroy()
      targetSocket.destroy()
    }
    await closed
  }

  /** Delays all later bytes and connection events, in each direction. */
  setDelay (milliseconds: number): void {
    this.#delayMs = milliseconds
  }

  /** Blocks these directions of open and new connections until the next call; blocked bytes are kept and delivered later. */
  setBlockedDirections (directions: readonly Direction[]): void {
    this.#blockedDirections = directions
    for (const { relays } of this.#connections) for (const relay of Object.values(relays)) relay.flush()
  }

  abortConnections (): void {
    for (const { clientSocket, targetSocket } of this.#connections) {
      clientSocket.resetAndDestroy()
      targetSocket.resetAndDestroy()
    }
  }

  /** Stalls the open connections permanently: neither bytes nor their close are delivered. New connections work. */
  setConnectionsStalled (): void {
    for (const { relays } of this.#connections) for (const relay of Object.values(relays)) relay.isStalled = true
  }

  #handleConnection (clientSocket: Socket): void {
    const [host, port] = this.#target.split(':')
    const targetSocket = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true })
    const createRelay = (direction: Direction, from: Socket, to: Socket) => new DirectionRelay(from, to, () => this.#blockedDirections.includes(direction), () => this.#delayMs)
    const connection: ProxiedConnection = { clientSocket, targetSocket, relays: { forth: createRelay('forth', clientSocket, targetSocket), back: createRelay('back', targetSocket, clientSocket) } }
    this.#connections.add(connection)
    const removeConnection = () => { if (clientSocket.destroyed && targetSocket.destroyed) this.#connections.delete(connection) }
    clientSocket.on('close', removeConnection)
    targetSocket.on('close', removeConnection)
  }
}

/** Starts a proxy for connections to `target`, a `host:port`. */
export async function startFaultProxy (target: string): Promise<FaultProxy> {
  const proxy = new FaultProxy(target)
  await proxy.open()
  return proxy
}
