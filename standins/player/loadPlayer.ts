import { setTimeout as sleep } from 'node:timers/promises'

import { systemClock } from '../../src/base/clock'
import { CallerClient } from './callerClient'

import type { CallerClientOptions } from './callerClient'
import type { CallerRecord, SendRecord } from './callerRecord'
import type { PlannedRequest } from './plannedRequest'

const RESEND_SPREAD = 0.25
const LOST_ANSWER_RESEND_MS = 500

export interface LoadPlayerOptions extends CallerClientOptions {
  random: () => number
  /** Times that a caller sends one request again after a refusal or a loss. */
  maxResends: number
  /** Milliseconds after the start past which no caller sends again. */
  lastSendMs: number
}

/** Counts of a running play. */
export interface PlayCounts {
  sent: number
  answered: number
  refused: number
  waiting: number
}

/**
 * Plays a plan of requests against real gateways and records what each caller saw.
 *
 * @example
 * const player = new LoadPlayer({ gateways: ['127.0.0.1:8080'], silenceMs: 60_000, random, maxResends: 2, lastSendMs: 20_000 })
 * const records = await player.play(plan)
 */
export class LoadPlayer {
  readonly #options: LoadPlayerOptions
  readonly #client: CallerClient
  readonly #counts: PlayCounts = { sent: 0, answered: 0, refused: 0, waiting: 0 }
  #startMs = 0

  constructor (options: LoadPlayerOptions) {
    this.#options = options
    this.#client = new CallerClient(options)
  }

  getCounts (): PlayCounts {
    return { ...this.#counts }
  }

  /** Sends every request of `plan` at its time; settles when each has ended. */
  async play (plan: PlannedRequest[]): Promise<CallerRecord[]> {
    this.#startMs = systemClock.getMonotonicMs()
    const records = await Promise.all(plan.map(request => this.#playRequest(request)))
    this.#client.close()
    return records
  }

  async #playRequest (request: PlannedRequest): Promise<CallerRecord> {
    const record: CallerRecord = { request, sends: [] }
    await sleep(request.atMs - this.#getElapsedMs())
    for (let resends = 0; ; resends++) {
      const gateway = (request.gateway + resends) % this.#options.gateways.length
      const send = await this.#send(request, gateway)
      record.sends.push(send)
      const waitMs = decideResendMs(request, send)
      if (waitMs === null || resends === this.#options.maxResends) return record
      const spreadMs = waitMs * (1 + RESEND_SPREAD * this.#options.random())
      if (this.#getElapsedMs() + spreadMs > this.#options.lastSendMs) return record
      await sleep(spreadMs)
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

/** Milliseconds after which a caller sends again, or null when it does not. */
function decideResendMs (request: PlannedRequest, send: SendRecord): number | null {
  const { outcome } = send
  const canRepeat = request.idempotent || request.idempotencyKey !== undefined
  switch (outcome.kind) {
    case 'answered': return null
    case 'broken': return canRepeat ? LOST_ANSWER_RESEND_MS : null
    case 'refused':
      if (outcome.execution !== 'not_run' && !canRepeat) return null
      return outcome.retryAfterMs
  }
}
