import type { Clock } from './clock'

/** Values of the monotonic clock and the wall clock, read together. */
export interface ClockReading {
  monotonicMs: number
  wallMs: number
}

/** Reads both clocks of this process. */
export function readClock (clock: Clock): ClockReading {
  return { monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs() }
}

/**
 * Returns the milliseconds since `reading`, measured by the clock that advanced further. The
 * monotonic clock stops while the machine is suspended, so the wall clock is read as well. A wrong
 * wall clock can only make the result larger.
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
 * Returns how many milliseconds more the wall clock advanced than the monotonic clock between two
 * readings. A large value of either sign means that a clock was set or the machine was suspended.
 */
export function computeDriftMs (from: ClockReading, to: ClockReading): number {
  return (to.wallMs - from.wallMs) - (to.monotonicMs - from.monotonicMs)
}

/**
 * Largest normal difference, in milliseconds, between the progress of the two clocks. Above it, a
 * clock was set or the machine was suspended. A slewed clock gains at most 0.05%, which is 2.5 ms
 * over the longest age of 5 s.
 */
const MAX_DRIFT_MS = 100

/** Returns whether a clock was set or the machine was suspended since `reading`; its age is then unknown. */
export function hasDrifted (reading: ClockReading, clock: Clock): boolean {
  return Math.abs(computeDriftMs(reading, readClock(clock))) > MAX_DRIFT_MS
}

/** Returns the reading that both clocks had `milliseconds` earlier. */
export function computeEarlierReading (reading: ClockReading, milliseconds: number): ClockReading {
  return { monotonicMs: reading.monotonicMs - milliseconds, wallMs: reading.wallMs - milliseconds }
}
