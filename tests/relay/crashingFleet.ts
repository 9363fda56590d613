import { findFreePorts } from '../../standins/shared/freePorts'
import { createSeededRandom } from '../../standins/shared/seededRandom'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { playAtRate } from '../fixtures/pacedLoad'
import { buildPeerSettings, buildPlatformConfig, buildRoute, formatChunk, isWholeRequest, registerEndpoint, sendRequest, SIGNATURE_LINE, startRelay } from './relayFixture'

import net from 'node:net'

import type { Socket } from 'node:net'
import type { RawAnswer, RelayFixture } from './relayFixture'

/** What an endpoint has written of an answer when the process crashes. */
export type CrashPoint = 'beforeHead' | 'inHead' | 'inBody' | 'inUnframedBody'

/** A request as it reached an endpoint. */
export interface Arrival {
  requestId: string
  endpoint: string
  atMs: number
  parts: string[]
}

/** One crash of an endpoint. */
export interface EndpointCrash {
  endpoint: string
  atMs: number
  /** Parts of the prompt under which it crashed; null when the endpoint ended for another reason. */
  parts: string[] | null
}

export interface CrashingFleetOptions {
  gateways: number
  endpoints: number
  crashPoint?: CrashPoint
  /** Returns whether an endpoint crashes when it begins to write an answer on these prompt parts. */
  isFatal: (parts: readonly string[]) => boolean
  kind?: string
  /** Milliseconds of prefill before an endpoint begins to write. */
  prefillMs?: number
  /** Milliseconds after which a crashed process is back. */
  restartMs?: number
}

/** Several gateways before endpoints that crash under certain prompts and start again as new processes. */
export interface CrashingFleet {
  gateways: RelayFixture[]
  store: MemoryObjectStore
  arrivals: Arrival[]
  crashes: EndpointCrash[]
  /** Ends an endpoint for another reason than a prompt. */
  crashOne (index: number): void
  /** Starts one more gateway. */
  addGateway (): Promise<RelayFixture>
  close (): Promise<void>
}

const EVENT_INTERVAL_MS = 20
const EVENTS = 12
/** Milliseconds after which the entry of a crashed process is removed. */
const ENTRY_EXPIRY_MS = 3600

export async function startCrashingFleet (options: CrashingFleetOptions): Promise<CrashingFleet> {
  const arrivals: Arrival[] = []
  const crashes: EndpointCrash[] = []
  const store = new MemoryObjectStore()
  const hosts = (await findFreePorts(options.endpoints)).map((port, index) => new CrashingEndpoint(`e-${index + 1}`, port, { ...options, store, arrivals, crashes }))
  await Promise.all(hosts.map(async host => await host.start()))
  const ports = await findFreePorts(options.gateways + 1)
  const config = buildPlatformConfig({ routes: [buildRoute({ kind: options.kind ?? 'streaming', resumable: true, timeoutMs: 4000 })] })
  const gateways: RelayFixture[] = []
  const addGateway = async () => {
    const gateway = await startRelay(config, [], buildPeerSettings(ports, gateways.length), store)
    gateways.push(gateway)
    return gateway
  }
  while (gateways.length < options.gateways) await addGateway()
  return {
    gateways,
    store,
    arrivals,
    crashes,
    addGateway,
    crashOne: index => hosts[index]!.end(null),
    close: async () => {
      for (const host of hosts) host.close()
      await Promise.all(gateways.map(async gateway => await gateway.close()))
    }
  }
}

/** A prompt that callers send: its parts in order, and whether it crashes endpoints. */
export interface PlayedPrompt {
  parts: string[]
  isFatal: boolean
}

/** A request that was played, with its answer. */
export interface PlayedRequest extends PlayedPrompt {
  id: string
  sentAtMs: number
  answer: RawAnswer
  /** Milliseconds until the whole answer had arrived. */
  answeredMs: number
}

/** Sends `ratePerSecond` prompts per second for some milliseconds, to gateways at random. Returns all requests with their answers. */
export async function playPrompts (gateways: readonly RelayFixture[], choosePrompt: (random: () => number) => PlayedPrompt, { ratePerSecond, milliseconds, seed }: { ratePerSecond: number, milliseconds: number, seed: number }): Promise<PlayedRequest[]> {
  const random = createSeededRandom(seed)
  const startedAtMs = Math.round(performance.now())
  return await playAtRate(ratePerSecond, milliseconds, async index => {
    const prompt = choosePrompt(random)
    return await sendPrompt(gateways[Math.floor(random() * gateways.length)]!, prompt, `p-${seed}-${startedAtMs}-${index}`)
  })
}

