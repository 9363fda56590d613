/** Periods that the settings name. */
export interface UsagePeriods {
  /** Length of a window. */
  windowSeconds: number
  /** Time after its end at which its report is due. */
  lateSeconds: number
  /** Milliseconds within which the duty must not go to another holder and back. */
  leaseMs: number
}

/** When the usage of a window is reported, and when another gateway steps in. All values are milliseconds. */
export interface UsageTiming {
  windowMs: number
  /** From the end of a window until its counts are complete and the holder reports them. */
  reportDelayMs: number
  /** From then until another gateway that has not heard of the report looks for it. */
  detectMs: number
  /** By how much later each next gateway looks. */
  rankStepMs: number
  /** For how long the stored object has to be unchanged before another gateway claims the duty. */
  claimWaitMs: number
  /** From the sending of a write until the holder may send no more calls on its strength. */
  sendBoundMs: number
}

/** Part of the time in which a report is due that passes before it is sent: time for counts to arrive, and for a successor after it. */
const REPORT_DELAY_FRACTION = 0.25
const DETECT_FRACTION = 0.15
const RANK_STEP_FRACTION = 0.05
const CLAIM_MARGIN = 1.1
const SEND_BOUND_FRACTION = 0.5
const MS_PER_SECOND = 1000

/**
 * Computes the times of the usage report from the settings.
 *
 * @example
 * buildUsageTiming({ windowSeconds: 5, lateSeconds: 10, leaseMs: 3000 }).claimWaitMs // 3300
 */
export function buildUsageTiming ({ windowSeconds, lateSeconds, leaseMs }: UsagePeriods): UsageTiming {
  const lateMs = lateSeconds * MS_PER_SECOND
  return {
    windowMs: windowSeconds * MS_PER_SECOND,
    reportDelayMs: REPORT_DELAY_FRACTION * lateMs,
    detectMs: DETECT_FRACTION * lateMs,
    rankStepMs: RANK_STEP_FRACTION * lateMs,
    claimWaitMs: CLAIM_MARGIN * leaseMs,
    sendBoundMs: SEND_BOUND_FRACTION * leaseMs
  }
}

/** Finds the window that contains a time, given in Unix milliseconds. */
export function findWindow (trueMs: number, { windowMs }: UsageTiming): number {
  return Math.floor(trueMs / windowMs)
}

/** Finds the last window whose counts are complete. */
export function findDueWindow (trueMs: number, { windowMs, reportDelayMs }: UsageTiming): number {
  return Math.floor((trueMs - reportDelayMs) / windowMs) - 1
}

/** Computes when the counts of a window are complete, in Unix milliseconds. */
export function computeDueAtMs (window: number, { windowMs, reportDelayMs }: UsageTiming): number {
  return (window + 1) * windowMs + reportDelayMs
}
