import type { LogFields } from '../shared/managedProcess'
import type { RefusalDecision, StartDecision } from './runRecord'

/** Collects the decisions of gateways and sidecars from their JSON log lines. */
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

  /** Returns the refusals by request identifier, each with the last time at which a sidecar returned the request unexecuted. */
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
