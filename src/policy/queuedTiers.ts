import { MAX_TIER, MIN_TIER } from '../protocol/tiers'
import { TierQueue } from './tierQueue'

import type { Tier } from '../protocol/tiers'
import type { QueuedRequest } from './fairQueue'

/** Holds one queue per tier. Selects the request to start next and the request to displace first. */
export class QueuedTiers {
  readonly #tiers = Array.from({ length: MAX_TIER }, () => new TierQueue())
  readonly #isProtected: (request: QueuedRequest) => boolean

  /** Requests for which `isProtected` returns true are never displaced. */
  constructor (isProtected: (request: QueuedRequest) => boolean) {
    this.#isProtected = isProtected
  }

  getTier (tier: Tier): TierQueue {
    return this.#tiers[tier - MIN_TIER] as TierQueue
  }

  /** Returns the next request of the most urgent tier with queued requests. */
  getNext (): QueuedRequest | undefined {
    return this.#tiers.find(tier => tier.size > 0)?.getNext()
  }

  countByTier (): number[] {
    return this.#tiers.map(tier => tier.size)
  }

  countAbove (tier: Tier): number {
    let count = 0
    for (let higher = MIN_TIER; higher < tier; higher++) count += this.getTier(higher).size
    return count
  }

  hasQueuedBelow (tier: Tier): boolean {
    for (let lower = MAX_TIER; lower > tier; lower--) {
      if (this.getTier(lower).size > 0) return true
    }
    return false
  }

  /** Finds the request to displace in favour of `request`: from the lowest tier below it, otherwise from a workspace with more queued requests in its own tier. */
  findVictim (request: QueuedRequest): QueuedRequest | undefined {
    const own = request.entry.tier
    for (let tier = MAX_TIER; tier > own; tier--) {
      const victim = this.findVictimInTier(tier)
      if (victim !== undefined) return victim
    }
    return this.getTier(own).hasLargerWorkspace(request) ? this.findVictimInTier(own) : undefined
  }

  /** Finds the request of a tier to displace first: the newest unprotected one of the workspace with the most queued requests. */
  findVictimInTier (tier: Tier): QueuedRequest | undefined {
    const queue = this.getTier(tier)
    const skipped: QueuedRequest[] = []
    let victim = queue.getDisplacementCandidate()
    while (victim !== undefined && this.#isProtected(victim)) {
      skipped.push(victim)
      queue.remove(victim)
      victim = queue.getDisplacementCandidate()
    }
    skipped.forEach(request => queue.add(request))
    return victim
  }
}
