/** What one request holds in memory. */
export interface MemoryHolding {
  /** Whose request it is; owners share the memory. */
  owner: string
  bytes: number
  /** Monotonic milliseconds at which the caller last sent or read something. */
  progressAtMs: number
  /** Whether it may be refused or cut. */
  canGiveWay: boolean
}

/** Use of the memory for callers when one more part of a body has arrived. */
export interface MemoryUse {
  budgetBytes: number
  totalBytes: number
  /** Bytes that the owner of the body holds. */
  ownerBytes: number
}

/** Fraction of the budget above which only owners that hold little may add to what they hold. */
const SHARED_FRACTION = 0.75
/** Fraction of the budget that such an owner may hold. */
const SMALL_OWNER_FRACTION = 0.125

/**
 * Returns whether more of a body may be read, so that one owner does not use up the memory of all.
 *
 * @example
 * hasRoom({ budgetBytes: 1000, totalBytes: 800, ownerBytes: 700 }) // false
 */
export function hasRoom ({ budgetBytes, totalBytes, ownerBytes }: MemoryUse): boolean {
  if (totalBytes <= SHARED_FRACTION * budgetBytes) return true
  return totalBytes <= budgetBytes && ownerBytes <= SMALL_OWNER_FRACTION * budgetBytes
}

/**
 * Chooses what gives way when the memory is short: of the owner that holds the most, and of this what has
 * made no progress for the longest time. Returns null when nothing may give way.
 *
 * @example
 * chooseToGiveWay([{ owner: 'a', bytes: 9, progressAtMs: 5, canGiveWay: true }], new Map([['a', 9]]))
 */
export function chooseToGiveWay<Holding extends MemoryHolding> (holdings: Iterable<Holding>, ownerBytes: ReadonlyMap<string, number>): Holding | null {
  let chosen: Holding | null = null
  let mostBytes = 0
  for (const holding of holdings) {
    if (!holding.canGiveWay) continue
    const bytes = ownerBytes.get(holding.owner) ?? 0
    if (chosen !== null && (bytes < mostBytes || (bytes === mostBytes && holding.progressAtMs >= chosen.progressAtMs))) continue
    chosen = holding
    mostBytes = bytes
  }
  return chosen
}
