/** Waits of a follower of the configuration, in milliseconds. */
export interface FollowerTiming {
  /** Longest wait of one watch. */
  watchMs: number
  /** How late a watch may answer before it counts as silent. */
  watchGraceMs: number
  /** Longest time for reading the manifest. */
  readTimeoutMs: number
  /** Longest time for reading all parts that are lacking. */
  fetchTimeoutMs: number
  /** Over how long the fleet's reads of new parts are spread. */
  fetchJitterMs: number
  /** Over how long the fleet's watches are spread after a change. */
  watchJitterMs: number
  minBackoffMs: number
  maxBackoffMs: number
}

export const DEFAULT_FOLLOWER_TIMING: FollowerTiming = {
  watchMs: 2_500,
  watchGraceMs: 1_000,
  readTimeoutMs: 2_000,
  fetchTimeoutMs: 5_000,
  fetchJitterMs: 1_500,
  watchJitterMs: 500,
  minBackoffMs: 100,
  maxBackoffMs: 2_500
}
