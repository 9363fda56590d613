import { selectLargestDemands } from '../policy/workspaceDemand'

import type { DemandEntry } from '../policy/workspaceDemand'
import type { LoadUpdate } from '../protocol/viewMessages'

/** Maximum number of workspaces in a load update, so that it stays small with thousands of them. */
const MAX_REPORTED_DEMANDS = 32
/** Longer names are left out, because peers refuse an update with one. */
const MAX_NAME_LENGTH = 100

/** Encodes the largest demands for a load update, grouped by service and rank. */
export function encodeDemands (entries: readonly DemandEntry[]): LoadUpdate['demands'] {
  const groups = new Map<string, LoadUpdate['demands'][number]>()
  const named = entries.filter(({ service, workspace }) => Math.max(service.length, workspace.length) <= MAX_NAME_LENGTH)
  for (const { service, rank, workspace, receivedTokens, waitingTokens } of selectLargestDemands(named, MAX_REPORTED_DEMANDS)) {
    const key = `${rank} ${service}`
    const group = groups.get(key) ?? [service, rank, []]
    group[2].push([workspace, Math.round(receivedTokens), Math.round(waitingTokens)])
    groups.set(key, group)
  }
  return [...groups.values()]
}

export function decodeDemands (groups: LoadUpdate['demands']): DemandEntry[] {
  return groups.flatMap(([service, rank, demands]) => demands.map(([workspace, receivedTokens, waitingTokens]) => ({ service, rank, workspace, receivedTokens, waitingTokens })))
}
