import { computeDriftMs, computeElapsedMs, hasDrifted, readClock } from '../base/clockReading'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'

/** Whether a view is recent enough to be used. */
export type FreshnessVerdict =
  | { kind: 'fresh', ageMs: number }
  | { kind: 'stale', ageMs: number }
  /** The monotonic and the wall clock disagree. The difference may be a suspension of the process. */
  | { kind: 'distrusted', ageMs: number, driftMs: number }
  | { kind: 'unconfirmed' }

export interface ViewFreshnessOptions {
  clock: Clock
  /** Maximum milliseconds since the last confirmation. An older view must not be used. */
  maxAgeMs: number
}

/**
 * Tracks when a view was last confirmed to be current. The confirmation counts from the start of the
 * call, because the answer may lack changes made while the call was in flight.
 *
 * @example
 * const freshness = new ViewFreshness({ clock, maxAgeMs: 4500 })
 * const startedAt = readClock(clock)
 * await readView()
 * freshness.recordConfirmation(startedAt)
 * freshness.getVerdict() // { kind: 'fresh', ageMs: 3 }
 */
export class ViewFreshness {
  readonly #clock: Clock
  #maxAgeMs: number
  #confirmedAt: ClockReading | null = null

  constructor (options: ViewFreshnessOptions) {
    this.#clock = options.clock
    this.#maxAgeMs = options.maxAgeMs
  }

  /** Returns whether the view may be used now. */
  getVerdict (): FreshnessVerdict {
    if (this.#confirmedAt === null) return { kind: 'unconfirmed' }
    const ageMs = computeElapsedMs(this.#confirmedAt, this.#clock)
    if (ageMs > this.#maxAgeMs) return { kind: 'stale', ageMs }
    if (!hasDrifted(this.#confirmedAt, this.#clock)) return { kind: 'fresh', ageMs }
    return { kind: 'distrusted', ageMs, driftMs: computeDriftMs(this.#confirmedAt, readClock(this.#clock)) }
  }

  /** Sets the maximum age of the view. */
  setMaxAge (maxAgeMs: number): void {
    this.#maxAgeMs = maxAgeMs
  }

  /**
   * Records that the view was current at `confirmedAt`. Ignores a time earlier than the last
   * confirmation, unless the monotonic and the wall clock have drifted apart since that confirmation.
   */
  recordConfirmation (confirmedAt: ClockReading): void {
    const known = this.#confirmedAt
    const isKept = known !== null && confirmedAt.monotonicMs < known.monotonicMs && !hasDrifted(known, this.#clock)
    if (!isKept) this.#confirmedAt = confirmedAt
  }
}
