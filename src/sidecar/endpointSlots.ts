import { SlotLimiter } from '../policy/slotLimiter'

import type { Clock } from '../base/clock'

const TARGET_TOKEN_INTERVAL_MS = 53
const RESERVED_TIER = 3
const RESERVED_FRACTION = 0.15

export interface EndpointSlotsOptions {
  clock: Clock
  /** Returns the configured number of requests that may run concurrently at the endpoint. */
  getConfiguredSlots: () => number
  countRunning: () => number
}

/**
 * Limits how many requests may run concurrently at the endpoint. Starts from the configured number,
 * lowers the limit while an engine's tokens come too slowly, and reserves a few slots for the most
 * urgent tiers.
 */
export class EndpointSlots {
  readonly #options: EndpointSlotsOptions
  #configured = 0
  #limiter = createLimiter(1)

  constructor (options: EndpointSlotsOptions) {
    this.#options = options
  }

  getLimit (): number {
    return this.#getLimiter().getLimit()
  }

  /** Returns, by tier, the number of running requests below which another one may start; element 0 is tier 1. */
  getLimitByTier (): number[] {
    return this.#getLimiter().getLimitByTier()
  }

  getTokenIntervalMs (): number {
    return this.#limiter.getTokenIntervalMs()
  }

  /** Records the milliseconds between two tokens of one answer. */
  recordTokenInterval (milliseconds: number): void {
    const { clock, countRunning } = this.#options
    this.#getLimiter().recordTokenInterval(milliseconds, countRunning(), clock.getMonotonicMs())
  }

  /** Returns the limiter. After a change of the configured number, creates a new one that allows all slots. */
  #getLimiter (): SlotLimiter {
    const configured = this.#options.getConfiguredSlots()
    if (configured !== this.#configured) {
      this.#configured = configured
      this.#limiter = createLimiter(configured)
    }
    return this.#limiter
  }
}

function createLimiter (slots: number): SlotLimiter {
  return new SlotLimiter({
    slots,
    targetIntervalMs: TARGET_TOKEN_INTERVAL_MS,
    reservedTier: RESERVED_TIER,
    reservedFraction: RESERVED_FRACTION
  })
}
