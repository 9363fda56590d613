import { createServer } from 'node:http'

import { CallerConnections } from '../base/callerConnections'
import { systemClock } from '../base/clock'
import { createId } from '../base/identifiers'
import { Progress } from '../base/progress'
import { Authenticator } from './authenticator'
import { readBody } from '../protocol/bodyReader'
import { chooseClass, REQUEST_CLASS_HEADER } from './classifier'
import { buildCallerRequest, createAnswer } from './requestBuilder'
import { writeError, writeJson } from './responseWriter'
import { SERVICES_PREFIX } from './servicePath'
import { buildSocketErrorReply } from './socketError'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '../base/clock'
import type { FleetConfig, Workspace } from '../config/fleetConfig'
import type { ListenAddress } from '../config/processSettings'
import type { CallerAnswer } from './callerAnswer'
import type { CallerRequest } from './callerRequest'
import type { Refusal } from '../protocol/errorBody'
import type { AdmitRequest, RequestRelay } from './requestRelay'

/** Limits on the memory, the time and the connections that callers may use. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  /** Milliseconds within which a request's header must arrive. */
  headerTimeoutMs: number
  /** Milliseconds within which a complete request must arrive. */
  requestTimeoutMs: number
  /** Milliseconds after which an idle connection is closed. */
  keepAliveMs: number
  /** Milliseconds that callers have at the end of a drain to read what was written to them, and to close. */
  deliveryTimeoutMs: number
  maxConnections: number
}

/** Handles a path outside the callers' API. */
export type RouteHandler = (request: IncomingMessage, response: ServerResponse) => void

export interface CallerServerOptions {
  /** Returns the configuration in force, or null before the first was adopted. */
  getConfig: () => FleetConfig | null
  relay: RequestRelay
  admit: AdmitRequest
  /** Handlers by exact path, such as `/rpc`, `/metrics` and `/state`. */
  handlers: Record<string, RouteHandler>
  /** Wraps the answer of an admitted request, for example to measure it. */
  observe?: (request: CallerRequest, answer: CallerAnswer) => CallerAnswer
  /** Receives unexpected errors, which no request should cause. */
  reportError?: (error: unknown) => void
  limits?: Partial<CallerLimits>
  clock?: Clock
}

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 5_000,
  requestTimeoutMs: 15_000,
  keepAliveMs: 65_000,
  deliveryTimeoutMs: 10_000,
  maxConnections: 8_192
}
const LISTEN_BACKLOG = 4096
const CONNECTION_CHECK_INTERVAL_MS = 250
const CHAT_PATH = '/v1/chat/completions'
const MODELS_PATH = '/v1/models'
const CONFIG_RETRY_AFTER_MS = 1_000
const DRAIN_RETRY_AFTER_MS = 1_000

