import http from 'node:http'
import net from 'node:net'

import { callerDialect } from '../../platform/callerDialect'
import { endpointDialect } from '../../platform/endpointDialect'
import { READY_PATH } from '../../platform/names'
import { storeDecoder } from '../../platform/storeDecoder'
import { DecisionLog } from '../../src/base/decisionLog'
import { RelayProcess } from '../../src/relay/relayProcess'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'

import type { AddressInfo, Server, Socket } from 'node:net'
import type { DecisionLine } from '../../src/base/decisionEvents'
import type { UsagePlatform } from '../../src/duties/dutyRunner'
import type { RelaySettings } from '../../src/config/processSettings'

/** One request as received on an endpoint's socket. */
export interface ReceivedRequest {
  text: string
  requestId: string
  socket: Socket
}

export interface EndpointFixture {
  id: string
  address: string
  received: ReceivedRequest[]
  /** Refuses new connections, and keeps the open ones. */
  stopListening (): void
  close (): void
}

export interface RelayFixture {
  store: MemoryObjectStore
  service: MemoryObjectService
  relay: RelayProcess
  port: number
  readyPort: number
  adminPort: number
  lines: DecisionLine[]
  close (): Promise<void>
}

export interface RawAnswer {
  text: string
  /** How the connection ended: closed normally, reset, or still open when `until` matched. */
  end: 'closed' | 'reset' | 'open'
}

export const HOST = 'archive.example'
export const KEY = 'key-of-the-archive'
export const SIGNATURE_LINE = 'Tanagerwick-Runner-Seal: 1.2.3'

/** Starts an endpoint that calls `answer` with each request, as raw bytes. */
export async function startEndpoint (id: string, answer: (request: ReceivedRequest) => void): Promise<EndpointFixture> {
  const received: ReceivedRequest[] = []
  const sockets = new Set<Socket>()
  const server = net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    let text = ''
    socket.on('data', bytes => {
      text += bytes.toString('latin1')
      if (!isWholeRequest(text)) return
      const request = { text, requestId: /attempt-id: (\S+)/i.exec(text)?.[1] ?? '', socket }
      text = ''
      received.push(request)
      answer(request)
    })
  })
  const address = await listen(server)
  return {
    id,
    address,
    received,
    stopListening: () => { server.close() },
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** Builds a route of the platform's configuration. */
export function buildRoute (overrides: Record<string, unknown> = {}): Record<string, unknown> {
  return { name: 'r-1', host: HOST, pathPrefix: '/archive/', kind: 'idempotent', timeoutMs: 2000, targetLatencyMs: 300, priority: 1, service: 'archive', maxAttempts: 2, ...overrides }
}

/** Builds a configuration of the platform. */
export function buildPlatformConfig (overrides: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    version: 1,
    routes: [buildRoute()],
    services: [{ name: 'archive', healthPath: '/health', maxConnections: 100 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 1000, idleTimeoutMs: 5000 },
    tenants: [{ name: 'archivists', apiKeys: [KEY] }],
    ...overrides
  }
}

/** Adds the endpoint to the platform's list. */
export function registerEndpoint (store: MemoryObjectStore, endpoint: { id: string, address: string }, overrides: Record<string, unknown> = {}): void {
  store.put(`servers/${endpoint.id}`, { service: 'archive', address: endpoint.address, zone: 'domain-a', version: 'v1', slots: 6, state: 'ready', seq: 1, born: 1, ...overrides })
}

/** Builds the settings of a gateway that listens on ports chosen by the system. */
export function buildSettings (overrides: Partial<RelaySettings> = {}): RelaySettings {
  const listenAny = { host: '127.0.0.1', port: 0 }
  return {
    id: 'gateway-1',
    domain: 'domain-a',
    listen: { callers: listenAny, ready: listenAny, admin: listenAny, peers: null },
    peers: [],
    processorShare: 1,
    storeUrl: 'http://127.0.0.1:1',
    heartbeatMs: 100,
    revocationMs: 5000,
    stopSeconds: 3,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    maxDescriptors: 4096,
    memoryMb: 200,
    sharesRoom: false,
    fetchesPrefixes: false,
    logBytesPerSecond: 1_000_000,
    duties: null,
    ...overrides
  }
}

/** Builds the settings of one of several gateways in three failure domains, which serve their peers at `ports`. */
export function buildPeerSettings (ports: readonly number[], index: number): Partial<RelaySettings> {
  return {
    id: `gateway-${index + 1}`,
    domain: `domain-${'abc'[index % 3]}`,
    peers: ports.slice(0, 3).map(port => `127.0.0.1:${port}`),
    listen: { ...buildSettings().listen, peers: { host: '127.0.0.1', port: ports[index]! } }
  }
}

/** Starts a gateway with the platform's dialects and an object service in memory. */
export async function startRelay (config: unknown = buildPlatformConfig(), endpoints: EndpointFixture[] = [], settings: Partial<RelaySettings> = {}, store = new MemoryObjectStore(), usagePlatform: UsagePlatform | null = null): Promise<RelayFixture> {
  const service = new MemoryObjectService(store)
  if (config !== null) store.put('config/main', config)
  for (const endpoint of endpoints) registerEndpoint(store, endpoint)
  const lines: DecisionLine[] = []
  const destination = { write: (line: string) => lines.push(JSON.parse(line)) > 0, flush: (handleDone: () => void) => handleDone() }
  const relay = new RelayProcess({
    settings: buildSettings(settings),
    service,
    decoder: storeDecoder,
    callerDialect,
    endpointDialect,
    readyPath: READY_PATH,
    usagePlatform,
    log: new DecisionLog({ instance: 'gateway-1', bytesPerSecond: 1_000_000, destination })
  })
  const addresses = await relay.start()
  const fixture: RelayFixture = {
    store,
    service,
    relay,
    port: getPort(addresses.callers),
    readyPort: getPort(addresses.ready),
    adminPort: getPort(addresses.admin),
    lines,
    close: async () => {
      await relay.close()
      for (const endpoint of endpoints) endpoint.close()
    }
  }
  if (config !== null) await waitUntil('the gateway to be ready', async () => (await fetchStatus(fixture.readyPort, READY_PATH)) === 200)
  return fixture
}

/** Builds the raw bytes of a caller's request. */
export function buildCallerRequest (overrides: { id?: string, method?: string, target?: string, headers?: string[], body?: string, key?: string | null, timeoutMs?: number } = {}): string {
  const { id = 'a-1', method = 'GET', target = '/archive/17?x=1', headers = [], body = '', key = KEY, timeoutMs = 1500 } = overrides
  const keyLine = key === null ? [] : [`Api-Key: ${key}`]
  const lengthLine = method === 'GET' ? [] : [`Content-Length: ${body.length}`]
  return [`${method} ${target} HTTP/1.1`, `Host: ${HOST}`, `Tanagerwick-Request-Attempt-Id: ${id}`, `Tanagerwick-Request-Deadline-Ms: ${timeoutMs}`, ...keyLine, ...lengthLine, ...headers, '', body].join('\r\n')
}

/** Sends bytes on a new connection and reads until it ends, or until `until` matches. Calls `handleText` with all that has arrived. */
export async function sendRaw (port: number, text: string, until?: RegExp, handleText: (text: string) => void = () => {}): Promise<RawAnswer> {
  return await new Promise(resolve => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text, 'latin1'))
    let received = ''
    const finish = (end: RawAnswer['end']) => {
      socket.destroy()
      resolve({ text: received, end })
    }
    socket.on('data', bytes => {
      received += bytes.toString('latin1')
      handleText(received)
      if (until?.test(received) === true) finish('open')
    })
    socket.on('end', () => finish('closed'))
    socket.on('error', () => finish('reset'))
  })
}

