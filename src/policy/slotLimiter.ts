import { MAX_TIER, MIN_TIER } from '../protocol/tiers'

import type { Tier } from '../protocol/tiers'

/** Settings of a `SlotLimiter`. */
export interface SlotLimiterOptions {
  /** Number of requests that the endpoint can run concurrently. */
  slots: number
  /** Target milliseconds between tokens. */
  targetIntervalMs: number
  /** Least urgent tier that may use the reserved slots. */
  reservedTier: Tier
  /** Fraction of the slots that is reserved, 0 to 1. */
  reservedFraction: number
}

const INTERVAL_SMOOTHING = 0.2
const ADJUSTMENT_INTERVAL_MS = 500
const MIN_DECREASE_FACTOR = 0.85
const DECREASE_MARGIN_FACTOR = 0.98
const URGENT_CLOSED_FRACTION = 0.25
const INCREASE_BELOW_FRACTION = 0.9
/** Lower bound of the limit, as a fraction of the slots. Without it, an engine that is slow for a reason other than its load would be reduced to a single request. */
const MIN_LIMIT_FRACTION = 0.25

/**
 * Limits the number of concurrent requests on an engine so that the time between tokens meets its
 * target. The limit rises by one while tokens are well within the target. It falls in proportion to
 * the excess while they are late, by at most 15 % per step. A few slots are reserved for the urgent
 * tiers, and the last of these for tier 1, so that urgent requests rarely wait for a release.
 *
 * @example
 * const limiter = new SlotLimiter({ slots: 16, targetIntervalMs: 53, reservedTier: 2, reservedFraction: 0.1 })
 * limiter.recordTokenInterval(80, 16, nowMs)
 * limiter.getLimitByTier() // [16, 15, 14, 14, 14, 14]
 */
export class SlotLimiter {
  readonly #options: SlotLimiterOptions
  #limit: number
  #intervalMs = 0
  #adjustedAtMs: number | undefined

  constructor (options: SlotLimiterOptions) {
    this.#options = options
    this.#limit = options.slots
  }

  /** Returns the total number of requests that may run concurrently. */
  getLimit (): number {
    return Math.floor(this.#limit)
  }

  /** Returns the smoothed milliseconds between tokens; 0 before the first measurement. */
  getTokenIntervalMs (): number {
    return this.#intervalMs
  }

  /** Returns the concurrency limit that applies to starts of each tier; element 0 is tier 1. */
  getLimitByTier (): number[] {
    const limit = this.getLimit()
    return Array.from({ length: MAX_TIER }, (_, index) => limit - this.#countReserved(limit, index + MIN_TIER))
  }

  /** Records the milliseconds between two tokens of one answer while `running` requests ran. */
  recordTokenInterval (intervalMs: number, running: number, nowMs: number): void {
    this.#intervalMs = this.#intervalMs === 0 ? intervalMs : this.#intervalMs + INTERVAL_SMOOTHING * (intervalMs - this.#intervalMs)
    this.#adjustedAtMs ??= nowMs
    if (nowMs - this.#adjustedAtMs < ADJUSTMENT_INTERVAL_MS) return
    this.#adjustedAtMs = nowMs
    this.#updateLimit(running)
  }

  #updateLimit (running: number): void {
    const { slots, targetIntervalMs } = this.#options
    const floor = Math.ceil(slots * MIN_LIMIT_FRACTION)
    if (this.#intervalMs > targetIntervalMs) this.#limit = Math.max(floor, Math.min(this.#limit, running) * this.#computeDecreaseFactor())
    else if (this.#intervalMs < INCREASE_BELOW_FRACTION * targetIntervalMs && running >= this.#limit - 1) this.#limit = Math.min(slots, this.#limit + 1)
  }

  #computeDecreaseFactor (): number {
    return Math.max(MIN_DECREASE_FACTOR, DECREASE_MARGIN_FACTOR * this.#options.targetIntervalMs / this.#intervalMs)
  }

  /** Returns the number of slots closed to a tier: none for tier 1, a part of the reserve for the other urgent tiers, the whole reserve for all others. */
  #countReserved (limit: number, tier: Tier): number {
    const { reservedTier, reservedFraction } = this.#options
    if (tier === MIN_TIER) return 0
    const reserved = Math.ceil(limit * reservedFraction)
    return Math.min(limit - 1, tier <= reservedTier ? Math.ceil(reserved * URGENT_CLOSED_FRACTION) : reserved)
  }
}
