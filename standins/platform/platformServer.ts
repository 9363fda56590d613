import { setTimeout as sleep } from 'node:timers/promises'

import { systemClock } from '../../src/base/clock'
import { TokenBucket } from '../../src/store/tokenBucket'
import { hashText } from '../../src/base/identifiers'
import { HttpError, HttpServer, readJson, sendJson } from '../shared/httpServer'
import { LaggingValue } from '../shared/laggingValue'
import { ObjectStore, getEventKey, getEventVersion } from './objectStore'
import { NO_PLATFORM_FAULTS, listedInstancesSchema, platformFaultsSchema } from './platformFaults'

import type { ListedInstance, WatchBatch, WriteCondition } from '../../src/store/objectService'
import type { ListenOptions } from '../shared/httpServer'
import type { WriteResult } from './objectStore'
import type { PlatformFaults } from './platformFaults'
import type { IncomingMessage, ServerResponse } from 'node:http'

const MAX_VALUE_BYTES = 1_000_000
const MAX_WATCH_MS = 60_000
const RETRY_AFTER_S = '1'

export interface PlatformOptions extends ListenOptions {
  readsPerSecond?: number
  writesPerSecond?: number
  /** Minimum number of recent changes kept for watches. */
  historyLength?: number
  /** Milliseconds by which the list of instances lags. */
  instancesLagMs?: number
}

type CallKind = 'get' | 'list' | 'put' | 'delete' | 'watch' | 'instances'

/** Counts of calls since the platform started. */
export interface PlatformCounters {
  byKind: Record<CallKind, number>
  /** Calls by the first segment of the key or prefix. */
  byPrefix: Record<string, number>
  rateLimited: number
}

interface PendingWatch {
  prefix: string
  after: number
  finish: () => void
}

/**
 * Starts a stand-in of the platform's object service.
 *
 * @example
 * const platform = await startPlatform({ writesPerSecond: 50 })
 * await platform.setFaults({ outage: 'answer503' })
 * await platform.close()
 */
export async function startPlatform (options: PlatformOptions = {}): Promise<PlatformServer> {
  const platform = new PlatformServer(options)
  await platform.open()
  return platform
}

/** Serves the platform's object service over HTTP, with configurable faults. */
export class PlatformServer {
  readonly #http: HttpServer
  readonly #store: ObjectStore
  readonly #reads: TokenBucket
  readonly #writes: TokenBucket
  readonly #instances: LaggingValue<ListedInstance[]>
  readonly #watches = new Set<PendingWatch>()
  readonly #counters = createCounters()
  #faults = NO_PLATFORM_FAULTS
  #outageTimer: NodeJS.Timeout | undefined

  constructor (options: PlatformOptions) {
    const readsPerSecond = options.readsPerSecond ?? 2000
    const writesPerSecond = options.writesPerSecond ?? 400
    this.#store = new ObjectStore({ historyLength: options.historyLength ?? 10_000 })
    this.#reads = new TokenBucket({ ratePerSecond: readsPerSecond, burst: Math.max(1, readsPerSecond), clock: systemClock })
    this.#writes = new TokenBucket({ ratePerSecond: writesPerSecond, burst: Math.max(1, writesPerSecond), clock: systemClock })
    this.#instances = new LaggingValue([], { lagMs: options.instancesLagMs ?? 1000, clock: systemClock })
    this.#http = new HttpServer((request, response) => this.#handle(request, response), options)
  }

  get url (): string {
    return this.#http.url
  }

  get address (): string {
    return this.#http.address
  }

