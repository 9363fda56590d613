import http from 'node:http'

import { Result } from 'true-myth'

import { systemClock } from '../base/clock'
import { Progress } from '../base/progress'

import { waitFor } from './channels'
import { sendHttpCall } from './httpCall'
import { createUnavailable, parseResponse, resolveCall } from './objectServiceResponses'
import { objectServiceMessages } from './objectServiceMessages'
import { CircuitBreaker } from './circuitBreaker'
import { TokenBucket } from './tokenBucket'

import type { Clock } from '../base/clock'
import type { HttpCall, HttpCallResult } from './httpCall'
import type { CallResult, HttpResponse } from './objectServiceResponses'
import type { ListedInstance, ObjectService, ObjectServiceError, StoredObject, WatchBatch, WriteCondition } from './objectService'

export interface HttpObjectServiceOptions {
  /** Base URL of the service, such as `http://127.0.0.1:7000`. */
  baseUrl: string
  clock?: Clock
  getRandom?: () => number
  /** Rate limit of this process in calls per second, and the burst allowed after an idle time. */
  callsPerSecond?: number
  callBurst?: number
  /** Timeout in milliseconds of a call other than a watch. */
  callTimeoutMs?: number
}

/** Number of calls made, by kind, and of calls refused locally before they were sent. */
export interface CallCounts {
  get: number
  list: number
  put: number
  delete: number
  watch: number
  listInstances: number
  probe: number
  refused: number
}

type CallKind = Exclude<keyof CallCounts, 'refused'>

/** Largest value of one object in bytes. */
export const MAX_VALUE_BYTES = 1_000_000
const MAX_OBJECT_RESPONSE_BYTES = 2 * MAX_VALUE_BYTES
const MAX_LIST_RESPONSE_BYTES = 64 * MAX_VALUE_BYTES
const DEFAULT_CALLS_PER_SECOND = 50
const DEFAULT_CALL_BURST = 100
const DEFAULT_CALL_TIMEOUT_MS = 3_000
const MAX_RATE_LIMIT_WAIT_MS = 1_000
/**
 * Shortest timeout in milliseconds whose expiry counts as a failure of the service. A shorter timeout
 * of a caller shows nothing about the service, and neither does one watch without a response.
 */
const MIN_FAILURE_TIMEOUT_MS = 500
const WATCH_GRACE_MS = 2_000
const PROBE_KEY = 'status/probe'

/**
 * Client of the platform's object service over HTTP with keep-alive connections. It limits the call
 * rate of the process. While the service is known to be down, it refuses calls at once.
 *
 * @example
 * const service = new HttpObjectService({ baseUrl: 'http://127.0.0.1:7000' })
 * const result = await service.get('config/manifest', new Progress({ title: 'reading', timeoutMs: 500 }))
 * await service.close()
 */
export class HttpObjectService implements ObjectService {
  /** Number of calls so far, by kind. */
  readonly callCounts: CallCounts = { get: 0, list: 0, put: 0, delete: 0, watch: 0, listInstances: 0, probe: 0, refused: 0 }
  readonly #baseUrl: string
  readonly #callTimeoutMs: number
  readonly #agent = new http.Agent({ keepAlive: true })
  readonly #bucket: TokenBucket
  readonly #circuit: CircuitBreaker
  /** Last list of instances with its ETag, so that the service need not send an unchanged list again. */
  #cachedInstances: { tag: string, instances: ListedInstance[] } | null = null

