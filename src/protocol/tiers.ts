/** Smallest and largest tier; tier 1 is the most urgent. */
export const MIN_TIER = 1
export const MAX_TIER = 6

/** A tier number from 1, the most urgent, to 6. */
export type Tier = number
