import type { FreshnessVerdict } from '../policy/viewFreshness'

/** Why a process wants no new connections; null when it does. */
export type UnreadyReason = 'starting' | 'leaving' | 'configUnconfirmed' | null

/**
 * Decides whether the balancer should send new connections here.
 *
 * @example
 * decideReadiness({ isLeaving: false, isComplete: true, freshness: { kind: 'fresh', ageMs: 20 } }) // null
 */
export function decideReadiness (state: { isLeaving: boolean, isComplete: boolean, freshness: FreshnessVerdict }): UnreadyReason {
  if (state.isLeaving) return 'leaving'
  if (!state.isComplete) return 'starting'
  switch (state.freshness.kind) {
    case 'fresh': return null
    // one call clears up a clock that was set; leaving the rotation would take longer
    case 'distrusted': return null
    case 'stale':
    case 'unconfirmed': return 'configUnconfirmed'
  }
}