  constructor (options: HttpObjectServiceOptions) {
    this.#baseUrl = options.baseUrl
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS
    this.#bucket = new TokenBucket({
      ratePerSecond: options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND,
      burst: options.callBurst ?? DEFAULT_CALL_BURST,
      clock: options.clock ?? systemClock
    })
    this.#circuit = new CircuitBreaker({ probe: async () => await this.#probe(), getRandom: options.getRandom })
  }

  /** Returns whether the service counts as up; while it does not, calls are refused at once. */
  isAvailable (): boolean {
    return !this.#circuit.isOpen()
  }

  /** Stops probing and closes the connections. */
  async close (): Promise<void> {
    await this.#circuit.stop()
    this.#agent.destroy()
  }

  async get (key: string, progress: Progress): Promise<CallResult<StoredObject | null>> {
    const call = this.#createCall('GET', toObjectPath(key))
    return await this.#run('get', call, progress, response => {
      return response.status === 404 ? Result.ok(null) : parseResponse(response, objectServiceMessages.object)
    })
  }

  async list (prefix: string, progress: Progress): Promise<CallResult<{ objects: StoredObject[], revision: number }>> {
    const call = this.#createCall('GET', `/objects?prefix=${encodeURIComponent(prefix)}`)
    call.maxResponseBytes = MAX_LIST_RESPONSE_BYTES
    return await this.#run('list', call, progress, response => parseResponse(response, objectServiceMessages.list))
  }

  async put (key: string, value: unknown, condition: WriteCondition, progress: Progress): Promise<CallResult<{ version: number }>> {
    const body = JSON.stringify(value)
    const size = Buffer.byteLength(body)
    if (size > MAX_VALUE_BYTES) {
      return createUnavailable(`the value of ${key} is ${size} bytes, larger than the limit of ${MAX_VALUE_BYTES} bytes per object`)
    }
    const call = this.#createCall('PUT', toObjectPath(key))
    call.headers = { 'content-type': 'application/json', 'content-length': String(size), ...toConditionHeaders(condition) }
    call.body = body
    return await this.#run('put', call, progress, response => parseResponse(response, objectServiceMessages.written))
  }

  async delete (key: string, version: number, progress: Progress): Promise<CallResult<null>> {
    const call = this.#createCall('DELETE', toObjectPath(key))
    call.headers = toConditionHeaders({ kind: 'version', version })
    return await this.#run('delete', call, progress, () => Result.ok(null))
  }

  /** Waits for changes below `prefix`. A `conflict` means that `afterRevision` is too old to continue from. */
  async watch (prefix: string, afterRevision: number, timeoutMs: number, progress: Progress): Promise<CallResult<WatchBatch>> {
    const query = new URLSearchParams({ prefix, after: String(afterRevision), timeoutMs: String(Math.round(timeoutMs)) })
    const call = this.#createCall('GET', `/watch?${query}`)
    call.maxResponseBytes = MAX_LIST_RESPONSE_BYTES
    call.timeoutMs = timeoutMs + WATCH_GRACE_MS
    return await this.#run('watch', call, progress, response => parseResponse(response, objectServiceMessages.watch))
  }

  async listInstances (progress: Progress): Promise<CallResult<ListedInstance[]>> {
    const cached = this.#cachedInstances
    const call = { ...this.#createCall('GET', '/instances'), headers: cached === null ? undefined : { 'if-none-match': cached.tag } }
    return await this.#run('listInstances', call, progress, response => {
      if (response.status === 304 && cached !== null) return Result.ok(cached.instances)
      const instances = parseResponse(response, objectServiceMessages.instances).map(message => message.instances)
      const tag = response.headers.etag
      if (instances.isOk) this.#cachedInstances = tag === undefined ? null : { tag, instances: instances.value }
      return instances
    })
  }

  #createCall (method: HttpCall['method'], path: string): HttpCall {
    return { method, url: new URL(path, this.#baseUrl), timeoutMs: this.#callTimeoutMs, maxResponseBytes: MAX_OBJECT_RESPONSE_BYTES }
  }

  async #run<T> (kind: CallKind, call: HttpCall, progress: Progress, parse: (response: HttpResponse) => CallResult<T>): Promise<CallResult<T>> {
    const refusal = await this.#admit(progress)
    if (refusal !== null) {
      this.callCounts.refused += 1
      return Result.err(refusal)
    }
    const timeoutMs = Math.min(call.timeoutMs, progress.getRemainingMs())
    const result = await this.#send(kind, { ...call, timeoutMs }, progress)
    return resolveCall(call.method, result, parse)
  }

  async #admit (progress: Progress): Promise<ObjectServiceError | null> {
    if (this.#circuit.isOpen()) return { kind: 'unavailable', message: 'the object service is known to be down' }
    const reservation = this.#bucket.acquire(Math.min(MAX_RATE_LIMIT_WAIT_MS, progress.getRemainingMs()))
    if (reservation.kind === 'refused') return { kind: 'rateLimited', retryAfterMs: reservation.retryAfterMs }
    if (reservation.waitMs > 0) await waitFor(reservation.waitMs, progress.signal)
    if (progress.signal.aborted || progress.getRemainingMs() === 0) {
      return { kind: 'unavailable', message: 'the deadline passed before the call was sent' }
    }
    return null
  }

  async #send (kind: CallKind, call: HttpCall, progress: Progress): Promise<HttpCallResult> {
    this.callCounts[kind] += 1
    const result = await sendHttpCall(this.#agent, call, progress)
    switch (result.kind) {
      case 'answered':
        if (result.status === 503) this.#circuit.recordFailure()
        else this.#circuit.recordSuccess()
        return result
      case 'notSent':
      case 'noAnswer':
        this.#circuit.recordFailure()
        return result
      case 'timedOut':
        if (kind !== 'watch' && call.timeoutMs >= MIN_FAILURE_TIMEOUT_MS) this.#circuit.recordFailure()
        return result
      case 'aborted':
        return result
    }
  }

  async #probe (): Promise<boolean> {
    const progress = new Progress({ title: 'probing the object service', timeoutMs: this.#callTimeoutMs })
    const result = await this.#send('probe', this.#createCall('GET', toObjectPath(PROBE_KEY)), progress)
    return result.kind === 'answered' && result.status !== 503
  }
}

function toObjectPath (key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`
}

function toConditionHeaders (condition: WriteCondition): Record<string, string> {
  switch (condition.kind) {
    case 'absent': return { 'if-none-match': '*' }
    case 'version': return { 'if-match': String(condition.version) }
  }
}
