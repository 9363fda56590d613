import type { SoakRun } from './soakEndpoint'

/** Signals sent to one process that count as planned work, in the soak's monotonic milliseconds; null for none so far. */
export interface PlannedSignals {
  /** The first signal to stop. */
  stoppedAtMs: number | null
  /** The latest signal to reload the settings. */
  reloadedAtMs: number | null
  /** All, of any kind. One that comes in a pause acts at the end of it. */
  all: ReadonlyArray<{ signal: NodeJS.Signals, atMs: number }>
}

/** A request whose connection ended without a complete answer. */
export interface BrokenRequest {
  sentAtMs: number
  /** When its last byte left the caller; null if it never did. */
  lastByteSentAtMs: number | null
  endedAtMs: number
  deadlineMs: number
  runs: readonly SoakRun[]
  /** Whether the process was paused meanwhile or shortly before, so that bounds in time do not hold. */
  hasPause: boolean
  signals: PlannedSignals
}

export interface LossBounds {
  stopSeconds: number
  configApplyMs: number
  /** Time after its last byte from which a request counts as read. */
  lossSlackMs: number
}

const MS_PER_SECOND = 1000
/** Time after the signal up to which a request may be sent and still be cut at the end of the stop. */
const EARLY_IN_STOP_MS = 3000
/** Fraction of the stop time after which a request that still runs may be cut. */
const LAST_PART_OF_STOP = 5 / 6
/** Time after the stop time in which ends of connections still belong to the stop. */
const STOP_NOTICE_MS = 1000

/**
 * Decides whether a request was lost: it ran at an endpoint, or was sent as a whole around planned work, and its
 * connection ended without a complete answer.
 */
export function isLost (request: BrokenRequest, bounds: LossBounds): boolean {
  const { sentAtMs, endedAtMs, deadlineMs, lastByteSentAtMs, runs, hasPause } = request
  if (endedAtMs >= sentAtMs + deadlineMs) return false
  const lastRun = runs.at(-1)
  if (lastRun === undefined) return !hasPause && lastByteSentAtMs !== null && endedAtMs > lastByteSentAtMs + bounds.lossSlackMs && isAroundPlannedWork(request, bounds)
  return !lastRun.hasBrokenOff && !canCutAtStop(request, lastRun, bounds)
}

/** Returns whether the end of the stop may cut a request: sent early in the stop and still at work in its last part. */
function canCutAtStop ({ sentAtMs, endedAtMs, hasPause, signals: { stoppedAtMs } }: BrokenRequest, run: SoakRun, { stopSeconds }: LossBounds): boolean {
  if (stoppedAtMs === null || (sentAtMs > stoppedAtMs + EARLY_IN_STOP_MS && !hasPause)) return false
  const lastPartAtMs = stoppedAtMs + LAST_PART_OF_STOP * stopSeconds * MS_PER_SECOND
  return endedAtMs >= lastPartAtMs && (run.endedAtMs === null || run.endedAtMs >= lastPartAtMs)
}

function isAroundPlannedWork ({ sentAtMs, endedAtMs, signals: { stoppedAtMs, reloadedAtMs } }: BrokenRequest, { stopSeconds, configApplyMs }: LossBounds): boolean {
  const isInStop = stoppedAtMs !== null && endedAtMs >= stoppedAtMs && endedAtMs <= stoppedAtMs + stopSeconds * MS_PER_SECOND + STOP_NOTICE_MS
  const isAtReload = reloadedAtMs !== null && endedAtMs >= reloadedAtMs && sentAtMs <= reloadedAtMs + configApplyMs
  return isInStop || isAtReload
}
