import { MAX_CRASHES_PER_FINGERPRINT } from '../protocol/crashRecord'
import { POISON_PREFIX } from './keys'

import type { CrashRecord } from '../protocol/crashRecord'

/** Returns the key of the crash record of `fingerprint`. */
export function toPoisonKey (fingerprint: string): string {
  return `${POISON_PREFIX}${encodeURIComponent(fingerprint)}`
}

/** Merges two crash records of one fingerprint. The order of merging does not matter below `MAX_CRASHES_PER_FINGERPRINT`. */
export function mergeCrashRecords (one: CrashRecord, other: CrashRecord): CrashRecord {
  const clearedAtMs = Math.max(getClearedAtMs(one), getClearedAtMs(other))
  const crashes = new Map([one, other].flatMap(record => record.atMs > clearedAtMs ? record.crashes : []).map(crash => [crash.crashId, crash]))
  return {
    fingerprint: one.fingerprint,
    crashes: [...crashes.values()].slice(0, MAX_CRASHES_PER_FINGERPRINT),
    atMs: Math.max(one.atMs, other.atMs),
    ...clearedAtMs > -Infinity ? { clearedAtMs } : {}
  }
}

/** Returns whether merging `subset` into `record` would change nothing that decides. */
export function hasAllCrashes (record: CrashRecord | undefined, subset: CrashRecord): boolean {
  const clearedAtMs = record === undefined ? -Infinity : getClearedAtMs(record)
  if (getClearedAtMs(subset) > clearedAtMs) return false
  const known = new Set(record?.crashes.map(crash => crash.crashId))
  return subset.atMs <= clearedAtMs || known.size >= MAX_CRASHES_PER_FINGERPRINT || subset.crashes.every(crash => known.has(crash.crashId))
}

function getClearedAtMs (record: CrashRecord): number {
  return record.clearedAtMs ?? -Infinity
}
