import net from 'node:net'

import { findFreePorts } from '../../standins/shared/freePorts'
import { createSeededRandom } from '../../standins/shared/seededRandom'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { buildCallerRequest, buildPeerSettings, buildPlatformConfig, buildRoute, formatChunk, isWholeRequest, registerEndpoint, sendRaw, SIGNATURE_LINE, startRelay, waitUntil } from './relayFixture'

import type { Socket } from 'node:net'
import type { RelayFixture } from './relayFixture'

/** One event of a stream: its id and the software version of the endpoint that wrote it. */
export interface StreamEvent {
  id: number
  version: string
}

/** What a caller received of one stream over all its attempts. */
export interface CallerStream {
  requestId: string
  events: StreamEvent[]
  isWhole: boolean
  /** Attempts after the first event, and whether each brought more of the stream. */
  takeUps: Array<{ status: number, retryAfterMs: number | null, wentOn: boolean }>
}

export interface VersionedFleetOptions {
  gateways: number
  /** Software versions of the endpoints at the start. */
  versions: string[]
  /** Returns after how many events an endpoint breaks an answer off; null to let it end. */
  breakAfter?: () => number | null
  /** Attempts of the gateways at endpoints for one request. */
  maxAttempts?: number
  /** Connections that each endpoint accepts from all gateways. */
  maxConnections?: number
  /** Events of a stream, 10 ms apart; `STREAM_EVENTS` by default. */
  events?: number
}

export const STREAM_EVENTS = 30
const EVENT_INTERVAL_MS = 10
/** Time limit of the callers, which is also that of the route. */
export const STREAM_LIMIT_MS = 3000
const CALLER_RETRIES = 3
const CALLER_PAUSE_MS = 30

/** Gateways before endpoints of several software versions, whose events name the version that wrote them. */
export class VersionedFleet {
  readonly store = new MemoryObjectStore()
  readonly endpoints: VersionedEndpoint[] = []
  gateways: RelayFixture[] = []
  readonly #options: VersionedFleetOptions
  readonly #random = createSeededRandom(1)
  #ports: number[] = []
  #endpointCount = 0
  #requestCount = 0
  #streamCount = 0

  constructor (options: VersionedFleetOptions) {
    this.#options = options
  }

