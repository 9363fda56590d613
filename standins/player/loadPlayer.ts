import { setTimeout as sleep } from 'node:timers/promises'

import { systemClock } from '../../src/base/clock'
import { CallerClient } from './callerClient'

import type { CallerClientOptions } from './callerClient'
import type { CallerRecord, SendRecord } from './callerRecord'
import type { PlannedRequest } from './plannedRequest'

const RETRY_JITTER_FRACTION = 0.25
const LOST_ANSWER_RETRY_MS = 500

export interface LoadPlayerOptions extends CallerClientOptions {
  random: () => number
  /** Maximum retries of one request after a refusal or a lost answer. */
  maxRetries: number
  /** Milliseconds after the start of the plan; no caller retries later than this. */
  lastRetryMs: number
}

/** Counts of sends in a running load. */
export interface LoadCounts {
  sent: number
  answered: number
  refused: number
  waiting: number
}

/**
 * Sends the requests of a plan to real gateways and records what each caller observes.
 *
 * @example
 * const player = new LoadPlayer({ gateways: ['127.0.0.1:8080'], silenceMs: 60_000, random, maxRetries: 2, lastRetryMs: 20_000 })
 * const records = await player.play(plan)
 */
export class LoadPlayer {
  readonly #options: LoadPlayerOptions
  readonly #client: CallerClient
  readonly #counts: LoadCounts = { sent: 0, answered: 0, refused: 0, waiting: 0 }
  #startMs = 0

  constructor (options: LoadPlayerOptions) {
    this.#options = options
    this.#client = new CallerClient(options)
  }

  getCounts (): LoadCounts {
    return { ...this.#counts }
  }

  /** Sends every request of `plan` at its time; resolves when all requests have ended. */
  async play (plan: PlannedRequest[]): Promise<CallerRecord[]> {
    this.#startMs = systemClock.getMonotonicMs()
    const records = await Promise.all(plan.map(request => this.#playRequest(request)))
    this.#client.close()
    return records
  }

  async #playRequest (request: PlannedRequest): Promise<CallerRecord> {
    const record: CallerRecord = { request, sends: [] }
    await sleep(request.atMs - this.#getElapsedMs())
    for (let retries = 0; ; retries++) {
      const gateway = (request.gateway + retries) % this.#options.gateways.length
      const send = await this.#send(request, gateway)
      record.sends.push(send)
      const retryDelayMs = chooseRetryDelayMs(request, send)
      if (retryDelayMs === null || retries === this.#options.maxRetries) return record
      const jitteredDelayMs = retryDelayMs * (1 + RETRY_JITTER_FRACTION * this.#options.random())
      if (this.#getElapsedMs() + jitteredDelayMs > this.#options.lastRetryMs) return record
      await sleep(jitteredDelayMs)
    }
  }

  async #send (request: PlannedRequest, gateway: number): Promise<SendRecord> {
    this.#counts.sent += 1
    this.#counts.waiting += 1
    const send = await this.#client.send(request, gateway)
    this.#counts.waiting -= 1
    if (send.outcome.kind === 'answered') this.#counts.answered += 1
    else this.#counts.refused += 1
    return send
  }

  #getElapsedMs (): number {
    return systemClock.getMonotonicMs() - this.#startMs
  }
}

/** Returns the milliseconds until the caller retries, or null if it does not retry. */
function chooseRetryDelayMs (request: PlannedRequest, send: SendRecord): number | null {
  const { outcome } = send
  const isRetryable = request.idempotent || request.idempotencyKey !== undefined
  switch (outcome.kind) {
    case 'answered': return null
    case 'broken': return isRetryable ? LOST_ANSWER_RETRY_MS : null
    case 'refused':
      if (outcome.execution !== 'not_run' && !isRetryable) return null
      return outcome.retryAfterMs
  }
}
