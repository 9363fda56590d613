/** Revisions of one era; a store that is written a thousand times a second takes 34 years for as many. */
const REVISIONS_PER_ERA = 2 ** 40

/**
 * A position in a store that may come back from an older copy: its revisions are given out again then,
 * in a later era. As one number, positions only grow.
 *
 * @example
 * buildPosition(1, 90) > buildPosition(0, 100) // true
 */
export function buildPosition (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Gets how often the store had come back from an older copy. */
export function getEra (position: number): number {
  return Math.floor(position / REVISIONS_PER_ERA)
}

/** Gets the revision inside the era. */
export function getRevision (position: number): number {
  return position % REVISIONS_PER_ERA
}
