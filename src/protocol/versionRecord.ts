import * as z from 'zod'

/** Longest time limit of callers that a record covers; a caller that waits longer is counted with this one. */
export const MAX_LONGEST_MS = 600_000
const MAX_VERSIONS = 16
const MAX_NAME_CHARACTERS = 200
const limitSchema = z.number().min(0).max(MAX_LONGEST_MS)

/** Stored assignment of a service's streams to software versions, with buckets of the same state in one group. */
export const versionRecordSchema = z.object({
  sequence: z.number().int().min(1),
  era: z.number().int().min(0),
  limits: z.object({
    longestMs: limitSchema,
    byRoute: z.record(z.string().max(MAX_NAME_CHARACTERS), limitSchema)
  }),
  groups: z.array(z.object({
    /** Version of new streams first, then earlier ones; null for versions that nobody knows any more. */
    versions: z.array(z.string().min(1).max(MAX_NAME_CHARACTERS).nullable()).min(1).max(MAX_VERSIONS),
    changedAt: z.number().int().min(0),
    ageMs: z.number().int().min(0),
    buckets: z.array(z.number().int().min(0))
  }))
})

export type VersionRecord = z.infer<typeof versionRecordSchema>
