import { Server as NetServer } from 'node:net'

import { waitForPendingInput } from './pendingInput'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from './clock'

export interface CallerConnectionsOptions {
  clock: Clock
  /** Server of the connections. */
  server: Server
  /** Receives unexpected errors. */
  reportError: (error: unknown) => void
}

/** What a connection is used for: no request yet, requests without a written reply, idle after a request, or being closed. */
type ConnectionUse = 'fresh' | 'busy' | 'idle' | 'closing'

interface CallerConnection {
  readonly socket: Socket
  use: ConnectionUse
  /** Requests whose heads have arrived. */
  requests: number
  /** Replies on this connection that have not been written. */
  readonly openReplies: Set<ServerResponse>
  /** The newest request, until it is read to its end and its reply is written. */
  newest: { request: IncomingMessage, response: ServerResponse } | null
  /** Whether the connection is closed after the replies in progress. */
  isLast: boolean
  /** Bytes read when the last request on it ended; more have been read once the head of another one begins to arrive. */
  bytesRead: number
  /** Monotonic milliseconds at which the last reply was written; null before the first. */
  answeredAtMs: number | null
}

/** Milliseconds that a connection accepted just before the stop has for its first request, which is already on its way. */
const FIRST_REQUEST_GRACE_MS = 300
/** Milliseconds that a caller without a recent reply has to close its side. Input is read and dropped meanwhile. */
const CLOSE_TIMEOUT_MS = 1000
/** Milliseconds that a caller has to read a reply that was written. */
const READ_TIMEOUT_MS = 5000
const CLOSE_POLL_MS = 10

