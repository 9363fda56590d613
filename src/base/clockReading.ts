import type { Clock } from './clock'

/** Both clocks of a process, read together. */
export interface ClockReading {
  monotonicMs: number
  wallMs: number
}

/** Reads both clocks of this process. */
export function readClock (clock: Clock): ClockReading {
  return { monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs() }
}

/**
 * Milliseconds since `reading`, by whichever clock went further. A suspended machine stops its
 * monotonic clock, so the wall clock is read as well; a wrong one can only make the time seem longer.
 *
 * @example
 * const sentAt = readClock(clock)
 * const elapsedMs = computeElapsedMs(sentAt, clock)
 */
export function computeElapsedMs (reading: ClockReading, clock: Clock): number {
  const now = readClock(clock)
  return Math.max(now.monotonicMs - reading.monotonicMs, now.wallMs - reading.wallMs)
}

/**
 * Milliseconds by which the wall clock went further than the monotonic one between two readings. A
 * large value, either way, shows that a clock was set or that the machine was suspended.
 */
export function computeDriftMs (from: ClockReading, to: ClockReading): number {
  return (to.wallMs - from.wallMs) - (to.monotonicMs - from.monotonicMs)
}

/**
 * Difference between the clocks' progress above which one of them was set or the machine was
 * suspended. A slewed clock gains at most 0.05%, hence 2.5 ms within the longest age of 5 s.
 */
const MAX_DRIFT_MS = 100

/** Whether a clock was set or the machine was suspended since `reading`, so that its age is not known. */
export function hasDrifted (reading: ClockReading, clock: Clock): boolean {
  return Math.abs(computeDriftMs(reading, readClock(clock))) > MAX_DRIFT_MS
}

/** Gets the reading that both clocks gave `milliseconds` earlier. */
export function computeEarlier (reading: ClockReading, milliseconds: number): ClockReading {
  return { monotonicMs: reading.monotonicMs - milliseconds, wallMs: reading.wallMs - milliseconds }
}
