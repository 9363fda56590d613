import type { PlannedRequest } from './plannedRequest'

/** How one send of a request ended, as its caller saw it. */
export type SendOutcome =
  /** An answer that claims to be whole. */
  | { kind: 'answered', isExact: boolean }
  /** An error in place of an answer, before or after some of its text. */
  | { kind: 'refused', status: number, code: string, execution: string, retryAfterMs: number | null }
  /** The connection broke, or the answer ended without its end. */
  | { kind: 'broken', message: string }

/** One send of a request; times are wall milliseconds. */
export interface SendRecord {
  gateway: number
  /** Identifier that the gateway gave the request. */
  requestId: string | null
  sentAtMs: number
  firstTokenAtMs: number | null
  endedAtMs: number
  /** Milliseconds between one token and the next. */
  tokenGapsMs: number[]
  outcome: SendOutcome
}

/** One request with each of its sends, in order. */
export interface CallerRecord {
  request: PlannedRequest
  sends: SendRecord[]
}

/** Whether the caller received its whole answer. */
export function isAnswered (record: CallerRecord): boolean {
  return record.sends.at(-1)?.outcome.kind === 'answered'
}
