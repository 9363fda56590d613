import type { FreshnessVerdict } from '../policy/viewFreshness'

/** Why a process is not ready for new connections; null when it is ready. */
export type UnreadyReason = 'starting' | 'leaving' | 'configUnconfirmed' | null

/**
 * Decides whether the balancer should send new connections to this process.
 *
 * @example
 * decideReadiness({ isLeaving: false, isComplete: true, freshness: { kind: 'fresh', ageMs: 20 } }) // null
 */
export function decideReadiness (state: { isLeaving: boolean, isComplete: boolean, freshness: FreshnessVerdict }): UnreadyReason {
  if (state.isLeaving) return 'leaving'
  if (!state.isComplete) return 'starting'
  switch (state.freshness.kind) {
    case 'fresh': return null
    // one call confirms the configuration after a clock change; leaving the rotation would take longer
    case 'distrusted': return null
    case 'stale':
    case 'unconfirmed': return 'configUnconfirmed'
  }
}
