import * as z from 'zod'

/** Request of one gateway to another, the keeper of an endpoint's limit, for permits to send to that endpoint. */
export const permitRequestSchema = z.object({
  /** Id of the requesting gateway. */
  gateway: z.string(),
  /** Failure domain of the endpoint, which decides on its keeper. */
  domain: z.string(),
  /** The limit as the requesting gateway knows it; see `LimitNotice`. */
  limit: z.object({
    id: z.string(),
    bornAtMs: z.number(),
    version: z.number().int().min(0),
    requestsPerSecond: z.number().min(0)
  }),
  /** Maximum number of permits that the gateway can use now. */
  wanted: z.number().int().min(1)
})

export type PermitRequest = z.infer<typeof permitRequestSchema>

export const permitAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('granted'),
    count: z.number().int().min(1),
    /** Milliseconds for which the permits are valid, counted from the start of the call. */
    validMs: z.number().min(0)
  }),
  z.object({ kind: z.literal('denied'), retryAfterMs: z.number().min(0) }),
  /** The gateway is leaving; another one keeps the limit. */
  z.object({ kind: z.literal('leaving') })
])

export type PermitAnswer = z.infer<typeof permitAnswerSchema>
