import * as z from 'zod'

/** Faults of the engine stand-in; `POST /control/faults` sets those that its body names. */
export const engineFaultsSchema = z.strictObject({
  /** Crashes once, now. */
  crash: z.boolean().optional(),
  /** Makes the connections open now silent for good, once. */
  freeze: z.boolean().optional(),
  /** Factor by which every step takes longer. */
  slowFactor: z.number().positive().optional(),
  /** Crashes when a prompt that contains this text starts to run; empty for never. */
  crashMarker: z.string().optional(),
  /** Answers to come that end after their first chunks without their last event. */
  cutAnswers: z.number().int().nonnegative().optional(),
  /** What `/load` says whatever the truth; null for the truth. */
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
