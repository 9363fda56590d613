import type { LogFields } from '../shared/managedProcess'
import type { RefusalDecision, StartDecision } from './runRecord'

/** Reasons with which a sidecar gives back a request that it had queued. */
const LEFT_QUEUE_REASONS = new Set(['displaced', 'cannotMeetDeadline', 'draining', 'endpointUnavailable'])

/** Gathers the decisions of gateways and sidecars from the JSON lines that they log. */
export class DecisionLog {
  readonly starts = new Map<string, StartDecision>()
  readonly refusals = new Map<string, RefusalDecision>()
  readonly #arrivals = new Map<string, number>()
  readonly #queueExits = new Map<string, number>()

  record (fields: LogFields): void {
    const atMs = readTime(fields)
    const requestId = String(fields.requestId)
    switch (fields.event) {
      case 'started':
        this.starts.set(String(fields.attemptId), { startedAtMs: atMs, byShare: fields.rule === 'share' })
        return
      case 'offered':
        if (!this.#arrivals.has(requestId)) this.#arrivals.set(requestId, atMs)
        return
      case 'notRun':
        if (LEFT_QUEUE_REASONS.has(String(fields.reason))) this.#queueExits.set(requestId, atMs)
        return
      case 'refused': this.#recordRefusal(requestId, atMs)
    }
  }

  #recordRefusal (requestId: string, refusedAtMs: number): void {
    this.refusals.set(requestId, {
      arrivedAtMs: this.#arrivals.get(requestId) ?? refusedAtMs,
      leftQueueAtMs: this.#queueExits.get(requestId) ?? null,
      refusedAtMs
    })
  }
}

function readTime (fields: LogFields): number {
  const meta = fields._meta as { date?: string } | undefined
  return Date.parse(meta?.date ?? '')
}
