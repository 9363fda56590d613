import type { PlannedRequest } from './plannedRequest'

/** Outcome of one send of a request, as the caller observed it. */
export type SendOutcome =
  /** An answer that ended completely. `isExact` tells whether it matches the expected answer. */
  | { kind: 'answered', isExact: boolean }
  /** An error in place of the answer, or after part of its text. */
  | { kind: 'refused', status: number, code: string, execution: string, retryAfterMs: number | null }
  /** The connection failed, or the stream ended without its end marker. */
  | { kind: 'broken', message: string }

/** One send of a request; times are wall-clock milliseconds. */
export interface SendRecord {
  gateway: number
  /** Request identifier assigned by the gateway. */
  requestId: string | null
  sentAtMs: number
  firstTokenAtMs: number | null
  endedAtMs: number
  /** Milliseconds between consecutive tokens. */
  tokenGapsMs: number[]
  outcome: SendOutcome
}

/** One request and its sends, in order. */
export interface CallerRecord {
  request: PlannedRequest
  sends: SendRecord[]
}

/** Returns whether the caller received a complete answer. */
export function isAnswered (record: CallerRecord): boolean {
  return record.sends.at(-1)?.outcome.kind === 'answered'
}
