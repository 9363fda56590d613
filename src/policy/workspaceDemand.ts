/** What a workspace received lately and waits for. */
export interface WorkspaceDemand {
  /** Tokens read and generated for it, decayed with their age. */
  receivedTokens: number
  /** Tokens that its queued requests take. */
  waitingTokens: number
}

/** The demand of a workspace in one rank of a service. */
export interface DemandEntry extends WorkspaceDemand {
  service: string
  rank: number
  workspace: string
}

/** Adds up the entries of several gateways for each service, rank and workspace. */
export function mergeDemands (reports: ReadonlyArray<readonly DemandEntry[]>): DemandEntry[] {
  const sums = new Map<string, DemandEntry>()
  for (const entry of reports.flat()) {
    const key = `${entry.rank} ${entry.service} ${entry.workspace}`
    const known = sums.get(key)
    if (known === undefined) sums.set(key, { ...entry })
    else {
      known.receivedTokens += entry.receivedTokens
      known.waitingTokens += entry.waitingTokens
    }
  }
  return [...sums.values()]
}

/** Selects the entries with the largest demand. */
export function selectLargestDemands (entries: readonly DemandEntry[], maxEntries: number): DemandEntry[] {
  if (entries.length <= maxEntries) return [...entries]
  return [...entries].sort((one, other) => countDemandedTokens(other) - countDemandedTokens(one)).slice(0, maxEntries)
}

/**
 * Computes the fair level of received tokens by water-filling: a workspace that demands less than an equal part gets its
 * demand, and the others divide the rest equally.
 *
 * @returns Infinity when each workspace received all that it demands
 * @example
 * computeFairLevel([{ receivedTokens: 10, waitingTokens: 0 }, { receivedTokens: 90, waitingTokens: 50 }, { receivedTokens: 20, waitingTokens: 60 }]) // 55
 */
export function computeFairLevel (demands: Iterable<WorkspaceDemand>): number {
  const ascending = [...demands].sort((one, other) => countDemandedTokens(one) - countDemandedTokens(other))
  let remainingTokens = ascending.reduce((sum, { receivedTokens }) => sum + receivedTokens, 0)
  for (const [index, demand] of ascending.entries()) {
    const level = remainingTokens / (ascending.length - index)
    if (countDemandedTokens(demand) > level) return level
    remainingTokens -= countDemandedTokens(demand)
  }
  return Infinity
}

function countDemandedTokens ({ receivedTokens, waitingTokens }: WorkspaceDemand): number {
  return receivedTokens + waitingTokens
}
