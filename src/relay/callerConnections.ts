import { waitForPendingInput } from './pendingInput'

import type { Socket } from 'node:net'
import type { Clock } from '../base/clock'

export interface CallerConnectionsOptions {
  clock: Clock
}

/** What a connection is used for: no request yet, requests without a written reply, idle after a request, or being closed. */
type ConnectionUse = 'fresh' | 'busy' | 'idle' | 'closing'

interface CallerConnection {
  readonly socket: Socket
  use: ConnectionUse
  /** Requests on this connection whose replies have not been written. */
  openRequests: number
  /** Whether the connection is closed after the replies in progress. */
  isLast: boolean
  /** Bytes read when the last request on it ended; more have been read once the head of another one begins to arrive. */
  bytesRead: number
  /** Monotonic milliseconds at which the last reply was written; null before the first. */
  answeredAtMs: number | null
}

/** Milliseconds that a connection accepted just before the stop has for its first request, which is already on its way. */
const FIRST_REQUEST_GRACE_MS = 300
/** Milliseconds that a caller has to close its side; it has everything once it does. Input is read and dropped meanwhile. */
const CLOSE_TIMEOUT_MS = 1000

/**
 * Tracks the connections of callers, and closes them so that no reply is lost. This side is closed first,
 * and what still arrives is read until the caller closes too: a connection that is closed with unread
 * input is reset, and the system then drops what it has not yet sent.
 */
export class CallerConnections {
  readonly #clock: Clock
  readonly #connections = new Map<Socket, CallerConnection>()
  /** Monotonic milliseconds since which connections are closed once they are idle; null before. */
  #closingSinceMs: number | null = null
  /** Monotonic milliseconds since which callers keep the time of the whole stop to read their replies; null before. */
  #stoppingSinceMs: number | null = null

  constructor (options: CallerConnectionsOptions) {
    this.#clock = options.clock
  }

  /** Counts the open connections. */
  count (): number {
    return this.#connections.size
  }

  /** Counts the connections whose request is on its way, is being read or has no written reply yet. */
  countBusy (): number {
    return [...this.#connections.values()].filter(connection => connection.use === 'fresh' || connection.use === 'busy' || hasPartialHead(connection)).length
  }

  add (socket: Socket): void {
    const connection: CallerConnection = { socket, use: 'fresh', openRequests: 0, isLast: false, bytesRead: 0, answeredAtMs: null }
    this.#connections.set(socket, connection)
    socket.once('close', () => this.#connections.delete(socket))
    // the server calls it after the last reply of a connection; the original closes without reading what arrives
    socket.destroySoon = () => this.#close(connection)
    // accepted in the same event-loop turn in which the process stopped accepting
    if (this.#closingSinceMs !== null) this.#scheduleUnusedClose(connection)
  }

  /** Records a request. Returns false when its connection is being closed, so that the request must be dropped. */
  beginRequest (socket: Socket): boolean {
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.use === 'closing') return false
    connection.use = 'busy'
    connection.openRequests += 1
    return true
  }

  /** Records that the reply to a request was written, or that its connection broke. */
  endRequest (socket: Socket): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.openRequests -= 1
    connection.answeredAtMs = this.#clock.getMonotonicMs()
    if (connection.openRequests > 0 || connection.use === 'closing') return
    connection.use = 'idle'
    connection.bytesRead = socket.bytesRead
    if (connection.isLast || this.#closingSinceMs !== null) this.#close(connection)
  }

  /** Returns whether requests on the connection have no written reply yet. */
  isBusy (socket: Socket): boolean {
    return this.#connections.get(socket)?.use === 'busy'
  }

  isClosing (socket: Socket): boolean {
    return this.#connections.get(socket)?.use === 'closing'
  }

  /** Closes the connection after the replies in progress; at once when there are none. */
  closeAfterReplies (socket: Socket): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined) return
    connection.isLast = true
    if (connection.use !== 'busy') this.#close(connection)
  }

  /** Closes an idle connection, unless a request has arrived that was not read yet. */
  async closeIfIdle (socket: Socket): Promise<void> {
    await waitForPendingInput()
    const connection = this.#connections.get(socket)
    if (connection?.use === 'idle' && !hasPartialHead(connection)) this.#close(connection)
  }

  /** Leaves callers the whole stop to read the replies that are written from now on. */
  startLeaving (): void {
    this.#stoppingSinceMs ??= this.#clock.getMonotonicMs()
  }

  /** Closes the connections without a request, and the others after their replies. */
  startClosing (): void {
    this.#closingSinceMs = this.#clock.getMonotonicMs()
    for (const connection of this.#connections.values()) {
      if (connection.use === 'fresh') this.#scheduleUnusedClose(connection)
      else if (connection.use === 'idle') this.#closeUnused(connection).catch(() => {})
    }
  }

  #close (connection: CallerConnection): void {
    if (connection.use === 'closing') return
    const { socket } = connection
    connection.use = 'closing'
    socket.end(() => {
      setTimeout(() => { if (!this.#hasReplyOfStop(connection)) socket.destroy() }, CLOSE_TIMEOUT_MS).unref()
    })
  }

  #hasReplyOfStop ({ answeredAtMs }: CallerConnection): boolean {
    return this.#stoppingSinceMs !== null && answeredAtMs !== null && answeredAtMs >= this.#stoppingSinceMs
  }

  /** Closes a connection on which no request arrives within the grace period. */
  #scheduleUnusedClose (connection: CallerConnection): void {
    setTimeout(() => { this.#closeUnused(connection).catch(() => {}) }, FIRST_REQUEST_GRACE_MS).unref()
  }

  /** Closes a connection without a request; one on which a head has begun to arrive is checked again. */
  async #closeUnused (connection: CallerConnection): Promise<void> {
    await waitForPendingInput()
    if (connection.use !== 'fresh' && connection.use !== 'idle') return
    if (hasPartialHead(connection)) this.#scheduleUnusedClose(connection)
    else this.#close(connection)
  }
}

function hasPartialHead ({ use, socket, bytesRead }: CallerConnection): boolean {
  return (use === 'fresh' || use === 'idle') && socket.bytesRead > bytesRead
}
