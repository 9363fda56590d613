import * as z from 'zod'

/** Faults of the engine stand-in; `POST /control/faults` sets the faults named in its body. */
export const engineFaultsSchema = z.strictObject({
  /** Crashes the engine once, immediately. */
  crash: z.boolean().optional(),
  /** Stalls the currently open connections permanently; later connections work. */
  freeze: z.boolean().optional(),
  /** Factor that multiplies the duration of every step. */
  slowFactor: z.number().positive().optional(),
  /** Crashes the engine when a prompt that contains this text starts to run; empty for never. */
  crashMarker: z.string().optional(),
  /** Number of next answers that end after their first chunks without the end marker. */
  cutAnswers: z.number().int().nonnegative().optional(),
  /** Fixed load that `/load` reports; null for the actual load. */
  loadReport: z.object({ running: z.number(), waiting: z.number() }).nullable().optional()
})
export type EngineFaults = z.infer<typeof engineFaultsSchema>

export const chatBodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.unknown()),
  max_tokens: z.number().int().positive().optional(),
  resume: z.object({ text: z.string(), chunkCount: z.number().int().nonnegative() }).optional()
})
export type ChatBody = z.infer<typeof chatBodySchema>

export const ordersBodySchema = z.object({
  fencingNumber: z.number().int().nonnegative(),
  order: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('loadModel'), model: z.string() }),
    z.object({ kind: z.literal('unloadModel'), model: z.string() }),
    z.object({ kind: z.literal('setRole'), role: z.string() })
  ])
})
