import { isUncertain } from './versionAssignment'

import type { VersionAssignment } from './versionAssignment'

/**
 * Milliseconds after its last confirmation from which on an assignment must not begin streams any more. A gateway that
 * has lost the object service would otherwise begin streams at a version that a bucket has left long ago.
 */
export const MAX_ASSIGNMENT_AGE_MS = 4500
/** Milliseconds that a request may have been on its way; a caller gives an attempt up that is not read in a second. */
const TRANSIT_MS = 1000

/** The version that began a stream, as far as the assignment says it. */
export type AssignedOrigin =
  /** `rule`: the bucket has had no other version, or the stream is younger than the last move of the bucket. */
  | { kind: 'certain', version: string, rule: 'onlyVersion' | 'begunAfterMove' }
  /** The versions at which it may have begun; null stands for versions that nobody knows any more. */
  | { kind: 'uncertain', candidates: ReadonlyArray<string | null> }

/**
 * Tracks what one gateway knows of the version assignment of a service, and since when.
 *
 * @example
 * view.adopt(assignment, nowMs)
 * view.findOrigin(hashStreamId(originId).bucket, view.computeEarliestBegin({ route, arrivedAtMs, callerTimeoutMs }))
 */
export class VersionView {
  #assignment: VersionAssignment
  /** Monotonic milliseconds at which each bucket had made its last move, at the latest. */
  #movedAtMs: number[]

  constructor (assignment: VersionAssignment, nowMs: number) {
    this.#assignment = assignment
    this.#movedAtMs = assignment.buckets.map(({ ageMs }) => nowMs - ageMs)
  }

  get assignment (): VersionAssignment {
    return this.#assignment
  }

  /** Replaces the assignment by a later one. */
  adopt (assignment: VersionAssignment, nowMs: number): void {
    const { era, buckets: before } = this.#assignment
    this.#movedAtMs = assignment.buckets.map(({ changedAt, ageMs }, index) => {
      const movedAtMs = nowMs - ageMs
      return assignment.era === era && changedAt === before[index]!.changedAt ? Math.min(this.#movedAtMs[index]!, movedAtMs) : movedAtMs
    })
    this.#assignment = assignment
  }

  /** Returns the version at which streams of a bucket begin. */
  getVersion (bucket: number): string | null {
    return this.#assignment.buckets[bucket]!.versions[0] ?? null
  }

  /** Returns the longest time limit of callers of a route that the assignment covers, in milliseconds. */
  getLimitMs (route: string): number {
    const { longestMs, byRoute } = this.#assignment.limits
    return Object.hasOwn(byRoute, route) ? byRoute[route]! : longestMs
  }

  /** Returns whether streams of more than one version may be alive in a bucket. */
  isUncertain (bucket: number): boolean {
    return isUncertain(this.#assignment.buckets[bucket]!)
  }

  /** Returns the monotonic milliseconds at which a bucket had made its last move, at the latest. */
  getMovedAtMs (bucket: number): number {
    return this.#movedAtMs[bucket]!
  }

  /**
   * Computes the earliest time at which a stream can have begun that a request takes up, from the time that its caller
   * still waits.
   */
  computeEarliestBegin ({ route, arrivedAtMs, callerTimeoutMs }: { route: string, arrivedAtMs: number, callerTimeoutMs: number | null }): number {
    const limitMs = this.getLimitMs(route)
    if (callerTimeoutMs === null || callerTimeoutMs > limitMs) return -Infinity
    return arrivedAtMs - (limitMs - callerTimeoutMs) - TRANSIT_MS
  }

  /** Finds the version that began a stream of a bucket at `earliestBeginMs` or later. */
  findOrigin (bucket: number, earliestBeginMs: number): AssignedOrigin {
    const { versions } = this.#assignment.buckets[bucket]!
    const [version] = versions
    if (typeof version !== 'string') return { kind: 'uncertain', candidates: versions }
    if (versions.length === 1) return { kind: 'certain', version, rule: 'onlyVersion' }
    // until then, a gateway that did not know of the move may have begun streams at the version before
    if (earliestBeginMs >= this.#movedAtMs[bucket]! + MAX_ASSIGNMENT_AGE_MS) return { kind: 'certain', version, rule: 'begunAfterMove' }
    return { kind: 'uncertain', candidates: versions }
  }

  /** Returns the only version of all buckets; null when there are several. */
  findOnlyVersion (): string | null {
    const versions = new Set(this.#assignment.buckets.flatMap(bucket => bucket.versions))
    return versions.size === 1 ? [...versions][0]! : null
  }

  /** Returns whether the streams of a bucket's earlier versions have all ended. */
  isExpired (bucket: number, nowMs: number): boolean {
    return nowMs >= this.#movedAtMs[bucket]! + MAX_ASSIGNMENT_AGE_MS + this.#assignment.limits.longestMs + TRANSIT_MS
  }
}
