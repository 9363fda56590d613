import * as z from 'zod'

/** Faults of the platform stand-in; `POST /control/faults` sets those that its body names. */
export const platformFaultsSchema = z.strictObject({
  /** `answer503` refuses, `hang` never answers, `refuse` stops listening. */
  outage: z.enum(['none', 'answer503', 'hang', 'refuse']),
  /** Milliseconds after which the outage ends by itself; 0 for never. */
  outageMs: z.number().nonnegative(),
  /** Milliseconds added before each call takes effect. */
  slowMs: z.number().nonnegative(),
  /** Writes to come that take effect while their connection is destroyed. */
  applyThenLoseAnswer: z.number().int().nonnegative(),
  /** Key prefix of the writes that `applyThenLoseAnswer` counts. */
  applyThenLoseAnswerPrefix: z.string(),
  /** Freezes the list of instances as it is seen now. */
  staleList: z.boolean(),
  /** Milliseconds by which each watch's answer is late. */
  watchDelayMs: z.number().nonnegative(),
  /** Watch answers to come that end with the previous version of their last object. */
  replayOldEvents: z.number().int().nonnegative()
})
export type PlatformFaults = z.infer<typeof platformFaultsSchema>

export const NO_PLATFORM_FAULTS: PlatformFaults = {
  outage: 'none',
  outageMs: 0,
  slowMs: 0,
  applyThenLoseAnswer: 0,
  applyThenLoseAnswerPrefix: '',
  staleList: false,
  watchDelayMs: 0,
  replayOldEvents: 0
}

export const listedInstancesSchema = z.array(z.object({
  instanceId: z.string(),
  role: z.string(),
  address: z.string(),
  domain: z.string(),
  state: z.enum(['live', 'leaving'])
}))
