import { BUCKET_COUNT } from './streamIds'

/** Software versions of the streams of one bucket. */
export interface BucketVersions {
  /**
   * The version at which new streams begin, then earlier ones whose streams may still be taken up; null stands for
   * versions that nobody knows any more.
   */
  versions: ReadonlyArray<string | null>
  /** Sequence number of the assignment that last moved the bucket to another version. */
  changedAt: number
  /** Milliseconds since that move, at least, when the assignment was written. It lets the age outlast the processes that saw the move. */
  ageMs: number
}

/** Longest time limits of callers, in milliseconds. They only grow, because streams of an earlier limit may be alive. */
export interface StreamLimits {
  longestMs: number
  /** Limits of single routes; that of any other route is `longestMs`. */
  byRoute: Readonly<Record<string, number>>
}

/** Assigns the streams of a service to the software versions of its endpoints, by the bucket of their ids. */
export interface VersionAssignment {
  /** Increases with each change. */
  sequence: number
  /** How often the object service had been restored from a backup when the assignment was written. */
  era: number
  /** How long callers may take up streams after they began the first attempt. */
  limits: StreamLimits
  /** One entry for each bucket. */
  buckets: readonly BucketVersions[]
}

/** Why an assignment changes. */
export type AssignmentChangeReason =
  | 'created'
  /** The object service was restored from a backup, or the stored assignment cannot be read. */
  | 'restored'
  | 'longerLimit'
  /** Endpoints of a version that has no bucket accept requests. */
  | 'versionJoined'
  /** No endpoint of a version accepts requests any more. */
  | 'versionLeft'
  /** A version's share of the buckets is far from its share of the endpoints. */
  | 'unbalanced'
  /** Earlier versions of buckets have no streams any more. */
  | 'expired'
  /** The recorded ages of moves are far behind the observed ones. */
  | 'aged'

export interface AssignmentChange {
  reason: AssignmentChangeReason
  assignment: VersionAssignment
}

/** The circumstances by which a gateway decides whether an assignment must change. */
export interface AssignmentInputs {
  /** Endpoints that accept requests, by software version. */
  readyByVersion: ReadonlyMap<string, number>
  /** Versions that served before, as far as this process knows: its list of endpoints may lag behind the assignment. */
  knownVersions: ReadonlySet<string>
  /** Limits of callers that must be covered. */
  limits: StreamLimits
  /** Era of the object service. */
  era: number
  /** Whether an assignment may have been lost, so that streams of unknown versions may be alive. */
  mayBeLost: boolean
  /** Returns the milliseconds since a bucket's last move, as far as this process has observed or read it. */
  getAgeMs: (bucket: number) => number
  /** Returns whether the earlier versions of a bucket have no streams any more. */
  isExpired: (bucket: number) => boolean
}

/** Difference between a version's share of the endpoints and its share of the buckets from which on buckets move. */
const MAX_IMBALANCE = 1 / 8
/** Milliseconds by which recorded ages may be behind, and so the most that an end of all gateways takes from them. */
const AGE_STEP_MS = 1000
/** Maximum number of versions remembered for a bucket; more are summed up as unknown. */
const MAX_VERSIONS_PER_BUCKET = 8

/**
 * Decides whether an assignment must change.
 *
 * @param stored null when there is none yet
 * @returns the most urgent change; null when the assignment can stay
 *
 * @example
 * decideAssignmentChange(null, { readyByVersion: new Map([['v1', 8]]), ... }) // { reason: 'created', ... }
 */
export function decideAssignmentChange (stored: VersionAssignment | null, inputs: AssignmentInputs): AssignmentChange | null {
  const { readyByVersion, knownVersions, era, isExpired, getAgeMs } = inputs
  if (stored === null) return readyByVersion.size === 0 ? null : { reason: 'created', assignment: createAssignment(inputs) }
  const hasUncertain = stored.buckets.some(isUncertain)
  const current = hasUncertain ? { ...stored, buckets: stored.buckets.map((bucket, index) => isUncertain(bucket) ? { ...bucket, ageMs: Math.floor(getAgeMs(index)) } : bucket) } : stored
  if (current.era < era) return { reason: 'restored', assignment: advance(current, { era, buckets: current.buckets.map(bucket => addUnknown(bucket, current.sequence + 1)) }) }
  const limits = mergeLimits(current.limits, inputs.limits)
  if (limits !== current.limits) return { reason: 'longerLimit', assignment: advance(current, { limits }) }
  const change = decideMove(current, readyByVersion, knownVersions)
  if (change !== null) return { reason: change, assignment: moveBuckets(current, readyByVersion) }
  if (!hasUncertain) return null
  const expired = current.buckets.map((bucket, index) => isUncertain(bucket) && isExpired(index))
  if (expired.includes(true)) return { reason: 'expired', assignment: advance(current, { buckets: current.buckets.map((bucket, index) => expired[index] === true ? { ...bucket, versions: bucket.versions.slice(0, 1), ageMs: 0 } : bucket) }) }
  const isAged = current.buckets.some(({ ageMs }, index) => ageMs >= stored.buckets[index]!.ageMs + AGE_STEP_MS)
  return isAged ? { reason: 'aged', assignment: advance(current, {}) } : null
}

/** Returns whether streams of more than one version may be alive in a bucket. */
export function isUncertain ({ versions }: Pick<BucketVersions, 'versions'>): boolean {
  return versions.length > 1
}

/** Counts the buckets at which each version begins new streams. */
export function countBuckets ({ buckets }: Pick<VersionAssignment, 'buckets'>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { versions: [version] } of buckets) if (typeof version === 'string') counts.set(version, (counts.get(version) ?? 0) + 1)
  return counts
}

