import type { RequestKind } from '../config/routingConfig'

/** Times of a planned stop, in monotonic milliseconds. */
export interface StopWindow {
  /** Until when requests are sent that may be cut at the end, because they can be repeated or taken up elsewhere. */
  sendUntilMs: number
  /** By when requests that cannot be repeated must end: before the platform can end the process, whenever the signal came. */
  surelyFinishAtMs: number
  /** When requests that still run are cut. */
  finishAtMs: number
  /** Until when callers may read what was written to them; the process ends afterwards. */
  deliverUntilMs: number
}

/** When the signal of a planned stop came, in monotonic milliseconds: no earlier than the one time and no later than the other. */
export interface StopSignalTime {
  earliestMs: number
  latestMs: number
}

/** Fraction of the stop time in which requests may finish; they are cut afterwards. */
const FINISH_FRACTION = 0.9
/** Fraction of the stop time, counted from the latest time of the signal, before which requests are cut only if the platform might end the process first. */
const MIN_FINISH_FRACTION = 0.85
/** Fraction of the stop time in which requests are sent whose time limits lie behind the end: three eighths, less what a signal may be late unnoticed. */
const SEND_FRACTION = 3 / 8 - 0.02
/** Milliseconds before the end of the stop time at which the process ends at the latest, with its log written. */
const EXIT_MARGIN_MS = 400
/** Milliseconds before the end by which a time limit must have passed, so that its answer still reaches the caller. */
const FINISH_MARGIN_MS = 50

/**
 * Builds the times of a stop. Where a late event loop leaves open when the signal came, requests are sent as if it had
 * come as early as possible. Those that run may finish as if it had come late, as long as the process ends before the
 * platform may end it.
 *
 * @example
 * buildStopWindow({ earliestMs: 0, latestMs: 0 }, 8000) // { sendUntilMs: 2840, surelyFinishAtMs: 7200, finishAtMs: 7200, deliverUntilMs: 7600 }
 */
export function buildStopWindow ({ earliestMs, latestMs }: StopSignalTime, stopMs: number): StopWindow {
  const surelyFinishAtMs = earliestMs + FINISH_FRACTION * stopMs
  const deliverUntilMs = Math.max(surelyFinishAtMs, earliestMs + stopMs - EXIT_MARGIN_MS)
  const finishAtMs = Math.min(deliverUntilMs, Math.max(surelyFinishAtMs, latestMs + MIN_FINISH_FRACTION * stopMs))
  return { sendUntilMs: earliestMs + SEND_FRACTION * stopMs, surelyFinishAtMs, finishAtMs, deliverUntilMs }
}

/**
 * Returns whether a request may be sent to an endpoint during a planned stop. One that cannot be repeated must end
 * before the process does; others mostly do when they are sent early.
 *
 * @example
 * const stop = buildStopWindow({ earliestMs: 0, latestMs: 0 }, 8000)
 * canSendBeforeStop({ kind: 'nonIdempotent', deadlineAtMs: 6000 }, stop, 4000) // true
 * canSendBeforeStop({ kind: 'stream', deadlineAtMs: 9000 }, stop, 4000) // false
 */
export function canSendBeforeStop ({ kind, deadlineAtMs }: { kind: RequestKind, deadlineAtMs: number }, { sendUntilMs, surelyFinishAtMs }: StopWindow, nowMs: number): boolean {
  if (deadlineAtMs <= surelyFinishAtMs - FINISH_MARGIN_MS) return true
  switch (kind) {
    case 'nonIdempotent': return false
    case 'idempotent':
    case 'stream': return nowMs < sendUntilMs
  }
}
