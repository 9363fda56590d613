import * as z from 'zod'

const MAX_NAME_CHARS = 1000

/** Requests that began in one window: its number, and for each workspace the count so far. */
const windowCountsSchema = z.tuple([z.number().int(), z.array(z.tuple([z.string().max(MAX_NAME_CHARS), z.number().int().min(0)]))])

/** Counts of one process: its id, its failure domain, the Unix milliseconds since which it counts, and its windows. */
const processCountsSchema = z.tuple([z.string().max(200), z.string(), z.number(), z.array(windowCountsSchema)])

export type ProcessCountsMessage = z.infer<typeof processCountsSchema>

/** What a process says of itself in the exchange of usage counts. */
const usageAnswerShape = {
  /** Id of the process; a gateway that started again has another one, and does not know what it was told before. */
  process: z.string().max(200),
  /** Last window that is settled at the platform together with all before it; null when the process knows of none. */
  reported: z.number().int().nullable()
}

/** The gateway that tells counts as the reader of its failure domain. */
const usageTellerSchema = z.object({
  id: z.string().max(200),
  domain: z.string(),
  /** `host:port` at which it serves its peers. */
  address: z.string().max(100)
})

export type UsageTeller = z.infer<typeof usageTellerSchema>

/** Counts of requests that began, as one gateway tells them to another. They are cumulative for each process and window. */
export const usageUpdateSchema = z.object({
  ...usageAnswerShape,
  /** Unix milliseconds by the sender's own clocks. */
  ownMs: z.number(),
  /** The sender, where it tells the counts of its failure domain; null for a member that tells its reader. */
  teller: usageTellerSchema.nullable().default(null),
  counts: z.array(processCountsSchema)
})

export type UsageUpdate = z.infer<typeof usageUpdateSchema>

export const usageAnswerSchema = z.object({
  ...usageAnswerShape,
  /** Unix milliseconds as most of the gateways see them that tell this one their time. */
  trueMs: z.number()
})

export type UsageAnswer = z.infer<typeof usageAnswerSchema>
