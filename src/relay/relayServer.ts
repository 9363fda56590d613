import { createServer } from 'node:http'

import { readBody } from '../protocol/bodyReader'
import { CallerReply } from './callerReply'
import { countHeaderBytes } from './headerList'
import { waitForPendingInput } from './pendingInput'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../base/clock'
import type { CallerBounds } from '../config/routingConfig'
import type { ListenAddress } from '../config/processSettings'
import type { Refusal } from '../protocol/errorBody'
import type { AdmissionGate } from './admissionGate'
import type { CallerDialect } from './dialects'
import type { DirectRelay } from './directRelay'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest, RequestTraits } from './relayRequest'

export interface RelayServerOptions {
  clock: Clock
  dialect: CallerDialect
  gate: AdmissionGate
  relay: DirectRelay
  observer: RelayObserver
  /** Maximum number of open caller connections. */
  maxConnections: number
}

/** State of a connection: no request received yet, a request in progress, or idle after a request. */
type SocketState = 'fresh' | 'busy' | 'idle'

/** Bounds in force until the first configuration is read. */
const INITIAL_BOUNDS: CallerBounds = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 }
/** Maximum header bytes that the parser accepts; the configured bound is lower. */
const MAX_PARSED_HEADER_BYTES = 65_536
const LISTEN_BACKLOG = 4096
const CHECK_INTERVAL_MS = 500
/** Milliseconds that a connection accepted just before the stop has for its first request, which is already on its way. */
const FIRST_REQUEST_GRACE_MS = 300

/** Serves callers whose requests are relayed straight to endpoints. */
export class RelayServer {
  readonly #options: RelayServerOptions
  readonly #server: Server
  /** Open connections and their states. */
  readonly #sockets = new Map<Duplex, SocketState>()
  /** Replies that have not ended. */
  readonly #replies = new Set<CallerReply>()
  #bounds = INITIAL_BOUNDS
  #isLeaving = false
  #hasStoppedAccepting = false

