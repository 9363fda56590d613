import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { HEADERS } from '../platform/names'
import { startFaultProxy } from '../standins/network/faultProxy'
import { buildAnswer, buildEvent } from './soakRequests'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { FaultProxy } from '../standins/network/faultProxy'
import type { LimitedArrival } from './limitChecker'

/** A request as an endpoint received it at the start of its run. */
export interface SoakRun {
  requestId: string
  endpointId: string
  method: string
  target: string
  body: string
  workspace: string | null
  hasKey: boolean
  startedAtMs: number
  /** When its answer had left the endpoint, or its connection had closed; null while it is at work. */
  endedAtMs: number | null
  /** Whether the endpoint itself broke its answer off. */
  hasBrokenOff: boolean
}

/** Fault that an endpoint simulates. */
export type EndpointFault = 'none' | 'failing' | 'cutting' | 'losing' | 'garbling' | 'refusing' | 'slow'

export interface SoakEndpointOptions {
  id: string
  service: string
  /** Version of its software. */
  version: string
  handleRun: (run: SoakRun) => void
  /** Called with each request that arrives, before it runs or is refused. */
  handleArrival: (arrival: LimitedArrival) => void
}

const SERVICE_TIME_MS = 25
const SLOW_SERVICE_TIME_MS = 600
const EVENT_INTERVAL_MS = 20
/** Retry-After of an endpoint that refuses requests. It asks only the refused gateway to back off. */
const RETRY_AFTER_SECONDS = 0.8

/** An endpoint that speaks the platform's published protocol behind a proxy and reports each request that it runs. */
export class SoakEndpoint {
  readonly id: string
  readonly service: string
  readonly version: string
  readonly bornAtMs = Date.now()
  readonly #options: SoakEndpointOptions
  readonly #server: Server
  readonly #running = new Set<SoakRun>()
  proxy!: FaultProxy
  fault: EndpointFault = 'none'
  /** Requests per second that it accepts from all gateways together; null when it names no limit. */
  limit: number | null = null
  /** Time at which it announced that it drains; null until then. */
  drainStartedAtMs: number | null = null

  constructor (options: SoakEndpointOptions) {
    this.id = options.id
    this.service = options.service
    this.version = options.version
    this.#options = options
    this.#server = createServer({ keepAliveTimeout: 8000 }, (request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
  }

  async open (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    this.proxy = await startFaultProxy(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`)
  }

  /** Closes the server and all its connections at once. */
  async kill (): Promise<void> {
    for (const run of this.#running) run.hasBrokenOff = true
    this.#server.closeAllConnections()
    this.#server.close()
    await this.proxy.close()
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request)
    const requestId = readHeader(request, HEADERS.requestId) ?? ''
    const expected = readHeader(request, HEADERS.expectedEndpoint)
    response.setHeader(HEADERS.requestId, requestId)
    if (this.drainStartedAtMs !== null) response.setHeader(HEADERS.leaving, '1')
    if (expected !== null && expected !== this.id) return refuse(response, 421)
    if (this.limit !== null) response.setHeader(HEADERS.limit, String(this.limit))
    this.#options.handleArrival({ endpointId: this.id, requestId, limit: this.limit, atMs: performance.now() })
    if (this.fault === 'refusing') {
      response.setHeader('retry-after', String(RETRY_AFTER_SECONDS))
      return refuse(response, 503)
    }
    const run: SoakRun = {
      requestId,
      endpointId: this.id,
      method: request.method ?? '',
      target: request.url ?? '',
      body,
      workspace: readHeader(request, HEADERS.workspace),
      hasKey: readHeader(request, HEADERS.key) !== null,
      startedAtMs: performance.now(),
      endedAtMs: null,
      hasBrokenOff: this.fault === 'losing' || this.fault === 'cutting' || this.fault === 'garbling'
    }
    this.#running.add(run)
    const end = () => {
      run.endedAtMs ??= performance.now()
      this.#running.delete(run)
    }
    response.once('finish', end).once('close', end)
    this.#options.handleRun(run)
    await sleep(this.fault === 'slow' ? SLOW_SERVICE_TIME_MS : SERVICE_TIME_MS)
    if (this.fault === 'losing') {
      request.socket.resetAndDestroy()
      return
    }
    response.setHeader(HEADERS.signature, `${this.id}.${requestId}`)
    if (this.fault === 'failing') {
      response.writeHead(500).end('the endpoint failed')
      return
    }
    const url = new URL(request.url ?? '', 'http://endpoint')
    if (url.searchParams.has('events')) await this.#sendEvents(request, response, requestId, Number(url.searchParams.get('events')))
    else this.#sendBody(request, response, buildAnswer(requestId, request.url ?? '', body))
  }

  #sendBody (request: IncomingMessage, response: ServerResponse, answer: string): void {
    switch (this.fault) {
      case 'garbling':
        request.socket.end('HTTP/1.1 20 banana\r\n\r\n')
        return
      case 'cutting':
        response.writeHead(200, { 'content-length': answer.length })
        response.write(answer.slice(0, answer.length / 2), () => request.socket.destroy())
        return
      default:
        response.writeHead(200, { 'content-length': answer.length }).end(answer)
    }
  }

  async #sendEvents (request: IncomingMessage, response: ServerResponse, requestId: string, count: number): Promise<void> {
    const from = Number(readHeader(request, HEADERS.lastEventId) ?? 0)
    const gapMs = readParameter(request, 'gapMs') ?? EVENT_INTERVAL_MS
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    const pauseAt = readParameter(request, 'pauseAt') ?? 0
    const pauseMs = from > 0 ? 0 : readParameter(request, 'pauseMs') ?? 0
    for (let index = from + 1; index <= count && !response.destroyed; index++) {
      if (index === pauseAt) await sleep(pauseMs)
      if (this.fault === 'cutting' && index === Math.ceil(count / 2)) {
        response.write(buildEvent(requestId, index, this.version).slice(0, 6), () => request.socket.destroy())
        return
      }
      response.write(buildEvent(requestId, index, this.version))
      await sleep(gapMs)
    }
    response.end()
  }
}

function refuse (response: ServerResponse, status: number): void {
  response.writeHead(status, { [HEADERS.notRun]: '1', 'content-length': 0 }).end()
}

function readParameter ({ url = '' }: IncomingMessage, name: string): number | null {
  const text = new URL(url, 'http://endpoint').searchParams.get(name)
  return text === null ? null : Number(text)
}

function readHeader (request: IncomingMessage, name: string): string | null {
  const value = request.headers[name.toLowerCase()]
  return typeof value === 'string' ? value : null
}

async function readText (request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}
