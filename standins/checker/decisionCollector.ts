import type { LogFields } from '../shared/managedProcess'
import type { RefusalDecision, StartDecision } from './runRecord'

/** Gathers the decisions of gateways and sidecars from the JSON lines that they log. */
export class DecisionCollector {
  readonly starts = new Map<string, StartDecision>()
  readonly #refusals = new Map<string, RefusalDecision>()
  readonly #queueExits = new Map<string, number>()

  record (fields: LogFields): void {
    const atMs = readTime(fields)
    const requestId = String(fields.requestId)
    switch (fields.event) {
      case 'started':
        this.starts.set(String(fields.attemptId), { startedAtMs: atMs, byShare: fields.rule === 'share' })
        return
      case 'ended':
        if (fields.outcome === 'notRun') this.#recordQueueExit(requestId, atMs)
        return
      case 'refused':
        this.#refusals.set(requestId, { arrivedAtMs: atMs - Number(fields.waitedMs), refusedAtMs: atMs, leftQueueAtMs: null })
    }
  }

  /** Lists the refusals by request, each with the last time a sidecar gave the request back. */
  getRefusals (): Map<string, RefusalDecision> {
    const entries = [...this.#refusals].map(([requestId, refusal]) =>
      [requestId, { ...refusal, leftQueueAtMs: this.#queueExits.get(requestId) ?? null }] as const)
    return new Map(entries)
  }

  #recordQueueExit (requestId: string, atMs: number): void {
    this.#queueExits.set(requestId, Math.max(atMs, this.#queueExits.get(requestId) ?? 0))
  }
}

function readTime (fields: LogFields): number {
  const meta = fields._meta as { date?: string } | undefined
  return Date.parse(meta?.date ?? '')
}
