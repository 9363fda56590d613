import { ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { setTimeout as waitFor } from 'node:timers/promises'

import { HttpServer } from '../shared/httpServer'

import type { IncomingMessage } from 'node:http'

/** One object in the published format of the users' platform. */
interface PlatformObject {
  metadata: { name: string, revision: number, created: number, finalizers: string[], deleting: boolean }
  spec: unknown
  status: unknown
}

/** Backup of all objects and the revision. */
export interface ObjectsBackup {
  objects: ReadonlyMap<string, PlatformObject>
  revision: number
}

/** The parts of a request that serving needs; they remain usable after its connection is closed. */
type RequestSource = Pick<IncomingMessage, 'method' | 'url'> & AsyncIterable<unknown>

interface ObjectEvent {
  kind: string
  revision: number
  object: PlatformObject
  deleted: boolean
}

/** Fault with which the server handles every request. */
export type ObjectsFault = 'none' | 'busy' | 'limited' | 'silent' | 'reset' | 'garbled'
  /** Delays every answer. */
  | 'slow'
  /** Applies each write, then resets the connection without an answer. */
  | 'lostAnswers'
  /** Sends no answer to a write and applies it later, if its condition still holds. */
  | 'lateWrites'

export interface ObjectsServerOptions {
  /** Maximum objects per page of a list. */
  pageSize?: number
}

const OBJECT_PATH = /^\/tanagerwick\/objects\/([^/?]+)(?:\/([^/?]+))?(?:\?(.*))?$/
const WATCH_POLL_MS = 5
const SLOW_ANSWER_DELAY_MS = 800
const LATE_WRITE_DELAY_MS = 2000

/**
 * Stand-in for the object service of the users' platform, with its published protocol: paged lists, long-polling
 * watches, conditional writes, a history that can be dropped, and several kinds of outages.
 */
export class ObjectsServer {
  readonly #server: HttpServer
  readonly #objects = new Map<string, PlatformObject>()
  readonly #pageSize: number
  #events: ObjectEvent[] = []
  #revision = 1
  #era = 0
  #oldestRevision = 0
  fault: ObjectsFault = 'none'
  /** Method and path of each call, in order. */
  readonly calls: string[] = []

  constructor (options: ObjectsServerOptions = {}) {
    this.#pageSize = options.pageSize ?? 500
    this.#server = new HttpServer(async (request, response) => await this.#handleRequest(request, response), {})
  }

  get url (): string {
    return this.#server.url
  }

  async open (): Promise<void> {
    await this.#server.open()
  }

  async close (): Promise<void> {
    await this.#server.close()
  }

  /** Writes an object without a condition, as an operator or an endpoint would. */
  put (kind: string, name: string, spec: unknown): PlatformObject {
    this.#revision += 1
    const created = this.#objects.get(`${kind}/${name}`)?.metadata.created ?? this.#revision
    const object: PlatformObject = { metadata: { name, revision: this.#revision, created, finalizers: [], deleting: false }, spec, status: null }
    this.#objects.set(`${kind}/${name}`, object)
    this.#events.push({ kind, revision: this.#revision, object, deleted: false })
    return object
  }

  remove (kind: string, name: string): void {
    const object = this.#objects.get(`${kind}/${name}`)
    if (object === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#events.push({ kind, revision: this.#revision, object, deleted: true })
  }

  /** Drops the history, so that a watch from an earlier revision receives 410. */
  dropHistory (): void {
    this.#oldestRevision = this.#revision
    this.#events = []
  }

  /** Takes a backup of the state for `loadBackup`. */
  saveBackup (): ObjectsBackup {
    return { objects: new Map(this.#objects), revision: this.#revision }
  }

  /** Restores an older backup: later writes are lost, and their revisions are assigned again. */
  loadBackup ({ objects, revision }: ObjectsBackup): void {
    this.#objects.clear()
    for (const [key, object] of objects) this.#objects.set(key, object)
    this.#events = this.#events.filter(event => event.revision <= revision)
    this.#revision = revision
    this.#era += 1
  }

  async #handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls.push(`${request.method} ${request.url}`)
    if (this.#era > 0) response.setHeader('store-era', this.#era)
    switch (this.fault) {
      case 'silent': return
      case 'reset':
        request.socket.resetAndDestroy()
        return
      case 'busy': return sendJson(response, 503, {})
      case 'limited': return sendJson(response, 429, {})
      case 'garbled':
        response.writeHead(200).end('{"items":')
        return
      case 'slow':
        await waitFor(SLOW_ANSWER_DELAY_MS)
        break
      case 'lostAnswers':
      case 'lateWrites':
        if (request.method !== 'GET') return await this.#applyWriteWithoutAnswer(request, this.fault === 'lateWrites' ? LATE_WRITE_DELAY_MS : 0)
        break
      case 'none': break
    }
    await this.#serveNormally(request, response)
  }

  /** Applies a write after `delayMs` and resets its connection without an answer. */
  async #applyWriteWithoutAnswer (request: IncomingMessage, delayMs: number): Promise<void> {
    const body = await readText(request)
    await waitFor(delayMs)
    await this.#serveNormally(Object.assign(Readable.from([Buffer.from(body)]), { method: request.method, url: request.url }), new ServerResponse(request))
    request.socket.resetAndDestroy()
  }

  async #serveNormally (request: RequestSource, response: ServerResponse): Promise<void> {
    const match = OBJECT_PATH.exec(request.url ?? '')
    if (match === null) return sendJson(response, 404, {})
    const [, kind = '', name, query = ''] = match
    const parameters = new URLSearchParams(query)
    switch (request.method) {
      case 'GET':
        if (name !== undefined) return this.#sendObject(response, kind, decodeURIComponent(name))
        if (parameters.has('watch')) return await this.#sendChanges(response, kind, parameters)
        return this.#sendPage(response, kind, parameters.get('after'))
      case 'POST': return this.#create(response, kind, await readJson(request))
      case 'PUT': return this.#update(response, kind, decodeURIComponent(name ?? ''), await readJson(request))
      case 'DELETE': return this.#delete(response, kind, decodeURIComponent(name ?? ''), parameters.get('revision'))
      default: return sendJson(response, 405, {})
    }
  }

  #sendObject (response: ServerResponse, kind: string, name: string): void {
    const object = this.#objects.get(`${kind}/${name}`)
    sendJson(response, object === undefined ? 404 : 200, object ?? {})
  }

  #sendPage (response: ServerResponse, kind: string, after: string | null): void {
    const all = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    const rest = all.filter(object => after === null || object.metadata.name > after)
    sendJson(response, 200, { items: rest.slice(0, this.#pageSize), truncated: rest.length > this.#pageSize, currentRev: this.#revision })
  }

  async #sendChanges (response: ServerResponse, kind: string, parameters: URLSearchParams): Promise<void> {
    const from = Number(parameters.get('watch'))
    const endMs = performance.now() + Number(parameters.get('waitMs') ?? 0)
    const era = this.#era
    while (!response.destroyed) {
      if (era !== this.#era) {
        response.destroy()
        return
      }
      if (from < this.#oldestRevision || from > this.#revision) return sendJson(response, 410, {})
      const events = this.#events.filter(event => event.kind === kind && event.revision > from)
      if (events.length > 0 || performance.now() >= endMs) {
        return sendJson(response, 200, { events: events.map(({ object, deleted }) => ({ object, deleted })), currentRev: this.#revision })
      }
      await new Promise(resolve => setTimeout(resolve, WATCH_POLL_MS))
    }
  }

  #create (response: ServerResponse, kind: string, body: PlatformObject): void {
    const { name } = body.metadata
    const existing = this.#objects.get(`${kind}/${name}`)
    if (existing !== undefined) return sendJson(response, 409, existing)
    sendJson(response, 200, this.put(kind, name, body.spec))
  }

  #update (response: ServerResponse, kind: string, name: string, body: PlatformObject): void {
    const existing = this.#objects.get(`${kind}/${name}`)
    if (existing === undefined) return sendJson(response, 404, {})
    if (body.metadata.revision !== undefined && body.metadata.revision !== existing.metadata.revision) return sendJson(response, 409, existing)
    sendJson(response, 200, this.put(kind, name, body.spec))
  }

  #delete (response: ServerResponse, kind: string, name: string, revision: string | null): void {
    const existing = this.#objects.get(`${kind}/${name}`)
    if (existing === undefined) return sendJson(response, 404, {})
    if (revision !== null && Number(revision) !== existing.metadata.revision) return sendJson(response, 409, existing)
    this.remove(kind, name)
    sendJson(response, 200, {})
  }
}

function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}

async function readJson (request: AsyncIterable<unknown>): Promise<PlatformObject> {
  return JSON.parse(await readText(request)) as PlatformObject
}

async function readText (request: AsyncIterable<unknown>): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}