/**
 * Serves callers over HTTP: authenticates, admits and validates requests, and passes them to the relay.
 *
 * @example
 * const server = new CallerServer({ getConfig, relay, admit, handlers: {} })
 * const { port } = await server.listen({ host: '127.0.0.1', port: 0 })
 */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #limits: CallerLimits
  readonly #clock: Clock
  readonly #server: Server
  readonly #connections: CallerConnections
  readonly #inFlight = new Set<ServerResponse>()
  #authenticator: { config: FleetConfig, value: Authenticator } | null = null
  #isDraining = false
  #notifyIdle: (() => void) | null = null

  constructor (options: CallerServerOptions) {
    this.#options = options
    this.#limits = { ...DEFAULT_LIMITS, ...options.limits }
    this.#clock = options.clock ?? systemClock
    this.#server = this.#createServer()
    this.#connections = new CallerConnections({ clock: this.#clock, server: this.#server, reportError: error => options.reportError?.(error) })
  }

  /** Returns the number of requests whose answer has not ended. */
  countInFlight (): number {
    return this.#inFlight.size
  }

  /**
   * Starts accepting connections.
   *
   * @throws the system's error when the address is in use or does not belong to this machine
   */
  async listen (address: ListenAddress): Promise<ListenAddress> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ ...address, backlog: LISTEN_BACKLOG }, () => {
        this.#server.off('error', reject)
        resolve()
      })
    })
    const { address: host, port } = this.#server.address() as AddressInfo
    return { host, port }
  }

  /**
   * Refuses new requests of callers, waits for those in flight, then closes the server and waits until
   * callers have closed their connections. Handlers such as `/rpc` keep answering until then.
   *
   * @throws TimeoutError when `progress` times out before the last answer has ended
   */
  async drain (progress: Progress): Promise<void> {
    this.#isDraining = true
    this.#connections.startLeaving()
    if (this.#inFlight.size > 0) {
      const idle = new Promise<void>(resolve => { this.#notifyIdle = resolve })
      await progress.wait(`${this.#inFlight.size} requests in flight to finish`, idle)
    }
    this.#connections.startClosing()
    await this.#connections.waitUntilClosed(Math.min(this.#limits.deliveryTimeoutMs, progress.getRemainingMs()))
  }

  /** Closes the server and all its connections immediately. */
  close (): void {
    this.#isDraining = true
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #createServer (): Server {
    const server = createServer({
      maxHeaderSize: this.#limits.maxHeaderBytes,
      headersTimeout: this.#limits.headerTimeoutMs,
      requestTimeout: this.#limits.requestTimeoutMs,
      keepAliveTimeout: this.#limits.keepAliveMs,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      noDelay: true
    })
    server.maxConnections = this.#limits.maxConnections
    server.on('request', (request, response) => this.#handleRequest(request, response))
    server.on('clientError', (error, socket) => this.#connections.refuseMalformed(socket as Socket, buildSocketErrorReply(error)))
    server.on('error', error => this.#options.reportError?.(error))
    return server
  }

  #handleRequest (request: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {})
    request.on('error', () => {})
    if (!this.#connections.beginRequest(request, response)) return
    const requestId = createId('req')
    this.#dispatch(requestId, request, response).catch((error: unknown) => {
      this.#options.reportError?.(error)
      writeError(response, requestId, { code: 'internal_error', message: 'The gateway failed on this request.', execution: 'may_have_run' })
    })
  }

  async #dispatch (requestId: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = getPath(request)
    const handler = Object.hasOwn(this.#options.handlers, path) ? this.#options.handlers[path] : undefined
    if (handler !== undefined) return handler(request, response)
    const refusal = checkRoute(path, request.method ?? '')
    if (refusal !== null) return writeError(response, requestId, refusal)
    if (this.#isDraining) return writeError(response, requestId, { code: 'draining', message: 'This gateway is leaving.', execution: 'not_run', retryAfterMs: DRAIN_RETRY_AFTER_MS })
    const config = this.#options.getConfig()
    if (config === null) return writeError(response, requestId, { code: 'configuration_missing', message: 'This gateway has no configuration yet.', execution: 'not_run', retryAfterMs: CONFIG_RETRY_AFTER_MS })
    const workspace = this.#getAuthenticator(config).findWorkspace(request.headers.authorization)
    if (workspace.isErr) return writeError(response, requestId, workspace.error)
    if (path === MODELS_PATH) return writeJson(response, requestId, 200, buildModelList(config))
    await this.#serve({ requestId, request, response, config, workspace: workspace.value })
  }

  async #serve (call: AuthenticatedCall): Promise<void> {
    const { requestId, request, response, config, workspace } = call
    const arrivedAtMs = this.#clock.getMonotonicMs()
    const serviceClass = chooseClass(config, workspace, request.headers[REQUEST_CLASS_HEADER] as string | undefined)
    if (serviceClass.isErr) return writeError(response, requestId, serviceClass.error)
    const admission = this.#options.admit(workspace)
    if (admission.kind === 'refused') return writeError(response, requestId, admission.refusal)
    this.#track(response, admission.release)
    const body = await readBody(request, this.#limits.maxBodyBytes)
    if (body.isErr) return body.error.kind === 'refused' ? writeError(response, requestId, body.error.refusal) : undefined
    const built = buildCallerRequest({ requestId, request, body: body.value, config, workspace, serviceClass: serviceClass.value, arrivedAtMs })
    if (built.isErr) return writeError(response, requestId, built.error)
    await this.#relay(built.value, response)
  }

  async #relay (callerRequest: CallerRequest, response: ServerResponse): Promise<void> {
    const base = createAnswer(callerRequest, response, this.#clock)
    const answer = this.#options.observe?.(callerRequest, base) ?? base
    const elapsedMs = this.#clock.getMonotonicMs() - callerRequest.arrivedAtMs
    const progress = new Progress({
      title: `answering ${callerRequest.requestId}`,
      timeoutMs: callerRequest.serviceClass.deadlineMs - elapsedMs,
      signal: answer.signal,
      clock: this.#clock
    })
    try {
      await this.#options.relay.relay(callerRequest, answer, progress)
    } catch (error) {
      this.#options.reportError?.(error)
    }
    answer.fail({ code: 'internal_error', message: 'The gateway failed on this request.', execution: 'may_have_run' })
  }

  #track (response: ServerResponse, release: () => void): void {
    this.#inFlight.add(response)
    response.once('close', () => {
      this.#inFlight.delete(response)
      release()
      if (this.#inFlight.size === 0) this.#notifyIdle?.()
    })
  }

  #getAuthenticator (config: FleetConfig): Authenticator {
    if (this.#authenticator?.config !== config) this.#authenticator = { config, value: new Authenticator(config) }
    return this.#authenticator.value
  }
}

interface AuthenticatedCall {
  requestId: string
  request: IncomingMessage
  response: ServerResponse
  config: FleetConfig
  workspace: Workspace
}

function getPath (request: IncomingMessage): string {
  const url = request.url ?? '/'
  const queryAt = url.indexOf('?')
  return queryAt === -1 ? url : url.slice(0, queryAt)
}

function checkRoute (path: string, method: string): Refusal | null {
  if (path === CHAT_PATH) return checkMethod(method, 'POST')
  if (path === MODELS_PATH) return checkMethod(method, 'GET')
  if (path.startsWith(SERVICES_PREFIX)) return null
  return { code: 'not_found', message: `Nothing is served at '${path.slice(0, 100)}'.`, execution: 'not_run' }
}

function checkMethod (method: string, expected: string): Refusal | null {
  if (method === expected) return null
  return { code: 'method_not_allowed', message: `Use ${expected} here.`, execution: 'not_run' }
}

function buildModelList (config: FleetConfig): unknown {
  const data = [...config.models].sort().map(id => ({ id, object: 'model', created: 0, owned_by: 'tanagerwick' }))
  return { object: 'list', data }
}
