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

/** Faults of the service stand-in; `POST /control/faults` sets those that its body names. */
export const serviceFaultsSchema = z.strictObject({
  /** Crashes once, now. */
  crash: z.boolean().optional(),
  /** Makes the connections open now silent for good, once. */
  freeze: z.boolean().optional(),
  /** Factor by which every call takes longer. */
  slowFactor: z.number().positive().optional(),
  /** Crashes when a call whose body contains this text starts; empty for never. */
  crashMarker: z.string().optional(),
  /** Executions to come whose connection is destroyed in place of an answer. */
  executeThenLoseAnswer: z.number().int().nonnegative().optional()
})
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>

export interface ServiceOptions extends EndpointHostOptions {
  /** Calls executed at once; others wait. */
  slots?: number
  /** Mean milliseconds of an execution. */
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

/** A plain service that records each execution and answers with a function of the call. */
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
