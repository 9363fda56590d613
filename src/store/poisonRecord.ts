import { z } from 'zod'

import { POISON_PREFIX } from './keys'

/** Crashes kept for one fingerprint; more add nothing to a refusal. */
export const MAX_CRASHES = 16

/** Crashes of endpoints while they ran one request; equal crash ids are one crash. */
export const crashRecordSchema = z.object({
  /** Digest of workspace, target and body, so that it concerns one workspace's request only. */
  fingerprint: z.string().max(100),
  crashes: z.array(z.object({ crashId: z.string().max(200), endpointName: z.string().max(200) })).max(MAX_CRASHES),
  /** Wall time of the last crash in milliseconds. */
  atMs: z.number()
})
export type CrashRecord = z.infer<typeof crashRecordSchema>

/** Key of the crash record of `fingerprint`. */
export function toPoisonKey (fingerprint: string): string {
  return `${POISON_PREFIX}${encodeURIComponent(fingerprint)}`
}

/** Union of two records of one fingerprint; the order of merging does not matter below the bound. */
export function mergeCrashRecords (one: CrashRecord, other: CrashRecord): CrashRecord {
  const crashes = new Map([...one.crashes, ...other.crashes].map(crash => [crash.crashId, crash]))
  return {
    fingerprint: one.fingerprint,
    crashes: [...crashes.values()].slice(0, MAX_CRASHES),
    atMs: Math.max(one.atMs, other.atMs)
  }
}

/** Whether `record` has every crash of `part`. */
export function hasAllCrashes (record: CrashRecord | undefined, part: CrashRecord): boolean {
  const known = new Set(record?.crashes.map(crash => crash.crashId))
  return known.size >= MAX_CRASHES || part.crashes.every(crash => known.has(crash.crashId))
}