  async start (): Promise<void> {
    for (const version of this.#options.versions) await this.addEndpoint(version)
    this.#ports = await findFreePorts(this.#options.gateways)
    await this.startGateways()
  }

  async startGateways (): Promise<void> {
    const { maxConnections = 100 } = this.#options
    const config = buildPlatformConfig({ services: [{ name: 'archive', healthPath: '/health', maxConnections }], routes: [buildRoute({ kind: 'streaming', resumable: true, timeoutMs: STREAM_LIMIT_MS, maxAttempts: this.#options.maxAttempts ?? 2 })] })
    const starts = this.#ports.map(async (_, index) => await startRelay(config, [], buildPeerSettings(this.#ports, index), this.store))
    this.gateways = await Promise.all(starts)
  }

  /** Ends all gateways at once, with all their connections, and starts new ones that know nothing. */
  async replaceGateways (): Promise<void> {
    await this.stopGateways()
    await this.startGateways()
  }

  async stopGateways (): Promise<void> {
    await Promise.all(this.gateways.map(async gateway => await gateway.close()))
  }

  async addEndpoint (version: string): Promise<VersionedEndpoint> {
    this.#endpointCount += 1
    const { breakAfter = () => null, events = STREAM_EVENTS } = this.#options
    const endpoint = new VersionedEndpoint(`e-${this.#endpointCount}`, version, { breakAfter, events })
    await endpoint.start()
    this.endpoints.push(endpoint)
    registerEndpoint(this.store, endpoint, { version, slots: 64 })
    return endpoint
  }

  /** Removes the entries of a version's endpoints and ends them. */
  removeVersion (version: string): void {
    for (const endpoint of this.endpoints.filter(other => other.version === version)) {
      this.store.delete(`servers/${endpoint.id}`)
      endpoint.close()
    }
  }

  /** Waits until new streams begin at every version that serves at the start. */
  async waitForVersions (versions = this.#options.versions): Promise<void> {
    await waitUntil(`streams at ${versions.join(' and ')}`, async () => {
      const streams = await Promise.all(Array.from({ length: 8 }, async () => await this.play()))
      const begun = streams.map(stream => stream.events[0]?.version)
      return versions.every(version => begun.includes(version))
    })
  }

  /** Plays one stream: a caller begins it at any gateway and takes it up at others until it is whole or its attempts are spent. */
  async play (resume: { headers?: (originId: string) => string[] } = {}): Promise<CallerStream> {
    const stream: CallerStream = { requestId: '', events: [], isWhole: false, takeUps: [] }
    this.#streamCount += 1
    // requests that are all alike would count as what crashes the endpoints
    const target = `/archive/${this.#streamCount}`
    const startedAtMs = performance.now()
    for (let retries = 0; retries <= CALLER_RETRIES && !stream.isWhole; retries++) {
      const remainingMs = Math.floor(STREAM_LIMIT_MS - (performance.now() - startedAtMs))
      if (remainingMs <= 0) break
      await this.#playAttempt(stream, target, remainingMs, resume.headers ?? (originId => [`Resumes: ${originId}`]))
      if (!stream.isWhole) await new Promise(resolve => setTimeout(resolve, CALLER_PAUSE_MS))
    }
    return stream
  }

  async close (): Promise<void> {
    await this.stopGateways()
    for (const endpoint of this.endpoints) endpoint.close()
  }

  async #playAttempt (stream: CallerStream, target: string, remainingMs: number, buildResumeHeaders: (originId: string) => string[]): Promise<void> {
    this.#requestCount += 1
    const requestId = `a-${this.#requestCount}`
    const lastId = stream.events.at(-1)?.id ?? null
    const headers = lastId === null ? [] : [`Last-Event-Id: ${lastId}`, ...buildResumeHeaders(stream.requestId)]
    const { port } = this.gateways[Math.floor(this.#random() * this.gateways.length)]!
    const { text } = await sendRaw(port, buildCallerRequest({ id: requestId, target, headers: [...headers, 'Connection: close'], timeoutMs: remainingMs }))
    const events = parseEvents(text)
    if (lastId !== null) {
      const retryAfter = /\r\nretry-after: ([\d.]+)/i.exec(text)?.[1]
      stream.takeUps.push({ status: Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0), retryAfterMs: retryAfter === undefined ? null : 1000 * Number(retryAfter), wentOn: events.length > 0 })
    } else if (events.length > 0) stream.requestId = requestId
    stream.events.push(...events)
    stream.isWhole = stream.events.at(-1)?.id === (this.#options.events ?? STREAM_EVENTS)
  }
}

/** An endpoint that serves any request with a stream, from the event after `Last-Event-Id`. */
export class VersionedEndpoint {
  readonly id: string
  version: string
  address = ''
  readonly #options: Required<Pick<VersionedFleetOptions, 'breakAfter' | 'events'>>
  readonly #sockets = new Set<Socket>()
  #server = net.createServer()

  constructor (id: string, version: string, options: Required<Pick<VersionedFleetOptions, 'breakAfter' | 'events'>>) {
    this.id = id
    this.version = version
    this.#options = options
  }

  async start (port?: number): Promise<void> {
    this.#server = net.createServer(socket => this.#serve(socket))
    const chosen = port ?? (await findFreePorts(1))[0]!
    await new Promise<void>(resolve => this.#server.listen(chosen, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${chosen}`
  }

  /** Ends the process and starts another version at the same address, under the same id, after `downMs` milliseconds. */
  async replaceVersion (version: string, downMs = 0): Promise<void> {
    this.close()
    if (downMs > 0) await new Promise(resolve => setTimeout(resolve, downMs))
    this.version = version
    await this.start(Number(this.address.split(':')[1]))
  }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  #serve (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.#sockets.delete(socket))
    let text = ''
    socket.on('data', bytes => {
      text += bytes.toString('latin1')
      if (!isWholeRequest(text)) return
      const request = text
      text = ''
      this.#writeStream(socket, request).catch(() => socket.destroy())
    })
  }

  async #writeStream (socket: Socket, request: string): Promise<void> {
    const requestId = /attempt-id: (\S+)/i.exec(request)?.[1] ?? ''
    const after = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0)
    const breakAfter = this.#options.breakAfter()
    const { version } = this
    socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', ''].join('\r\n'))
    for (let id = after + 1; id <= this.#options.events && !socket.destroyed; id++) {
      if (breakAfter !== null && id - after > breakAfter) {
        socket.resetAndDestroy()
        return
      }
      socket.write(formatChunk(`id: ${id}\ndata: ${version}\n\n`))
      await new Promise(resolve => setTimeout(resolve, EVENT_INTERVAL_MS))
    }
    socket.write('0\r\n\r\n')
  }
}

/** Counts the streams that hold events of more than one version. */
export function countMixed (streams: readonly CallerStream[]): number {
  return streams.filter(({ events }) => new Set(events.map(event => event.version)).size > 1).length
}

/** Returns the fraction of the taken-up streams that went on. */
export function computeContinuedShare (streams: readonly CallerStream[]): number {
  const takenUp = streams.filter(({ takeUps }) => takeUps.length > 0)
  return takenUp.filter(({ takeUps }) => takeUps.some(({ wentOn }) => wentOn)).length / Math.max(1, takenUp.length)
}

function parseEvents (text: string): StreamEvent[] {
  return [...text.matchAll(/id: (\d+)\ndata: (\S+)\n\n/g)].map(([, id, version]) => ({ id: Number(id), version: version! }))
}
