import { setTimeout as sleep } from 'node:timers/promises'

import { systemClock } from '../../src/base/clock'
import { LaggingValue } from '../shared/laggingValue'
import { EndpointHost } from '../shared/endpointHost'
import { HttpError, readJson, sendJson } from '../shared/httpServer'
import { ContinuousBatch } from './continuousBatch'
import { chatBodySchema, engineFaultsSchema, ordersBodySchema } from './engineRequests'
import { generateAnswer, hashChatRequest } from './generateAnswer'
import { PrefixCache, countTokens } from './prefixCache'

import type { EndpointBehavior, EndpointHostOptions } from '../shared/endpointHost'
import type { BatchOptions, Generation } from './continuousBatch'
import type { EngineOrder, EngineRecord, EngineRun } from './engineRecord'
import type { ChatBody, EngineFaults } from './engineRequests'
import type { IncomingMessage, ServerResponse } from 'node:http'

const CHUNKS_BEFORE_TRUNCATION = 3
const LOWEST_PRIORITY = 1000

export interface EngineOptions extends EndpointHostOptions, Partial<BatchOptions> {
  /** Factor that divides the duration of every step. */
  speedFactor?: number
  prefixCacheTokens?: number
  /** Milliseconds by which the load at `/load` lags. */
  loadLagMs?: number
  /** Whether the engine refuses an order with an outdated fencing number. */
  checksFencing?: boolean
  /** Milliseconds until the engine answers an order. */
  orderMs?: number
  /** Models loaded at each boot. */
  models?: string[]
}

interface EngineState {
  models: string[]
  role: string
  fencingNumber: number
}

/**
 * Starts a stand-in of a model engine.
 *
 * @example
 * const engine = await startEngine({ name: 'engine-1', models: ['small'], slots: 4 })
 * await engine.host.setFaults({ slowFactor: 10 })
 * await engine.host.close()
 */
export async function startEngine (options: EngineOptions): Promise<EngineServer> {
  const engine = new EngineServer(options)
  await engine.host.open()
  return engine
}

/** Model engine with continuous batching whose answer is a deterministic function of the request. */
export class EngineServer implements EndpointBehavior<EngineFaults> {
  readonly faultsSchema = engineFaultsSchema
  readonly host: EndpointHost<EngineFaults>
  readonly #options: EngineOptions
  readonly #record: EngineRecord
  #load: LaggingValue<{ running: number, waiting: number }>
  #batch: ContinuousBatch
  #cache: PrefixCache
  #state: EngineState
  #faults: EngineFaults = {}
  #isStepping = false

  constructor (options: EngineOptions) {
    this.#options = options
    this.#record = { endpoint: options.name, runs: [], orders: [] }
    this.#batch = createBatch(options)
    this.#cache = createCache(options)
    this.#load = createLoad(options)
    this.#state = createState(options)
    this.host = new EndpointHost(this, options)
  }

  getRecord (): EngineRecord {
    return this.#record
  }

  setFaults (change: EngineFaults): void {
    this.#faults = { ...this.#faults, ...change }
  }

  handleCrash (): void {
    for (const run of this.#record.runs) if (run.endedAtMs === null) endRun(run, 'crashed')
    this.#batch = createBatch(this.#options)
    this.#cache = createCache(this.#options)
    this.#load = createLoad(this.#options)
    this.#state = createState(this.#options)
    this.#isStepping = false
  }

  async handle (path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (`${request.method} ${path}`) {
      case 'POST /v1/chat/completions': return await this.#handleChat(request, response)
      case 'GET /load': return sendJson(response, 200, this.#describeLoad())
      case 'POST /orders': return await this.#handleOrder(request, response)
      default: throw new HttpError(404, `no call at ${request.method} ${path}`)
    }
  }

  #describeLoad (): object {
    const load = this.#faults.loadReport ?? this.#load.get()
    return { ...load, slots: getSlots(this.#options), asOfMs: Date.now() - (this.#options.loadLagMs ?? 0) }
  }

  async #handleOrder (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = ordersBodySchema.safeParse(await readJson(request))
    if (!body.success) throw new HttpError(400, body.error.message)
    const { fencingNumber, order } = body.data
    const current = this.#state.fencingNumber
    const applied = fencingNumber >= current || this.#options.checksFencing === false
    this.#record.orders.push({ endpoint: this.host.name, receivedAtMs: Date.now(), fencingNumber, order, applied })
    if (!applied) return sendJson(response, 409, { error: 'staleFencingNumber', current })
    this.#state = applyOrder({ ...this.#state, fencingNumber }, order)
    const state = this.#state
    await sleep(this.#options.orderMs ?? 20)
    sendJson(response, 200, { state })
  }

  async #handleChat (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = chatBodySchema.safeParse(await readJson(request))
    if (!body.success) throw new HttpError(400, body.error.message)
    if (!this.#state.models.includes(body.data.model)) throw new HttpError(404, `model '${body.data.model}' is not loaded`)
    const chunks = listChunks(body.data)
    const run = this.#createRun(body.data, request)
    this.#record.runs.push(run)
    this.#startGeneration(body.data, chunks, run, request, response)
  }

  #createRun (body: ChatBody, request: IncomingMessage): EngineRun {
    return {
      endpoint: this.host.name,
      bootId: this.host.bootId,
      model: body.model,
      digest: hashChatRequest(body),
      attemptId: request.headers['x-tanagerwick-attempt']?.toString() ?? null,
      priority: Number(request.headers['x-priority'] ?? LOWEST_PRIORITY),
      arrivedAtMs: Date.now(),
      startedAtMs: null,
      endedAtMs: null,
      resumedAt: body.resume?.chunkCount ?? 0,
      tokens: 0,
      state: 'waiting'
    }
  }

  #startGeneration (body: ChatBody, chunks: string[], run: EngineRun, request: IncomingMessage, response: ServerResponse): void {
    const batch = this.#batch
    const prompt = JSON.stringify(body.messages)
    const generation: Generation = {
      priority: run.priority,
      prefillTokens: Math.max(0, countTokens(prompt) + run.resumedAt - this.#cache.putPrompt(prompt)),
      chunks,
      handleStart: () => this.#handleStart(run, prompt),
      handleChunk: text => this.#handleChunk(run, text, response),
      handleEnd: () => finishAnswer(run, response)
    }
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    response.flushHeaders()
    response.on('close', () => {
      if (this.host.isStalled(request) || run.endedAtMs !== null) return
      batch.remove(generation)
      endRun(run, 'cancelled')
      this.#recordLoad()
    })
    batch.add(generation)
    this.#recordLoad()
    this.#runSteps(batch).catch(error => this.#reportStepFailure(error))
  }

  #handleStart (run: EngineRun, prompt: string): void {
    run.state = 'running'
    run.startedAtMs = Date.now()
    const marker = this.#faults.crashMarker
    if (!marker || !prompt.includes(marker)) return
    setImmediate(() => { this.host.killAndRestart().catch(() => {}) })
  }

  #handleChunk (run: EngineRun, text: string, response: ServerResponse): void {
    run.tokens += 1
    writeEvent(response, text, null)
    const cutAnswers = this.#faults.cutAnswers ?? 0
    if (cutAnswers === 0 || run.tokens !== CHUNKS_BEFORE_TRUNCATION) return
    this.setFaults({ cutAnswers: cutAnswers - 1 })
    response.end()
  }