/** Sends one prompt. Its last part, which no other request shares, is added. */
export async function sendPrompt (gateway: RelayFixture, prompt: PlayedPrompt, id: string): Promise<PlayedRequest> {
  const sentAtMs = performance.now()
  const own = [...id].map(letter => letter.charCodeAt(0).toString(16)).join('')
  const header = [...prompt.parts, own].map(part => `${part}:100`).join(',')
  const answer = await sendRequest(gateway, { id, method: 'POST', target: '/archive/chat', body: `{"id":"${id}"}`, headers: [`Tanagerwick-Prompt-Prefix: ${header}`], timeoutMs: 3000 })
  return { ...prompt, id, sentAtMs, answer, answeredMs: performance.now() - sentAtMs }
}

interface HostOptions extends CrashingFleetOptions {
  store: MemoryObjectStore
  arrivals: Arrival[]
  crashes: EndpointCrash[]
}

class CrashingEndpoint {
  readonly #name: string
  readonly #port: number
  readonly #options: HostOptions
  readonly #timers = new Set<NodeJS.Timeout>()
  #sockets = new Set<Socket>()
  #server: net.Server | null = null
  #lifetime = 0
  #isClosed = false

  constructor (name: string, port: number, options: HostOptions) {
    this.#name = name
    this.#port = port
    this.#options = options
  }

  get #id (): string {
    return `${this.#name}-${this.#lifetime}`
  }

  async start (): Promise<void> {
    if (this.#isClosed) return
    this.#lifetime += 1
    const server = net.createServer(socket => this.#serve(socket))
    this.#server = server
    await new Promise<void>(resolve => server.listen(this.#port, '127.0.0.1', resolve))
    registerEndpoint(this.#options.store, { id: this.#id, address: `127.0.0.1:${this.#port}` }, { born: this.#lifetime })
  }

  /** Ends the process at once; it is back later, under another id. */
  end (parts: string[] | null): void {
    if (this.#server === null) return
    const { store, crashes, restartMs = 900 } = this.#options
    const id = this.#id
    crashes.push({ endpoint: id, atMs: performance.now(), parts })
    this.#stop()
    this.#schedule(() => { this.start().catch(error => { throw error }) }, restartMs)
    this.#schedule(() => store.delete(`servers/${id}`), ENTRY_EXPIRY_MS)
  }

  close (): void {
    this.#isClosed = true
    for (const timer of this.#timers) clearTimeout(timer)
    this.#stop()
  }

  #stop (): void {
    this.#server?.close()
    this.#server = null
    for (const socket of this.#sockets) socket.destroy()
    this.#sockets = new Set()
  }

  #schedule (run: () => void, delayMs: number): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      run()
    }, delayMs)
    this.#timers.add(timer)
  }

  #serve (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.#sockets.delete(socket))
    let text = ''
    socket.on('data', bytes => {
      text += bytes.toString('latin1')
      if (!isWholeRequest(text)) return
      this.#receive(text, socket)
      text = ''
    })
  }

  #receive (text: string, socket: Socket): void {
    const { arrivals, isFatal, crashPoint = 'beforeHead', prefillMs = 20 } = this.#options
    const parts = (/prompt-prefix: (\S+)/i.exec(text)?.[1] ?? '').split(',').map(entry => entry.split(':')[0]!).slice(0, -1)
    const requestId = /attempt-id: (\S+)/i.exec(text)?.[1] ?? ''
    arrivals.push({ requestId, endpoint: this.#id, atMs: performance.now(), parts })
    const head = ['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', ''].join('\r\n')
    this.#schedule(() => {
      if (socket.destroyed) return
      if (!isFatal(parts)) return this.#writeStream(socket, head, Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0))
      if (crashPoint === 'inHead') socket.write(head.slice(0, 30))
      if (crashPoint === 'inUnframedBody') socket.end(`${head.replace('Transfer-Encoding: chunked\r\n', '')}id: 1\ndata: a\n\n`)
      if (crashPoint === 'inBody') socket.write(`${head}${formatChunk('id: 1\ndata: a\n\nid: 2\nda')}`)
      // leaves the bytes time to be sent before the connection breaks
      this.#schedule(() => this.end(parts), crashPoint === 'beforeHead' ? 0 : 3)
    }, prefillMs)
  }

  #writeStream (socket: Socket, head: string, afterEventId: number): void {
    socket.write(head)
    const writeNext = (event: number) => {
      if (socket.destroyed) return
      socket.write(formatChunk(`id: ${event}\ndata: a\n\n`))
      if (event < EVENTS) this.#schedule(() => writeNext(event + 1), EVENT_INTERVAL_MS)
      else socket.write('0\r\n\r\n')
    }
    writeNext(afterEventId + 1)
  }
}
