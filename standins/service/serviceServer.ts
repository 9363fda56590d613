import { setTimeout as sleep } from 'node:timers/promises'

import * as z from 'zod'

import { EndpointHost } from '../shared/endpointHost'
import { readBody } from '../shared/httpServer'
import { createSeededRandom } from '../shared/seededRandom'
import { generateServiceAnswer, hashServiceCall } from './generateServiceAnswer'

import type { EndpointBehavior, EndpointHostOptions } from '../shared/endpointHost'
import type { ServiceCall } from './generateServiceAnswer'
import type { ServiceExecution, ServiceRecord } from './serviceRecord'
import type { IncomingMessage, ServerResponse } from 'node:http'

const SEED_HEX_DIGITS = 8
const LOWEST_PRIORITY = 1000

/** Faults of the service stand-in; `POST /control/faults` sets the faults named in its body. */
export const serviceFaultsSchema = z.strictObject({
  /** Crashes the service once, immediately. */
  crash: z.boolean().optional(),
  /** Stalls the currently open connections permanently; later connections work. */
  freeze: z.boolean().optional(),
  /** Factor that multiplies the duration of every execution. */
  slowFactor: z.number().positive().optional(),
  /** Crashes the service when a call whose body contains this text starts; empty for never. */
  crashMarker: z.string().optional(),
  /** Number of next executions whose connection is closed without an answer. */
  executeThenLoseAnswer: z.number().int().nonnegative().optional()
})
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>

export interface ServiceOptions extends EndpointHostOptions {
  /** Maximum concurrent executions; further calls wait. */
  slots?: number
  /** Mean duration of an execution, in milliseconds. */
  serviceMs?: number
}

/**
 * Starts a stand-in of a plain service.
 *
 * @example
 * const service = await startService({ name: 'desk-1', serviceMs: 50 })
 * await service.host.setFaults({ executeThenLoseAnswer: 1 })
 * await service.host.close()
 */
export async function startService (options: ServiceOptions): Promise<ServiceServer> {
  const service = new ServiceServer(options)
  await service.host.open()
  return service
}

/** Plain service that records each execution and whose answer is a deterministic function of the call. */
export class ServiceServer implements EndpointBehavior<ServiceFaults> {
  readonly faultsSchema = serviceFaultsSchema
  readonly host: EndpointHost<ServiceFaults>
  readonly #options: ServiceOptions
  readonly #record: ServiceRecord
  #faults: ServiceFaults = {}
  #running = 0
  #waiting: Array<() => void> = []

  constructor (options: ServiceOptions) {
    this.#options = options
    this.#record = { endpoint: options.name, executions: [] }
    this.host = new EndpointHost(this, options)
  }

  getRecord (): ServiceRecord {
    return this.#record
  }

  setFaults (change: ServiceFaults): void {
    this.#faults = { ...this.#faults, ...change }
  }

  handleCrash (): void {
    for (const execution of this.#record.executions) if (execution.endedAtMs === null) endExecution(execution, 'crashed')
    this.#running = 0
    this.#waiting = []
  }

  async handle (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = { method: request.method ?? 'GET', path, body: await readBody(request) }
    const bootId = this.host.bootId
    await this.#acquireSlot()
    const execution = this.#startExecution(call, request)
    await sleep(this.#getServiceMs(call))
    if (this.host.bootId !== bootId || execution.endedAtMs !== null) return
    this.#releaseSlot()
    this.#finishExecution(call, execution, response)
  }

  async #acquireSlot (): Promise<void> {
    if (this.#running >= (this.#options.slots ?? 8)) await new Promise<void>(resolve => this.#waiting.push(resolve))
    else this.#running += 1
  }

  #releaseSlot (): void {
    const next = this.#waiting.shift()
    if (next === undefined) this.#running -= 1
    else next()
  }

  #startExecution (call: ServiceCall, request: IncomingMessage): ServiceExecution {
    const execution: ServiceExecution = {
      endpoint: this.host.name,
      bootId: this.host.bootId,
      method: call.method,
      path: call.path,
      digest: hashServiceCall(call),
      idempotencyKey: request.headers['idempotency-key']?.toString() ?? null,
      attemptId: request.headers['x-tanagerwick-attempt']?.toString() ?? null,
      priority: Number(request.headers['x-priority'] ?? LOWEST_PRIORITY),
      startedAtMs: Date.now(),
      endedAtMs: null,
      state: 'running'
    }
    this.#record.executions.push(execution)
    const marker = this.#faults.crashMarker
    if (marker && call.body.includes(marker)) setImmediate(() => { this.host.killAndRestart().catch(() => {}) })
    return execution
  }

  #getServiceMs (call: ServiceCall): number {
    const random = createSeededRandom(parseInt(hashServiceCall(call).slice(0, SEED_HEX_DIGITS), 16))
    const meanMs = (this.#options.serviceMs ?? 50) * (this.#faults.slowFactor ?? 1)
    return meanMs * (0.5 + random())
  }

  #finishExecution (call: ServiceCall, execution: ServiceExecution, response: ServerResponse): void {
    const losesAnswer = (this.#faults.executeThenLoseAnswer ?? 0) > 0
    endExecution(execution, losesAnswer || response.destroyed ? 'answerLost' : 'answered')
    if (losesAnswer) {
      this.setFaults({ executeThenLoseAnswer: this.#faults.executeThenLoseAnswer! - 1 })
      response.destroy()
      return
    }
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(generateServiceAnswer(call))
  }
}

function endExecution (execution: ServiceExecution, state: ServiceExecution['state']): void {
  execution.state = state
  execution.endedAtMs = Date.now()
}