  getCounters (): PlatformCounters {
    return structuredClone(this.#counters)
  }

  async open (): Promise<void> {
    await this.#http.open()
  }

  async close (): Promise<void> {
    clearTimeout(this.#outageTimer)
    if (this.#faults.outage !== 'refuse') await this.#http.close()
  }

  setInstances (instances: ListedInstance[]): void {
    this.#instances.set(instances)
  }

  /** Sets the faults in `change`; the others stay unchanged. */
  async setFaults (change: Partial<PlatformFaults>): Promise<void> {
    const before = this.#faults
    this.#faults = { ...before, ...change }
    if (change.staleList !== undefined) this.#instances.setFrozen(change.staleList)
    if (change.outage === undefined) return
    clearTimeout(this.#outageTimer)
    if (change.outage !== 'none') this.#endWatches()
    if (change.outage === 'refuse' && before.outage !== 'refuse') await this.#http.close()
    if (change.outage !== 'refuse' && before.outage === 'refuse') await this.#http.open()
    if (change.outage === 'none' || this.#faults.outageMs === 0) return
    this.#outageTimer = setTimeout(() => { this.setFaults({ outage: 'none', outageMs: 0 }).catch(() => {}) }, this.#faults.outageMs)
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', this.url)
    if (url.pathname.startsWith('/control/')) return await this.#handleControl(url.pathname, request, response)
    const kind = getCallKind(request.method, url.pathname)
    const key = decodeURIComponent(url.pathname.slice('/objects/'.length))
    this.#countCall(kind, kind === 'list' || kind === 'watch' ? url.searchParams.get('prefix') ?? '' : key)
    if (this.#faults.outage === 'hang') return
    if (this.#faults.outage === 'answer503') return sendJson(response, 503, { error: 'unavailable' })
    const bucket = kind === 'put' || kind === 'delete' ? this.#writes : this.#reads
    if (bucket.acquire(0).kind === 'refused') return this.#sendRateLimited(response)
    const body = kind === 'put' ? await readJson(request) : undefined
    if (this.#faults.slowMs > 0) await sleep(this.#faults.slowMs)
    switch (kind) {
      case 'get': return this.#handleGet(key, response)
      case 'list': return this.#handleList(url, response)
      case 'put': return this.#handlePut(key, body, request, response)
      case 'delete': return this.#handleDelete(key, request, response)
      case 'watch': return await this.#handleWatch(url, response)
      case 'instances': return this.#handleInstances(request, response)
    }
  }

  async #handleControl (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (path === '/control/counters') return sendJson(response, 200, this.#counters)
    if (path === '/control/faults') {
      const change = platformFaultsSchema.partial().safeParse(await readJson(request))
      if (!change.success) throw new HttpError(400, change.error.message)
      if (change.data.outage === 'refuse' && !change.data.outageMs) throw new HttpError(400, "outage 'refuse' needs outageMs")
      sendJson(response, 200, { ...this.#faults, ...change.data })
      await new Promise(resolve => response.on('close', resolve))
      return await this.setFaults(change.data)
    }
    if (path !== '/control/instances') throw new HttpError(404, `no control at ${path}`)
    const instances = listedInstancesSchema.safeParse(await readJson(request))
    if (!instances.success) throw new HttpError(400, instances.error.message)
    this.setInstances(instances.data)
    sendJson(response, 200, {})
  }

  #handleGet (key: string, response: ServerResponse): void {
    const object = this.#store.get(key)
    if (object === null) return sendJson(response, 404, { error: 'not found' })
    sendJson(response, 200, object)
  }

  #handleList (url: URL, response: ServerResponse): void {
    const objects = this.#store.list(url.searchParams.get('prefix') ?? '')
    sendJson(response, 200, { objects, revision: this.#store.revision })
  }

  #handleInstances (request: IncomingMessage, response: ServerResponse): void {
    const instances = this.#instances.get()
    const etag = `"${hashText(JSON.stringify(instances))}"`
    if (request.headers['if-none-match'] === etag) response.writeHead(304, { etag }).end()
    else sendJson(response, 200, { instances }, { etag })
  }

  #handlePut (key: string, value: unknown, request: IncomingMessage, response: ServerResponse): void {
    if (Buffer.byteLength(JSON.stringify(value)) > MAX_VALUE_BYTES) throw new HttpError(413, 'the value is larger than a megabyte')
    const result = this.#store.put(key, value, readCondition(request))
    this.#finishWrite(key, result, response)
  }

  #handleDelete (key: string, request: IncomingMessage, response: ServerResponse): void {
    const condition = readCondition(request)
    if (condition.kind !== 'version') throw new HttpError(400, 'a delete needs If-Match with a version')
    this.#finishWrite(key, this.#store.delete(key, condition.version), response)
  }

  #finishWrite (key: string, result: WriteResult, response: ServerResponse): void {
    if (result.kind === 'written') this.#notifyWatches(key)
    if (this.#faults.applyThenLoseAnswer > 0 && key.startsWith(this.#faults.applyThenLoseAnswerPrefix)) {
      this.#faults = { ...this.#faults, applyThenLoseAnswer: this.#faults.applyThenLoseAnswer - 1 }
      response.destroy()
      return
    }
    if (result.kind === 'written') sendJson(response, 200, { version: result.version })
    else sendJson(response, 412, { current: result.current })
  }

  async #handleWatch (url: URL, response: ServerResponse): Promise<void> {
    const prefix = url.searchParams.get('prefix') ?? ''
    const after = Number(url.searchParams.get('after'))
    const timeoutMs = Math.min(Number(url.searchParams.get('timeoutMs') ?? 0), MAX_WATCH_MS)
    if (!Number.isInteger(after) || !Number.isFinite(timeoutMs)) throw new HttpError(400, 'after and timeoutMs must be numbers')
    const first = this.#store.readEvents(prefix, after)
    if (first.kind === 'events' && first.batch.events.length === 0) await this.#waitForChange(prefix, after, timeoutMs, response)
    const result = this.#store.readEvents(prefix, after)
    const batch = result.kind === 'events' ? this.#addOldEvent(result.batch) : null
    if (this.#faults.watchDelayMs > 0) await sleep(this.#faults.watchDelayMs)
    if (this.#faults.outage === 'hang') return
    if (this.#faults.outage === 'answer503') return sendJson(response, 503, { error: 'unavailable' })
    if (batch === null) return sendJson(response, 410, { error: `revision ${after} is too old to continue from` })
    sendJson(response, 200, batch)
  }

  async #waitForChange (prefix: string, after: number, timeoutMs: number, response: ServerResponse): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = () => {
        clearTimeout(timer)
        this.#watches.delete(watch)
        resolve()
      }
      const timer = setTimeout(finish, timeoutMs)
      const watch = { prefix, after, finish }
      this.#watches.add(watch)
      response.on('close', finish)
    })
  }

  #notifyWatches (key: string): void {
    for (const watch of this.#watches) if (key.startsWith(watch.prefix)) watch.finish()
  }

  #endWatches (): void {
    for (const watch of this.#watches) watch.finish()
  }

  #addOldEvent (batch: WatchBatch): WatchBatch {
    const last = batch.events.at(-1)
    const older = last === undefined ? null : this.#store.findOlderEvent(getEventKey(last), getEventVersion(last))
    if (this.#faults.replayOldEvents === 0 || older === null) return batch
    this.#faults = { ...this.#faults, replayOldEvents: this.#faults.replayOldEvents - 1 }
    return { ...batch, events: [...batch.events, older] }
  }

  #countCall (kind: CallKind, key: string): void {
    const prefix = key.split('/')[0] ?? ''
    this.#counters.byKind[kind] += 1
    this.#counters.byPrefix[prefix] = (this.#counters.byPrefix[prefix] ?? 0) + 1
  }

  #sendRateLimited (response: ServerResponse): void {
    this.#counters.rateLimited += 1
    sendJson(response, 429, { error: 'above the rate limit' }, { 'retry-after': RETRY_AFTER_S })
  }
}

function createCounters (): PlatformCounters {
  return { byKind: { get: 0, list: 0, put: 0, delete: 0, watch: 0, instances: 0 }, byPrefix: {}, rateLimited: 0 }
}

function getCallKind (method: string | undefined, path: string): CallKind {
  const call = `${method} ${path.replace(/^\/objects\/.+$/, '/objects/KEY')}`
  switch (call) {
    case 'GET /objects/KEY': return 'get'
    case 'GET /objects': return 'list'
    case 'PUT /objects/KEY': return 'put'
    case 'DELETE /objects/KEY': return 'delete'
    case 'GET /watch': return 'watch'
    case 'GET /instances': return 'instances'
    default: throw new HttpError(404, `no call at ${call}`)
  }
}

function readCondition (request: IncomingMessage): WriteCondition {
  if (request.headers['if-none-match'] === '*') return { kind: 'absent' }
  const version = Number(request.headers['if-match']?.replaceAll('"', ''))
  if (!Number.isInteger(version)) throw new HttpError(428, 'a write needs If-None-Match: * or If-Match: VERSION')
  return { kind: 'version', version }
}
