import { SlotLimiter } from '../policy/slotLimiter'

import type { Clock } from '../base/clock'

const TARGET_TOKEN_INTERVAL_MS = 53
const RESERVED_TIER = 3
const RESERVED_FRACTION = 0.15

export interface EndpointSlotsOptions {
  clock: Clock
  /** Requests that the endpoint may run at once by configuration. */
  getConfiguredSlots: () => number
  countRunning: () => number
}

/**
 * How many requests may run at once at the endpoint: what is configured, fewer while an engine's
 * tokens come too slowly, and a few kept for the most urgent tiers.
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

  /** Limit for one more request of each tier to start; element 0 is tier 1. */
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

  /** A change of the configured number begins anew with all of it. */
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
