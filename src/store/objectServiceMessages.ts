import * as z from 'zod'

const storedObjectSchema = z.object({ key: z.string(), version: z.number().int(), value: z.unknown() })

const watchEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), object: storedObjectSchema }),
  z.object({ kind: z.literal('delete'), key: z.string(), version: z.number().int() })
])

const listedInstanceSchema = z.object({
  instanceId: z.string(),
  role: z.string(),
  address: z.string(),
  domain: z.string(),
  state: z.enum(['live', 'leaving'])
})

/** Schemas of the object service's responses, by call. */
export const objectServiceMessages = {
  object: storedObjectSchema,
  list: z.object({ objects: z.array(storedObjectSchema), revision: z.number() }),
  written: z.object({ version: z.number().int() }),
  conflict: z.object({ current: storedObjectSchema.nullable() }),
  watch: z.object({ events: z.array(watchEventSchema), revision: z.number() }),
  instances: z.object({ instances: z.array(listedInstanceSchema) })
}