/**
 * Tracks the connections of an HTTP server's callers, and closes them so that no reply is lost. This side is
 * closed first, and what still arrives is read until the caller closes too: a connection that is closed with
 * unread input is reset, and the system then drops what it has not yet sent.
 */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions
  readonly #connections = new Map<Socket, CallerConnection>()
  /** Monotonic milliseconds since which connections are closed once they are idle; null before. */
  #closingSinceMs: number | null = null
  /** Monotonic milliseconds since which callers keep the time of the whole stop to read their replies; null before. */
  #stoppingSinceMs: number | null = null

  constructor (options: CallerConnectionsOptions) {
    this.#options = options
    const { server, reportError } = options
    server.on('connection', socket => this.#add(socket))
    // with this listener, the server itself closes no idle connection
    server.on('timeout', socket => { this.#closeIfIdle(socket).catch(reportError) })
  }

  /** Counts the open connections. */
  count (): number {
    return this.#connections.size
  }

  /** Counts the open connections that are not being closed. */
  countInUse (): number {
    let count = 0
    for (const { use } of this.#connections.values()) if (use !== 'closing') count += 1
    return count
  }

  /** Counts the connections whose request is on its way, is being read or has no written reply yet. */
  countBusy (): number {
    // an idle connection that is to be closed may still have a request that was not read yet
    const mayHaveInput = this.#closingSinceMs !== null
    return [...this.#connections.values()].filter(connection => connection.use === 'fresh' || connection.use === 'busy' || (connection.use === 'idle' && mayHaveInput) || hasPartialHead(connection)).length
  }

  /**
   * Records a request until its reply is written or its connection breaks. Returns false when its connection is being
   * closed; the request is dropped, and its caller sees that it was not read.
   */
  beginRequest (request: IncomingMessage, response: ServerResponse): boolean {
    const connection = this.#connections.get(request.socket)
    if (connection !== undefined) connection.requests += 1
    if (connection === undefined || connection.use === 'closing' || !reserveNext(connection)) {
      request.resume()
      return false
    }
    connection.use = 'busy'
    connection.openReplies.add(response)
    connection.newest = { request, response }
    response.once('close', () => this.#endRequest(connection, response))
    request.once('close', () => this.#endBody(connection, request))
    if (this.#stoppingSinceMs !== null) response.shouldKeepAlive = false
    return true
  }

  /** Counts the requests whose heads have arrived on the connection. */
  countRequests (socket: Socket): number {
    return this.#connections.get(socket)?.requests ?? 0
  }

  isClosing (socket: Socket): boolean {
    return this.#connections.get(socket)?.use === 'closing'
  }

  /** Returns whether a request on the connection has not been read to its end. */
  isReading (socket: Socket): boolean {
    return this.#connections.get(socket)?.newest?.request.complete === false
  }

  /** Answers bytes that are not a whole request with `reply`, and closes their connection after the replies to the requests before them. */
  refuseMalformed (socket: Socket, reply: string): void {
    const connection = this.#connections.get(socket)
    if (connection === undefined || connection.use === 'closing') return
    const isReading = this.isReading(socket)
    // the bytes belong to a request that is being answered, or that waits for the replies before it
    if (!socket.writable || (isReading && (connection.openReplies.size > 1 || connection.newest?.response.headersSent === true))) {
      socket.destroy()
      return
    }
    connection.isLast = true
    const isAnswering = connection.use === 'busy' && !isReading
    if (!isAnswering) socket.write(reply)
    // the input has ended within a head: the caller is gone
    if (!isAnswering || socket.readableEnded) this.#close(connection)
  }

  /** Closes each connection after its next reply, and leaves callers the whole stop to read the replies that are written from now on. */
  startLeaving (): void {
    this.#stoppingSinceMs ??= this.#options.clock.getMonotonicMs()
    for (const { newest } of this.#connections.values()) {
      if (newest !== null && !newest.response.headersSent) newest.response.shouldKeepAlive = false
    }
  }

  /** Accepts no more connections, and closes those without a request at once, the others after their replies. */
  startClosing (): void {
    // the HTTP server's own method also cuts connections whose replies have ended but are not yet written
    NetServer.prototype.close.call(this.#options.server)
    this.#closingSinceMs = this.#options.clock.getMonotonicMs()
    for (const connection of this.#connections.values()) {
      if (connection.use === 'fresh') this.#scheduleUnusedClose(connection)
      else if (connection.use === 'idle') this.#closeUnused(connection).catch(this.#options.reportError)
    }
  }

  /** Waits until all callers have closed their connections, at most `timeoutMs`. */
  async waitUntilClosed (timeoutMs: number): Promise<void> {
    const { clock } = this.#options
    const deadlineMs = clock.getMonotonicMs() + timeoutMs
    while (this.#connections.size > 0 && clock.getMonotonicMs() < deadlineMs) await new Promise(resolve => setTimeout(resolve, CLOSE_POLL_MS))
  }

  #add (socket: Socket): void {
    const connection: CallerConnection = { socket, use: 'fresh', requests: 0, openReplies: new Set(), newest: null, isLast: false, bytesRead: 0, answeredAtMs: null }
    this.#connections.set(socket, connection)
    socket.once('close', () => this.#remove(connection))
    // the server calls it after the last reply of a connection; the original closes without reading what arrives
    socket.destroySoon = () => this.#close(connection)
    // accepted in the same event-loop turn in which the process stopped accepting
    if (this.#closingSinceMs !== null) this.#scheduleUnusedClose(connection)
  }

  #remove (connection: CallerConnection): void {
    this.#connections.delete(connection.socket)
    for (const response of connection.openReplies) {
      // the server closes the reply that it was writing; those that waited behind it would stay open
      if (response.socket !== null) continue
      response.destroy()
      response.emit('close')
    }
  }

  #endRequest (connection: CallerConnection, response: ServerResponse): void {
    connection.openReplies.delete(response)
    connection.answeredAtMs = this.#options.clock.getMonotonicMs()
    if (connection.openReplies.size > 0 || connection.use === 'closing') return
    connection.use = 'idle'
    recordIdle(connection)
    if (connection.isLast) this.#close(connection)
    else if (this.#closingSinceMs !== null) this.#closeUnused(connection).catch(this.#options.reportError)
    else if (connection.newest !== null) this.#scheduleUnreadClose(connection, connection.newest.request)
  }

  /** Records that the body of a request has ended after its reply. */
  #endBody (connection: CallerConnection, request: IncomingMessage): void {
    if (connection.use !== 'idle' || connection.newest?.request !== request) return
    recordIdle(connection)
    // the server's own idle timeout began with the reply, and the body ended it
    connection.socket.setTimeout(this.#options.server.keepAliveTimeout)
  }

  /** Closes an idle connection, unless a request has arrived that was not read yet. */
  async #closeIfIdle (socket: Socket): Promise<void> {
    await waitForPendingInput()
    const connection = this.#connections.get(socket)
    if (connection?.use === 'idle' && connection.newest === null && !hasPartialHead(connection)) this.#close(connection)
  }

  /** Closes a connection on which the body of a refused request does not end within the idle timeout. */
  #scheduleUnreadClose (connection: CallerConnection, request: IncomingMessage): void {
    setTimeout(() => { if (connection.use === 'idle' && connection.newest?.request === request) this.#close(connection) }, this.#options.server.keepAliveTimeout).unref()
  }

  #close (connection: CallerConnection): void {
    if (connection.use === 'closing') return
    const { socket } = connection
    connection.use = 'closing'
    socket.end(() => {
      const timeoutMs = this.#hasRecentReply(connection) ? READ_TIMEOUT_MS : CLOSE_TIMEOUT_MS
      setTimeout(() => { if (this.#stoppingSinceMs === null || !this.#hasRecentReply(connection)) socket.destroy() }, timeoutMs).unref()
    })
  }

  /** Returns whether the caller may still be reading its last reply. In a stop, such a connection stays until the process ends. */
  #hasRecentReply ({ answeredAtMs }: CallerConnection): boolean {
    return answeredAtMs !== null && answeredAtMs >= (this.#stoppingSinceMs ?? this.#options.clock.getMonotonicMs()) - READ_TIMEOUT_MS
  }

  /** Closes a connection on which no request arrives within the grace period. */
  #scheduleUnusedClose (connection: CallerConnection): void {
    setTimeout(() => { this.#closeUnused(connection).catch(this.#options.reportError) }, FIRST_REQUEST_GRACE_MS).unref()
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

/** Records what was read until the connection became idle, unless a part of its last request is still on its way. */
function recordIdle (connection: CallerConnection): void {
  if (connection.newest?.request.complete === false) return
  connection.newest = null
  connection.bytesRead = connection.socket.bytesRead
}

/** Keeps the connection open for a request after its newest one. Returns false when the reply to that one has announced the close. */
function reserveNext ({ newest }: CallerConnection): boolean {
  if (newest === null || newest.response.shouldKeepAlive) return true
  if (newest.response.headersSent) return false
  newest.response.shouldKeepAlive = true
  return true
}
