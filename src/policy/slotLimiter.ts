import { MAX_TIER, MIN_TIER } from '../protocol/tiers'

import type { Tier } from '../protocol/tiers'

/** Settings of a `SlotLimiter`. */
export interface SlotLimiterOptions {
  /** Requests the endpoint can run at once. */
  slots: number
  /** Milliseconds between tokens to keep. */
  targetIntervalMs: number
  /** Least urgent tier that may use reserved slots. */
  reservedTier: Tier
  /** Fraction, 0 to 1, of the slots that is reserved. */
  reservedFraction: number
}

const INTERVAL_SMOOTHING = 0.2
const ADJUSTMENT_INTERVAL_MS = 500
const MIN_DECREASE_FACTOR = 0.85
const DECREASE_MARGIN_FACTOR = 0.98
const URGENT_CLOSED_FRACTION = 0.25
const INCREASE_BELOW_FRACTION = 0.9
/** An engine that is slow for another reason than its load must not be left with a single request. */
const MIN_LIMIT_FRACTION = 0.25

/**
 * Decides how many requests run at once on an engine, so that the time between tokens keeps to
 * its target: one more while tokens come well in time, fewer by as much as they come late, at most by a sixth. A few
 * slots stay reserved for the urgent tiers, and the last of them for tier 1, so that these seldom
 * wait for a release.
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

  /** Gets how many requests of any tier may run at once. */
  getLimit (): number {
    return Math.floor(this.#limit)
  }

  /** Gets the smoothed milliseconds between tokens; 0 before the first. */
  getTokenIntervalMs (): number {
    return this.#intervalMs
  }

  /** Gets how many requests may run at once for one more of each tier to start; element 0 is tier 1. */
  getLimitByTier (): number[] {
    const limit = this.getLimit()
    return Array.from({ length: MAX_TIER }, (_, index) => limit - this.#countReserved(limit, index + MIN_TIER))
  }

  /** Records the time between two tokens of one answer, measured while `running` requests ran. */
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

  /** Tier 1 finds every slot open, the other urgent tiers a part of the reserve closed, all others the whole. */
  #countReserved (limit: number, tier: Tier): number {
    const { reservedTier, reservedFraction } = this.#options
    if (tier === MIN_TIER) return 0
    const reserved = Math.ceil(limit * reservedFraction)
    return Math.min(limit - 1, tier <= reservedTier ? Math.ceil(reserved * URGENT_CLOSED_FRACTION) : reserved)
  }
}
