import { BUCKET_COUNT } from '../policy/streamIds'
import { versionRecordSchema } from '../protocol/versionRecord'

import type { BucketVersions, VersionAssignment } from '../policy/versionAssignment'
import type { VersionRecord } from '../protocol/versionRecord'

/** Parses a stored assignment. Returns null unless it names each bucket exactly once. */
export function parseVersionRecord (value: unknown): VersionAssignment | null {
  const parsed = versionRecordSchema.safeParse(value)
  if (!parsed.success) return null
  const { groups, ...rest } = parsed.data
  const buckets: BucketVersions[] = []
  for (const { buckets: indexes, ...state } of groups) {
    for (const index of indexes) {
      if (index >= BUCKET_COUNT || buckets[index] !== undefined) return null
      buckets[index] = state
    }
  }
  return Object.keys(buckets).length === BUCKET_COUNT ? { ...rest, buckets } : null
}

/** Builds the stored form of an assignment. */
export function buildVersionRecord ({ buckets, ...rest }: VersionAssignment): VersionRecord {
  const groups = new Map<string, VersionRecord['groups'][number]>()
  for (const [index, { versions, changedAt, ageMs }] of buckets.entries()) {
    const id = JSON.stringify([versions, changedAt, ageMs])
    const group = groups.get(id) ?? { versions: [...versions], changedAt, ageMs, buckets: [] }
    group.buckets.push(index)
    groups.set(id, group)
  }
  return { ...rest, groups: [...groups.values()] }
}
