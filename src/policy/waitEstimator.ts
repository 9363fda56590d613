import { MAX_TIER, MIN_TIER } from '../protocol/tiers'
import { ReleaseRate } from './releaseRate'

import type { Tier } from '../protocol/tiers'
import type { ReleaseRateOptions } from './releaseRate'
import type { SlotCounts } from './requestQueue'

const START_FRACTION_SMOOTHING = 0.02
const MIN_FREE_FRACTION = 0.02

/**
 * Estimates when queued requests start. The estimate uses the running requests, the slot limits, the
 * rate of slot releases, and the fraction of starts that go to other tiers.
 */
export class WaitEstimator {
  readonly #rate: ReleaseRate
  /** Fraction of starts that precede the requests of each tier; element 0 is tier 1. */
  readonly #precedingStartFractions = new Array<number>(MAX_TIER).fill(0)
  #running = 0
  #limit = 1
  #limitByTier: number[] | undefined

  constructor (options: ReleaseRateOptions) {
    this.#rate = new ReleaseRate(options)
  }

  /** Returns whether one more request of `tier` may start now. */
  isSlotOpen (tier: Tier): boolean {
    return this.#limitByTier === undefined || this.#running < this.#getLimit(tier)
  }

  /** Returns the expected milliseconds between two releases. */
  getIntervalMs (nowMs: number): number {
    return this.#rate.getIntervalMs(nowMs)
  }

  /** Estimates the milliseconds until a request of `tier` starts when `ahead` requests are queued before it. The result is `deviations` standard deviations above the mean. */
  estimateTierWaitMs (tier: Tier, ahead: number, nowMs: number, deviations: number): number {
    const releases = ahead + 1 + this.#running - this.#getLimit(tier)
    const freeFraction = Math.max(MIN_FREE_FRACTION, 1 - (this.#precedingStartFractions[tier - MIN_TIER] as number))
    return this.#rate.estimateWaitMs(releases / freeFraction, nowMs, deviations)
  }

  /** Estimates the milliseconds until `starts` more requests of any tier have started, `deviations` standard deviations above the mean. */
  estimateStartsWaitMs (starts: number, nowMs: number, deviations: number): number {
    return this.#rate.estimateWaitMs(starts, nowMs, deviations)
  }

  setSlots (slots: SlotCounts, nowMs: number): void {
    this.#limit = Math.max(1, slots.limit)
    this.#limitByTier = slots.limitByTier
    this.#running = slots.running
    if (slots.running < slots.limit) this.#rate.recordIdle(nowMs)
  }

  recordRelease (ranForMs: number, nowMs: number): void {
    this.#rate.recordRelease(ranForMs, this.#limit, nowMs)
  }

  recordStart (startedTier: Tier, by: 'tier' | 'share'): void {
    this.#running += 1
    for (let tier = MIN_TIER; tier <= MAX_TIER; tier++) {
      const isBefore = startedTier < tier || (by === 'share' && startedTier !== tier)
      const index = tier - MIN_TIER
      const known = this.#precedingStartFractions[index] as number
      this.#precedingStartFractions[index] = known + START_FRACTION_SMOOTHING * ((isBefore ? 1 : 0) - known)
    }
  }

  #getLimit (tier: Tier): number {
    return this.#limitByTier?.[tier - MIN_TIER] ?? this.#limit
  }
}
