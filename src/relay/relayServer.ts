import { createServer } from 'node:http'

import { dropBody, readBody } from '../protocol/bodyReader'
import { MAX_PARSED_HEADER_BYTES } from '../config/routingFindings'
import { CallerConnections } from '../base/callerConnections'
import { CallerReply } from './callerReply'
import { countHeaderBytes } from './headerList'
import { waitForPendingInput } from '../base/pendingInput'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '../base/clock'
import type { CallerBounds } from '../config/routingConfig'
import type { ListenAddress } from '../config/processSettings'
import type { Refusal } from '../protocol/errorBody'
import type { AdmissionGate } from './admissionGate'
import type { ReplyEnder } from './callerReply'
import type { CallerDialect } from './dialects'
import type { CallerHolding, CallerMemory, Shortage } from './callerMemory'
import type { DirectRelay } from './directRelay'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'

export interface RelayServerOptions {
  clock: Clock
  dialect: CallerDialect
  gate: AdmissionGate
  relay: DirectRelay
  observer: RelayObserver
  /** Bounds what the requests of all callers hold. */
  memory: CallerMemory
  /** Maximum number of open caller connections. */
  maxConnections: number
}

/** Bounds in force until the first configuration is read. */
const INITIAL_BOUNDS: CallerBounds = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 }
const LISTEN_BACKLOG = 4096
const CHECK_INTERVAL_MS = 500
const UNREAD_AT_STOP: Refusal = { code: 'draining', message: 'This gateway stops, and the request has not arrived.', execution: 'not_run', retryAfterMs: 10 }

/** Part of the connections that is kept free: beyond the rest, callers that send nothing more of their bodies give way. */
const FREE_CONNECTIONS_FRACTION = 1 / 16
/** Milliseconds without a byte of a body after which its request may give way. */
const MIN_STALL_MS = 1000
const SHORT_RETRY_AFTER_MS = 1000
/** Milliseconds that a caller whose connection is needed has to read its refusal and close. */
const EVICTED_CLOSE_MS = 1000
/** Bytes of a body up to which its key is checked only once it has arrived. */
const MAX_UNCHECKED_BYTES = 16_384