/** Combines an assignment from a restored object service with a later one that this process still knows. */
export function mergeRestored (known: VersionAssignment, restored: VersionAssignment | null): VersionAssignment {
  if (restored === null) return known
  const sequence = Math.max(known.sequence, restored.sequence)
  return {
    sequence,
    era: Math.min(known.era, restored.era),
    limits: mergeLimits(known.limits, restored.limits),
    buckets: known.buckets.map(({ versions }, index) => ({ versions: selectVersions([...new Set([...versions, ...restored.buckets[index]!.versions])]), changedAt: sequence, ageMs: 0 }))
  }
}

function createAssignment ({ readyByVersion, limits, era, mayBeLost }: AssignmentInputs): VersionAssignment {
  const owners = [...computeTargets(readyByVersion)].flatMap(([version, count]) => new Array<string>(count).fill(version))
  return { sequence: 1, era, limits, buckets: owners.map(version => ({ versions: mayBeLost ? [version, null] : [version], changedAt: 1, ageMs: 0 })) }
}

/**
 * Raises the known limits to those that must be covered. A route that comes later gets no limit of its own: it may take
 * over streams that began on another route.
 *
 * @returns the known limits themselves when they cover the others
 */
function mergeLimits (known: StreamLimits, required: StreamLimits): StreamLimits {
  const raised = Object.entries(required.byRoute).filter(([route, limitMs]) => Object.hasOwn(known.byRoute, route) && known.byRoute[route]! < limitMs)
  if (raised.length === 0 && required.longestMs <= known.longestMs) return known
  return { longestMs: Math.max(known.longestMs, required.longestMs), byRoute: { ...known.byRoute, ...Object.fromEntries(raised) } }
}

/** Decides whether buckets must move to other versions. */
function decideMove (current: VersionAssignment, readyByVersion: ReadonlyMap<string, number>, knownVersions: ReadonlySet<string>): 'versionJoined' | 'versionLeft' | 'unbalanced' | null {
  if (readyByVersion.size === 0) return null
  const owned = countBuckets(current)
  if ([...readyByVersion.keys()].some(version => !owned.has(version))) return 'versionJoined'
  const absent = [...owned.keys()].filter(version => !readyByVersion.has(version))
  if (absent.some(version => knownVersions.has(version))) return 'versionLeft'
  // an absent version that is not known yet has endpoints that this process has not read of
  return absent.length === 0 && isUnbalanced(owned, readyByVersion) ? 'unbalanced' : null
}

/** Moves as few buckets as possible, so that each version has its share of them. */
function moveBuckets (current: VersionAssignment, readyByVersion: ReadonlyMap<string, number>): VersionAssignment {
  const surplus = countBuckets(current)
  const deficits = new Map<string, number>()
  for (const [version, target] of computeTargets(readyByVersion)) {
    const owned = surplus.get(version) ?? 0
    surplus.set(version, owned - target)
    if (owned < target) deficits.set(version, target - owned)
  }
  const takers = [...deficits].flatMap(([version, count]) => new Array<string>(count).fill(version))
  const sequence = current.sequence + 1
  const buckets = current.buckets.map(bucket => {
    const [owner] = bucket.versions
    const left = typeof owner === 'string' ? surplus.get(owner) ?? 0 : 1
    if (left <= 0 || takers.length === 0) return bucket
    if (typeof owner === 'string') surplus.set(owner, left - 1)
    const taker = takers.pop()!
    return { versions: selectVersions([taker, ...bucket.versions.filter(version => version !== taker)]), changedAt: sequence, ageMs: 0 }
  })
  return advance(current, { buckets })
}

/** Divides the buckets by the numbers of endpoints; each version gets at least one. */
function computeTargets (readyByVersion: ReadonlyMap<string, number>): Map<string, number> {
  const versions = [...readyByVersion].sort(([one], [other]) => one < other ? -1 : 1).slice(0, BUCKET_COUNT)
  const total = versions.reduce((sum, [, count]) => sum + count, 0)
  const targets = new Map(versions.map(([version, count]) => [version, Math.max(1, Math.floor(BUCKET_COUNT * count / total))]))
  for (let rest = BUCKET_COUNT - [...targets.values()].reduce((sum, count) => sum + count, 0); rest !== 0; rest -= Math.sign(rest)) {
    const [largest, count] = [...targets].reduce((best, other) => other[1] > best[1] ? other : best)
    targets.set(largest, count + Math.sign(rest))
  }
  return targets
}

function isUnbalanced (owned: ReadonlyMap<string, number>, readyByVersion: ReadonlyMap<string, number>): boolean {
  const targets = computeTargets(readyByVersion)
  return [...targets].some(([version, target]) => Math.abs(target - (owned.get(version) ?? 0)) > MAX_IMBALANCE * BUCKET_COUNT)
}

function addUnknown ({ versions }: BucketVersions, sequence: number): BucketVersions {
  return { versions: selectVersions([versions[0]!, ...versions.slice(1).filter(version => version !== null), null]), changedAt: sequence, ageMs: 0 }
}

function selectVersions (versions: Array<string | null>): Array<string | null> {
  return versions.length <= MAX_VERSIONS_PER_BUCKET ? versions : [...versions.slice(0, MAX_VERSIONS_PER_BUCKET - 1), null]
}

function advance (current: VersionAssignment, changes: Partial<VersionAssignment>): VersionAssignment {
  return { ...current, ...changes, sequence: current.sequence + 1 }
}
