import { BUCKET_COUNT } from '../../src/policy/streamIds'

import type { AssignmentInputs, BucketVersions, StreamLimits, VersionAssignment } from '../../src/policy/versionAssignment'

/** Time limits of a service with one route. */
export const LIMITS: StreamLimits = { longestMs: 8000, byRoute: { 'r-1': 8000 } }

/** Builds an assignment of which all buckets have the same versions. */
export function buildAssignment (versions: Array<string | null> = ['v1'], overrides: Partial<VersionAssignment & BucketVersions> = {}): VersionAssignment {
  const { changedAt = 1, ageMs = 0, ...rest } = overrides
  return { sequence: 1, era: 0, limits: LIMITS, buckets: Array.from({ length: BUCKET_COUNT }, () => ({ versions, changedAt, ageMs })), ...rest }
}

/** Builds the circumstances by which a gateway decides whether an assignment must change. */
export function buildAssignmentInputs (ready: Record<string, number>, overrides: Partial<AssignmentInputs> = {}): AssignmentInputs {
  const readyByVersion = new Map(Object.entries(ready))
  return { readyByVersion, knownVersions: new Set(readyByVersion.keys()), limits: LIMITS, era: 0, mayBeLost: false, getAgeMs: () => 0, isExpired: () => false, ...overrides }
}