/** Serves callers whose requests are relayed straight to endpoints. */
export class RelayServer {
  readonly #options: RelayServerOptions
  readonly #server: Server
  readonly #connections: CallerConnections
  /** Replies that have not been written. */
  readonly #replies = new Set<CallerReply>()
  /** Replies that the end of a planned stop has cut. */
  readonly #cutByStop = new WeakSet<CallerReply>()
  #bounds = INITIAL_BOUNDS
  /** Monotonic milliseconds at which the planned stop began; null before it. */
  #leavingSinceMs: number | null = null

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
    this.#connections = new CallerConnections({ clock: options.clock, server: this.#server, reportError: error => options.observer.recordError(error) })
    for (const event of ['connection', 'drop'] as const) this.#server.on(event, () => this.#releaseConnections())
    this.#server.on('request', (request, response) => this.#handleRequest(request, response))
    this.#server.on('checkContinue', (request, response) => {
      if (!this.#connections.isClosing(request.socket)) response.writeContinue()
      this.#handleRequest(request, response)
    })
    this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
      if (error.code !== 'ERR_HTTP_REQUEST_TIMEOUT') return this.#refuseMalformed(socket as Socket)
      this.#refuseLateHead(socket as Socket).catch(failure => options.observer.recordError(failure))
    })
  }

  /** Counts the open caller connections. */
  countConnections (): number {
    return this.#connections.count()
  }

  /** Counts the connections whose request is on its way, is being read or has no written reply yet. */
  countBusy (): number {
    return this.#connections.countBusy()
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
    this.#leavingSinceMs = this.#options.clock.getMonotonicMs()
    this.#connections.startLeaving()
  }

  /** Accepts no more connections and closes those without a request; one that has had none yet gets a grace period first. */
  stopAccepting (): void {
    this.#connections.startClosing()
  }

  /**
   * Refuses the requests that have not arrived whole, and cuts the other replies that have not ended, so that their
   * callers see that these are not complete. Returns the number of replies cut.
   */
  abortReplies (): number {
    for (const reply of this.#replies) {
      if (reply.end === 'open' && reply.stage === 'reading') this.#refuse(reply, UNREAD_AT_STOP)
    }
    const open = [...this.#replies].filter(({ end }) => end === 'open')
    for (const reply of open) {
      // now, because the process may end before the connection's close is noticed
      this.#recordNotWhole(reply, 'stop')
      this.#cutByStop.add(reply)
      reply.abort()
    }
    return open.length
  }

  /** Logs the replies that are ended but not yet written; the end of the process cuts them. Returns their number. */
  reportUnwritten (): number {
    const unwritten = [...this.#replies].filter(({ end }) => end === 'whole')
    for (const reply of unwritten) this.#recordNotWhole(reply, 'stop')
    return unwritten.length
  }

  /** Closes all connections immediately. */
  close (): void {
    this.stopAccepting()
    this.#server.closeAllConnections()
  }

  #handleRequest (request: IncomingMessage, response: ServerResponse): void {
    const { clock, dialect, observer } = this.#options
    const arrivedAtMs = clock.getMonotonicMs()
    request.on('error', () => {})
    if (!this.#connections.beginRequest(request, response)) return
    const reply = new CallerReply(response, dialect, arrivedAtMs)
    this.#replies.add(reply)
    response.once('close', () => this.#finishReply(reply))
    this.#serve(request, reply, arrivedAtMs).catch((error: Error) => {
      const refusal: Refusal = { code: 'internal_error', message: 'The gateway failed on this request.', execution: 'may_have_run' }
      observer.recordRefusal(undefined, refusal, { error: String(error.stack).slice(0, 500) })
      reply.refuse(refusal)
    })
  }

  #finishReply (reply: CallerReply): void {
    this.#replies.delete(reply)
    const isDelivered = reply.end === 'whole' && reply.isWritten
    // outside a stop, the line of the request's end says it of replies that did not end as whole
    if (isDelivered || this.#cutByStop.has(reply) || (reply.end !== 'whole' && this.#leavingSinceMs === null)) return
    this.#recordNotWhole(reply, reply.end === 'cut' ? 'gateway' : 'caller')
  }

  #recordNotWhole (reply: CallerReply, endedBy: ReplyEnder): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    this.#options.observer.recordNotWhole(reply, { endedBy, stopAgeMs: this.#leavingSinceMs === null ? null : nowMs - this.#leavingSinceMs }, nowMs)
  }

  async #serve (request: IncomingMessage, reply: CallerReply, arrivedAtMs: number): Promise<void> {
    const { dialect, gate, relay } = this.#options
    const head = { method: request.method ?? '', target: request.url ?? '', headers: request.rawHeaders }
    const traits = dialect.readTraits(head)
    if (traits.isErr) return await this.#refuseAfterBody(request, reply, traits.error)
    reply.setRequestId(traits.value.requestId)
    if (countHeaderBytes(request.rawHeaders) > this.#bounds.maxHeaderBytes) {
      return await this.#refuseAfterBody(request, reply, { code: 'headers_too_large', message: 'The header is too large.', execution: 'not_run' })
    }
    const holding = this.#openHolding(request, reply, traits.value.key)
    const keyRefusal = isLargeBody(request) ? gate.checkKey(traits.value) : null
    if (keyRefusal !== null) return await this.#refuseAfterBody(request, reply, keyRefusal)
    const body = await readBody(request, this.#bounds.maxBodyBytes, holding)
    if (body.isErr) {
      if (body.error.kind === 'refused') this.#refuse(reply, body.error.refusal)
      return
    }
    await waitForPendingInput()
    // refused by the end of a stop
    if (reply.end === 'whole') return
    const admission = gate.admit(traits.value, arrivedAtMs)
    if (admission.isErr) return this.#refuse(reply, admission.error)
    reply.recordAdmitted()
    const relayRequest: RelayRequest = { traits: traits.value, body: body.value, arrivedAtMs, ...admission.value }
    await relay.relay(relayRequest, reply)
  }

  /** Reads the rest of the request before refusing it, so that the caller can read the refusal. */
  async #refuseAfterBody (request: IncomingMessage, reply: CallerReply, refusal: Refusal): Promise<void> {
    await dropBody(request, this.#bounds.maxBodyBytes)
    this.#refuse(reply, refusal)
  }

  /** Counts what the request holds until its reply is closed. */
  #openHolding (request: IncomingMessage, reply: CallerReply, key: string | null): CallerHolding {
    const { gate, memory } = this.#options
    const holding = memory.open({
      owner: gate.findWorkspace(key) ?? request.socket.remoteAddress ?? '',
      getStage: () => reply.stage,
      isUnread: () => reply.hasStarted && reply.unwrittenBytes > 0,
      evict: shortage => this.#evict(reply, shortage)
    }, countHeaderBytes(request.rawHeaders))
    reply.setHolding(holding)
    return holding
  }

  #evict (reply: CallerReply, shortage: Shortage): void {
    if (reply.stage !== 'reading') return reply.destroyUnread()
    reply.setLast()
    this.#refuse(reply, { code: 'overloaded', message: `The ${shortage} for requests ${shortage === 'memory' ? 'is' : 'are'} short.`, execution: 'not_run', retryAfterMs: SHORT_RETRY_AFTER_MS })
    if (shortage === 'connections') setTimeout(() => reply.destroyUnread(), EVICTED_CLOSE_MS).unref()
  }

  /** Keeps some connections free for new callers, who would be turned away unread otherwise. */
  #releaseConnections (): void {
    const { memory, maxConnections } = this.#options
    const usableConnections = Math.floor((1 - FREE_CONNECTIONS_FRACTION) * maxConnections)
    if (this.#connections.count() <= usableConnections) return
    let excess = this.#connections.countInUse() - usableConnections
    while (excess > 0 && memory.evictStalled(MIN_STALL_MS)) excess -= 1
  }

  #refuse (reply: CallerReply, refusal: Refusal): void {
    if (reply.end === 'whole') return
    this.#options.observer.recordRefusal(reply.requestId ?? undefined, refusal, { message: refusal.message })
    reply.refuse(refusal)
  }

  /** Refuses a request whose head did not arrive in time, unless the rest of it had arrived and was not read. */
  async #refuseLateHead (socket: Socket): Promise<void> {
    const requests = this.#connections.countRequests(socket)
    await waitForPendingInput()
    if (this.#connections.countRequests(socket) === requests) this.#refuseMalformed(socket)
  }

  /** Answers bytes that are not a valid request with status 400; a connection whose request they are a part of is cut. */
  #refuseMalformed (socket: Socket): void {
    if (this.#connections.isReading(socket) && !this.#connections.isClosing(socket)) socket.destroy()
    else this.#connections.refuseMalformed(socket, 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n')
  }
}

/** Returns whether a body has or may have more bytes than are kept before the key is checked. */
function isLargeBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > MAX_UNCHECKED_BYTES
}
