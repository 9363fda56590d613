import { countUniqueTokens } from '../policy/placement'

import type { ShareClaim } from '../policy/workspaceShares'
import type { RelayRequest } from './relayRequest'

/** Builds the claim of a request on its workspace's share; null on a public route. */
export function buildShareClaim ({ workspace, traits }: Pick<RelayRequest, 'workspace' | 'traits'>): ShareClaim | null {
  if (workspace === null) return null
  const { promptParts, estimatedOutputTokens, maxOutputTokens } = traits
  return { workspace, uniqueTokens: countUniqueTokens(promptParts), outputTokens: Math.min(estimatedOutputTokens ?? Infinity, maxOutputTokens ?? estimatedOutputTokens ?? 0) }
}
