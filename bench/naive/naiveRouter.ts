import { addSpentUnits, finishRecord } from '../lunch/requestRecord'
import { PREFILL_UNITS } from '../lunch/trace'

import type { Engine, EngineRun } from '../lunch/engine'
import type { EventQueue } from '../lunch/eventQueue'
import type { LogEntry, RequestRecord, Router } from '../lunch/requestRecord'
import type { Deployment } from '../lunch/trace'

/**
 * The baseline router. It uses round robin over all engines, and engines queue first come first served.
 * It retries a failed attempt at once and from the start at the next engine, until the deadline.
 */
export class NaiveRouter implements Router {
  readonly log: LogEntry[] = []
  readonly #events: EventQueue
  readonly #engines: Engine[]
  readonly #latencyMs: number
  readonly #nextTurns: number[]

  constructor (events: EventQueue, engines: Engine[], deployment: Deployment) {
    this.#events = events
    this.#engines = engines
    this.#latencyMs = deployment.latencyMs
    this.#nextTurns = new Array<number>(deployment.gateways).fill(0)
  }

  submit (record: RequestRecord): void {
    const { request } = record
    this.#events.schedule(request.class.deadlineMs, () => finishRecord(record, 'late', this.#events.getNowMs()))
    this.#send(record)
  }

  handleEngineChange (): void {}

  #send (record: RequestRecord): void {
    const turn = this.#nextTurns[record.request.gateway] ?? 0
    this.#nextTurns[record.request.gateway] = turn + 1
    const engine = this.#engines[turn % this.#engines.length] as Engine
    record.offers += 1
    record.attempts += 1
    this.#events.schedule(this.#latencyMs, () => this.#start(record, engine))
  }

  #start (record: RequestRecord, engine: Engine): void {
    if (record.end !== undefined) return
    if (!engine.isUp()) {
      this.#events.schedule(this.#latencyMs, () => this.#send(record))
      return
    }
    const leftMs = record.request.atMs + record.request.class.deadlineMs - this.#events.getNowMs()
    const stopTimer = this.#events.schedule(leftMs, () => {
      addSpentUnits(record, engine, run)
      engine.cancel(run)
    })
    const run: EngineRun = {
      prefillUnits: PREFILL_UNITS,
      tokens: record.request.tokens,
      onFirstToken: () => { record.firstTokenAtMs ??= this.#events.getNowMs() + this.#latencyMs },
      onEnd: end => {
        stopTimer()
        addSpentUnits(record, engine, run)
        if (end === 'crashed') this.#send(record)
        else this.#complete(record)
      }
    }
    engine.start(run)
  }

  #complete (record: RequestRecord): void {
    if (record.end !== undefined) return
    record.deliveredTokens = record.request.tokens
    finishRecord(record, 'completed', this.#events.getNowMs() + this.#latencyMs)
  }
}
