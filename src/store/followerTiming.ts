/** Timeouts and delays of a configuration follower, in milliseconds. */
export interface FollowerTiming {
  /** Longest duration of one watch. */
  watchMs: number
  /** Time after the end of a watch within which its response must arrive. */
  watchGraceMs: number
  /** Timeout for reading the manifest. */
  readTimeoutMs: number
  /** Timeout for reading all missing parts. */
  fetchTimeoutMs: number
  /** Longest random delay before reading new parts; it spreads the reads of the fleet. */
  fetchJitterMs: number
  /** Longest random delay before the next watch after a change; it spreads the watches of the fleet. */
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