  constructor (options: RelayServerOptions) {
    this.#options = options
    this.#server = createServer({
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
      requestTimeout: 0,
      joinDuplicateHeaders: false
    })
    this.#server.maxConnections = options.maxConnections
    this.setBounds(INITIAL_BOUNDS)
    this.#server.on('connection', socket => this.#trackSocket(socket))
    this.#server.on('request', (request, response) => this.#handleRequest(request, response))
    this.#server.on('checkContinue', (request, response) => {
      response.writeContinue()
      this.#handleRequest(request, response)
    })
    this.#server.on('clientError', (_error, socket) => this.#refuseMalformed(socket))
  }

  /** Counts the open caller connections. */
  countConnections (): number {
    return this.#sockets.size
  }

  /** Counts the connections whose request is on its way, is being read or has no complete answer yet. */
  countBusy (): number {
    return [...this.#sockets.values()].filter(use => use !== 'idle').length
  }

  /** Sets the bounds of the configuration in force. */
  setBounds (bounds: CallerBounds): void {
    this.#bounds = bounds
    this.#server.headersTimeout = bounds.headerTimeoutMs
    this.#server.keepAliveTimeout = bounds.idleTimeoutMs
  }

  /**
   * Starts to accept connections and returns the `host:port` in use.
   *
   * @throws the system's error when the address is in use or does not belong to this machine
   */
  async listen (address: ListenAddress): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ ...address, backlog: LISTEN_BACKLOG }, resolve)
    })
    const { address: host, port } = this.#server.address() as AddressInfo
    return `${host}:${port}`
  }

  /** Closes each connection after its next answer; new ones are still served. */
  startLeaving (): void {
    this.#isLeaving = true
  }

  /** Accepts no more connections and closes those without a request; one that has had none yet gets a grace period first. */
  stopAccepting (): void {
    this.#hasStoppedAccepting = true
    this.#server.close()
    for (const [socket, state] of this.#sockets) {
      if (state === 'idle') socket.end()
      else if (state === 'fresh') this.#scheduleUnusedClose(socket)
    }
  }

  /** Cuts the replies that have not ended, so that their callers see that these are not complete. */
  abortReplies (): void {
    for (const reply of this.#replies) reply.abort()
  }

  /** Closes all connections immediately. */
  close (): void {
    this.stopAccepting()
    this.#server.closeAllConnections()
  }

  #trackSocket (socket: Socket): void {
    this.#sockets.set(socket, 'fresh')
    socket.once('close', () => this.#sockets.delete(socket))
    // accepted in the same event-loop turn in which the process stopped accepting
    if (this.#hasStoppedAccepting) this.#scheduleUnusedClose(socket)
  }

  #releaseSocket (socket: Socket): void {
    if (!this.#sockets.has(socket)) return
    this.#sockets.set(socket, 'idle')
    if (this.#hasStoppedAccepting) socket.end()
  }

  /** Closes a connection on which no request arrives within the grace period. */
  #scheduleUnusedClose (socket: Duplex): void {
    setTimeout(() => {
      if (this.#sockets.get(socket) !== 'fresh') return
      this.#sockets.set(socket, 'idle')
      socket.end()
    }, FIRST_REQUEST_GRACE_MS).unref()
  }

  #handleRequest (request: IncomingMessage, response: ServerResponse): void {
    const { clock, dialect, observer } = this.#options
    const arrivedAtMs = clock.getMonotonicMs()
    request.on('error', () => {})
    // the connection was closed before the request arrived; the caller sees that the request was not read
    if (!request.socket.writable) {
      request.socket.destroy()
      return
    }
    this.#sockets.set(request.socket, 'busy')
    const reply = new CallerReply(response, dialect)
    this.#replies.add(reply)
    response.once('close', () => {
      this.#replies.delete(reply)
      this.#releaseSocket(request.socket)
    })
    if (this.#isLeaving) response.shouldKeepAlive = false
    this.#serve(request, reply, arrivedAtMs).catch((error: Error) => {
      const refusal: Refusal = { code: 'internal_error', message: 'The gateway failed on this request.', execution: 'may_have_run' }
      observer.recordRefusal(undefined, refusal, { error: String(error.stack).slice(0, 500) })
      reply.refuse(refusal)
    })
  }

  async #serve (request: IncomingMessage, reply: CallerReply, arrivedAtMs: number): Promise<void> {
    const { dialect, gate, relay } = this.#options
    const head = { method: request.method ?? '', target: request.url ?? '', headers: request.rawHeaders }
    const traits = dialect.readTraits(head)
    if (traits.isErr) return await this.#refuseAfterBody(request, reply, undefined, traits.error)
    reply.setRequestId(traits.value.requestId)
    if (countHeaderBytes(request.rawHeaders) > this.#bounds.maxHeaderBytes) {
      return await this.#refuseAfterBody(request, reply, traits.value, { code: 'headers_too_large', message: 'The header is too large.', execution: 'not_run' })
    }
    const body = await readBody(request, this.#bounds.maxBodyBytes)
    if (body.isErr) {
      if (body.error.kind === 'refused') this.#refuse(reply, traits.value, body.error.refusal)
      return
    }
    await waitForPendingInput()
    const admission = gate.admit(traits.value, arrivedAtMs)
    if (admission.isErr) return this.#refuse(reply, traits.value, admission.error)
    const relayRequest: RelayRequest = { traits: traits.value, body: body.value, arrivedAtMs, ...admission.value }
    await relay.relay(relayRequest, reply)
  }

  /** Reads the rest of the request before refusing it, so that the caller can read the refusal. */
  async #refuseAfterBody (request: IncomingMessage, reply: CallerReply, traits: RequestTraits | undefined, refusal: Refusal): Promise<void> {
    await readBody(request, this.#bounds.maxBodyBytes)
    this.#refuse(reply, traits, refusal)
  }

  #refuse (reply: CallerReply, traits: RequestTraits | undefined, refusal: Refusal): void {
    this.#options.observer.recordRefusal(traits?.requestId, refusal, { message: refusal.message })
    reply.refuse(refusal)
  }

  /** Answers bytes that are not a valid request with status 400 and closes their connection. */
  #refuseMalformed (socket: Duplex): void {
    if (!socket.writable || this.#sockets.get(socket) === 'busy') {
      socket.destroy()
      return
    }
    socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
  }
}