  async #runSteps (batch: ContinuousBatch): Promise<void> {
    if (this.#isStepping) return
    this.#isStepping = true
    let stepEndMs = systemClock.getMonotonicMs()
    for (let step = batch.beginStep(); step !== null; step = batch.beginStep()) {
      this.#recordLoad()
      stepEndMs += step.durationMs * (this.#faults.slowFactor ?? 1) / (this.#options.speedFactor ?? 1)
      await sleep(Math.max(0, stepEndMs - systemClock.getMonotonicMs()))
      if (batch !== this.#batch) return
      batch.finishStep(step)
    }
    this.#recordLoad()
    this.#isStepping = false
  }

  #recordLoad (): void {
    this.#load.set({ running: this.#batch.running, waiting: this.#batch.waiting })
  }

  #reportStepFailure (error: Error): void {
    process.stderr.write(`${this.host.name}: ${error.stack}\n`)
    process.exitCode = 1
  }
}

function listChunks (body: ChatBody): string[] {
  const chunks = generateAnswer(body)
  if (body.resume === undefined) return chunks
  const { text, chunkCount } = body.resume
  if (chunks.slice(0, chunkCount).join('') !== text) throw new HttpError(400, 'the text to resume from is not of this answer')
  return chunks.slice(chunkCount)
}

function applyOrder (state: EngineState, order: EngineOrder): EngineState {
  const listOtherModels = (model: string) => state.models.filter(loaded => loaded !== model)
  switch (order.kind) {
    case 'loadModel': return { ...state, models: [...listOtherModels(order.model), order.model] }
    case 'unloadModel': return { ...state, models: listOtherModels(order.model) }
    case 'setRole': return { ...state, role: order.role }
  }
}

function writeEvent (response: ServerResponse, content: string, finishReason: 'stop' | null): void {
  if (response.destroyed || response.writableEnded) return
  const event = { choices: [{ index: 0, delta: { content }, finish_reason: finishReason }] }
  response.write(`data: ${JSON.stringify(event)}\n\n`)
}

function finishAnswer (run: EngineRun, response: ServerResponse): void {
  endRun(run, 'completed')
  writeEvent(response, '', 'stop')
  if (!response.destroyed && !response.writableEnded) response.end('data: [DONE]\n\n')
}

function endRun (run: EngineRun, state: EngineRun['state']): void {
  run.state = state
  run.endedAtMs = Date.now()
}

function getSlots (options: EngineOptions): number {
  return options.slots ?? 8
}

function createBatch (options: EngineOptions): ContinuousBatch {
  return new ContinuousBatch({
    slots: getSlots(options),
    stepMs: options.stepMs ?? 20,
    stepMsPerRequest: options.stepMsPerRequest ?? 1,
    prefillMsPerToken: options.prefillMsPerToken ?? 0.05,
    prefillTokensPerStep: options.prefillTokensPerStep ?? 512
  })
}

function createCache (options: EngineOptions): PrefixCache {
  return new PrefixCache(options.prefixCacheTokens ?? 16_384)
}

function createLoad (options: EngineOptions): LaggingValue<{ running: number, waiting: number }> {
  return new LaggingValue({ running: 0, waiting: 0 }, { lagMs: options.loadLagMs ?? 500, clock: systemClock })
}

function createState (options: EngineOptions): EngineState {
  return { models: options.models ?? [], role: 'mixed', fencingNumber: 0 }
}
