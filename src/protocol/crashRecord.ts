import * as z from 'zod'

/** Maximum number of crashes stored per fingerprint. More would not change the refusal. */
export const MAX_CRASHES_PER_FINGERPRINT = 16

/** Endpoint crashes that happened while a request with this fingerprint ran. Entries with the same crash id are the same crash. */
export const crashRecordSchema = z.object({
  /**
   * Digest of workspace, target and body, so that the record affects requests of one workspace only; or
   * the keys of prompt parts, as formatted by `formatPartFingerprint`, for requests with all of these parts.
   */
  fingerprint: z.string().max(100),
  crashes: z.array(z.object({ crashId: z.string().max(200), endpointName: z.string().max(200) })).max(MAX_CRASHES_PER_FINGERPRINT),
  /** Time of the last crash in Unix milliseconds. */
  atMs: z.number(),
  /** Time in Unix milliseconds up to which crashes no longer count, because something showed another cause. */
  clearedAtMs: z.number().optional()
})

export type CrashRecord = z.infer<typeof crashRecordSchema>
