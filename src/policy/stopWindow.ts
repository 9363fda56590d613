import type { RequestKind } from '../config/routingConfig'

/** Times of a planned stop, in monotonic milliseconds. */
export interface StopWindow {
  /** Until when requests are sent that may be cut at the end, because they can be repeated or taken up elsewhere. */
  sendUntilMs: number
  /** When requests that still run are cut. */
  finishAtMs: number
  /** Until when callers may read what was written to them; the process ends afterwards. */
  deliverUntilMs: number
}

/** Fraction of the stop time in which requests may finish; they are cut afterwards. */
const FINISH_FRACTION = 0.9
/** Fraction of the stop time in which requests are sent whose time limits lie behind the end. */
const SEND_FRACTION = 3 / 8
/** Milliseconds before the end of the stop time at which the process ends at the latest, with its log written. */
const EXIT_MARGIN_MS = 400
/** Milliseconds before the end by which a time limit must have passed, so that its answer still reaches the caller. */
const FINISH_MARGIN_MS = 50

/** Builds the times of a stop that begins now. */
export function buildStopWindow (startedAtMs: number, stopMs: number): StopWindow {
  const finishAtMs = startedAtMs + FINISH_FRACTION * stopMs
  return { sendUntilMs: startedAtMs + SEND_FRACTION * stopMs, finishAtMs, deliverUntilMs: Math.max(finishAtMs, startedAtMs + stopMs - EXIT_MARGIN_MS) }
}

/**
 * Returns whether a request may be sent to an endpoint during a planned stop. One that cannot be repeated must end
 * before the process does; others mostly do when they are sent early.
 *
 * @example
 * const stop = buildStopWindow(0, 8000)
 * canSendBeforeStop({ kind: 'nonIdempotent', deadlineAtMs: 6000 }, stop, 4000) // true
 * canSendBeforeStop({ kind: 'stream', deadlineAtMs: 9000 }, stop, 4000) // false
 */
export function canSendBeforeStop ({ kind, deadlineAtMs }: { kind: RequestKind, deadlineAtMs: number }, { sendUntilMs, finishAtMs }: StopWindow, nowMs: number): boolean {
  if (deadlineAtMs <= finishAtMs - FINISH_MARGIN_MS) return true
  switch (kind) {
    case 'nonIdempotent': return false
    case 'idempotent':
    case 'stream': return nowMs < sendUntilMs
  }
}
