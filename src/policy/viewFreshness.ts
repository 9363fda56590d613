import { computeDriftMs, computeElapsedMs, hasDrifted, readClock } from '../base/clockReading'

import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'

/** How far a view may be relied on. */
export type FreshnessVerdict =
  | { kind: 'fresh', ageMs: number }
  | { kind: 'stale', ageMs: number }
  /** The two clocks disagree, so that a suspension may hide in the difference. */
  | { kind: 'distrusted', ageMs: number, driftMs: number }
  | { kind: 'unconfirmed' }

export interface ViewFreshnessOptions {
  clock: Clock
  /** Milliseconds since the last confirmation after which the view must not be relied on. */
  maxAgeMs: number
}

/**
 * Knows as of which moment a view was last confirmed to be the newest. The moment is the start of
 * the call that confirmed it: what changed while the answer was under way may not be in it.
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

  /** Gets whether the view may be relied on now. */
  getVerdict (): FreshnessVerdict {
    if (this.#confirmedAt === null) return { kind: 'unconfirmed' }
    const ageMs = computeElapsedMs(this.#confirmedAt, this.#clock)
    if (ageMs > this.#maxAgeMs) return { kind: 'stale', ageMs }
    if (!hasDrifted(this.#confirmedAt, this.#clock)) return { kind: 'fresh', ageMs }
    return { kind: 'distrusted', ageMs, driftMs: computeDriftMs(this.#confirmedAt, readClock(this.#clock)) }
  }

  /** Changes the age after which the view must not be relied on. */
  setMaxAge (maxAgeMs: number): void {
    this.#maxAgeMs = maxAgeMs
  }

  /**
   * Records that the view was the newest at a moment. An earlier moment than is known changes nothing,
   * unless the clocks disagree over the known one.
   */
  recordConfirmation (confirmedAt: ClockReading): void {
    const known = this.#confirmedAt
    const isKept = known !== null && confirmedAt.monotonicMs < known.monotonicMs && !hasDrifted(known, this.#clock)
    if (!isKept) this.#confirmedAt = confirmedAt
  }
}
