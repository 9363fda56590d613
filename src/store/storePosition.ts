/** Number of revisions in one era. At a thousand writes per second the object service reaches it after 34 years. */
const REVISIONS_PER_ERA = 2 ** 40
export const MAX_REVISION = REVISIONS_PER_ERA - 1
/** Highest era whose positions are exact integers. */
export const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / REVISIONS_PER_ERA) - 1

/**
 * Builds a position in the object service from an era and a revision. When the object service is
 * restored from an older backup, it issues the same revisions again, and the next era begins.
 * Positions therefore only increase.
 *
 * @example
 * buildPosition(1, 90) > buildPosition(0, 100) // true
 */
export function buildPosition (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Returns the era: how often the object service had been restored from an older backup. */
export function getEra (position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA)
}

/** Returns the revision within the era. */
export function getRevision (position: number): number {
  return position % REVISIONS_PER_ERA
}
