import { BoundedMap } from '../base/boundedMap'

import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../base/clock'

const MAX_ADDRESSES = 4096

/**
 * Tracks the open connections to endpoints. A connection that stays open shows that the process at its other
 * end is still the one that it was opened to.
 */
export class EndpointConnections {
  readonly #clock: Clock
  /** Monotonic milliseconds at which each open connection was established, by address. */
  readonly #openedAtMs = new Map<string, Map<Socket, number>>()
  readonly #addresses = new WeakMap<Duplex, string>()
  /** Monotonic milliseconds at which each address last ended an idle connection. */
  readonly #idleEndedAtMs = new BoundedMap<string, number>(MAX_ADDRESSES)

  constructor (options: { clock: Clock }) {
    this.#clock = options.clock
  }

  /** Adds a connection that was just established. */
  add (address: string, socket: Socket): void {
    const connections = this.#openedAtMs.get(address) ?? new Map<Socket, number>()
    this.#openedAtMs.set(address, connections)
    connections.set(socket, this.#clock.getMonotonicMs())
    this.#addresses.set(socket, address)
    socket.once('close', () => {
      connections.delete(socket)
      if (connections.size === 0 && this.#openedAtMs.get(address) === connections) this.#openedAtMs.delete(address)
    })
  }

  /** Records that the other side ended an idle connection. */
  recordIdleEnd (socket: Duplex): void {
    const address = this.#addresses.get(socket)
    if (address !== undefined) this.#idleEndedAtMs.set(address, this.#clock.getMonotonicMs())
  }

  /** Returns when the address last ended an idle connection, in monotonic milliseconds; null when it did not. */
  getIdleEndedAt (address: string): number | null {
    return this.#idleEndedAtMs.get(address) ?? null
  }

  /** Returns whether a connection to the address has been open since `sinceMs`, in monotonic milliseconds. */
  hasOpenSince (address: string, sinceMs: number): boolean {
    const connections = this.#openedAtMs.get(address)
    return connections !== undefined && [...connections].some(([socket, openedAtMs]) => openedAtMs <= sinceMs && !socket.readableEnded && !socket.destroyed)
  }
}
