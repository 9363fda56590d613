import * as z from 'zod'

/** Crashes kept for one fingerprint; more add nothing to a refusal. */
export const MAX_CRASHES_PER_FINGERPRINT = 16

/** Crashes of endpoints while they ran one request; equal crash ids are one crash. */
export const crashRecordSchema = z.object({
  /** Digest of workspace, target and body, so that it concerns one workspace's request only. */
  fingerprint: z.string().max(100),
  crashes: z.array(z.object({ crashId: z.string().max(200), endpointName: z.string().max(200) })).max(MAX_CRASHES_PER_FINGERPRINT),
  /** Wall time of the last crash in milliseconds. */
  atMs: z.number()
})

export type CrashRecord = z.infer<typeof crashRecordSchema>
