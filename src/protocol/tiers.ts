/** Most and least urgent tier. */
export const MIN_TIER = 1
export const MAX_TIER = 6

/** A tier number from 1 (most urgent) to 6 (least urgent). */
export type Tier = number