/** Sends one request and reads its complete answer. */
export async function sendRequest (fixture: RelayFixture, overrides: Parameters<typeof buildCallerRequest>[0] = {}): Promise<RawAnswer> {
  return await sendRaw(fixture.port, buildCallerRequest({ ...overrides, headers: [...overrides.headers ?? [], 'Connection: close'] }))
}

/** Sends a complete, signed answer. */
export function answerWhole (request: ReceivedRequest, body = 'found', status = '200 OK', headers: string[] = []): void {
  request.socket.write([`HTTP/1.1 ${status}`, SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${request.requestId}`, ...headers, `Content-Length: ${body.length}`, '', body].join('\r\n'))
}

/** How an answer says where its body ends. */
export type Framing = 'length' | 'chunks' | 'connectionEnd'
export const FRAMINGS: Framing[] = ['length', 'chunks', 'connectionEnd']

/** Sends a head without framing headers, and a body framed in one of the ways. */
export function writeFramed ({ socket }: ReceivedRequest, head: string[], framing: Framing, body: string): void {
  switch (framing) {
    case 'length':
      socket.write([...head, `Content-Length: ${body.length}`, '', body].join('\r\n'))
      return
    case 'chunks':
      socket.write([...head, 'Transfer-Encoding: chunked', '', `${formatChunk(body)}0\r\n\r\n`].join('\r\n'))
      return
    case 'connectionEnd':
      socket.end([...head, '', body].join('\r\n'))
  }
}

/** Formats one chunk of a chunked body. */
export function formatChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** Refuses the request as not run. */
export function refuseRequest (request: ReceivedRequest, headers: string[] = []): void {
  request.socket.write(['HTTP/1.1 503 Service Unavailable', 'Tanagerwick-Not-Executed: 1', `Tanagerwick-Request-Attempt-Id: ${request.requestId}`, ...headers, 'Content-Length: 0', '', ''].join('\r\n'))
}

/** Returns whether a caller would take the reply for complete: by its framing, or else by the orderly end of the connection. */
export function isComplete ({ text, end }: RawAnswer): boolean {
  const length = /\r\ncontent-length: (\d+)\r\n/i.exec(text)?.[1]
  if (length !== undefined) return text.length === text.indexOf('\r\n\r\n') + 4 + Number(length)
  const isChunked = /\r\ntransfer-encoding: chunked\r\n/i.test(text)
  return isChunked ? text.endsWith('\r\n0\r\n\r\n') : end === 'closed'
}

/** Lists the ids of the events in a reply, in order. */
export function listEventIds (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
}

export async function fetchStatus (port: number, path: string): Promise<number> {
  return await new Promise(resolve => {
    http.get({ host: '127.0.0.1', port, path, agent: false }, response => {
      response.resume()
      resolve(response.statusCode ?? 0)
    }).on('error', () => resolve(0))
  })
}

/** Waits until `check` holds. Throws after 1,500 checks, 5 ms apart. */
export async function waitUntil (awaited: string, check: () => boolean | Promise<boolean>): Promise<void> {
  for (let tries = 0; !await check(); tries++) {
    if (tries > 1500) throw new Error(`timed out while waiting for ${awaited}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

/** Returns whether the text has a request's head and its whole body. */
export function isWholeRequest (text: string): boolean {
  const headEnd = text.indexOf('\r\n\r\n')
  if (headEnd === -1) return false
  const length = Number(/content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0)
  return text.length >= headEnd + 4 + length
}

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

function getPort (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}
