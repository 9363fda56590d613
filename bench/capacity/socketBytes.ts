import { subscribe } from 'node:diagnostics_channel'

import type { Socket } from 'node:net'

/** Counts the bytes of all connections that this process opens, without TCP and IP headers. */
export class SocketBytes {
  readonly #sockets = new Set<Socket>()
  #lastTotal = -1

  constructor () {
    subscribe('net.client.socket', message => {
      this.#sockets.add((message as { socket: Socket }).socket)
    })
  }

  /** Returns the bytes sent and received so far. */
  readTotal (): number {
    return [...this.#sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
  }

  /** Returns whether nothing was sent or received since the last call. */
  isIdle (): boolean {
    const total = this.readTotal()
    const isIdle = total === this.#lastTotal
    this.#lastTotal = total
    return isIdle
  }
}
