import * as z from 'zod'

/** Faults of the platform stand-in; `POST /control/faults` sets the faults named in its body. */
export const platformFaultsSchema = z.strictObject({
  /** `answer503` answers every call with 503, `hang` never answers, `refuse` stops listening. */
  outage: z.enum(['none', 'answer503', 'hang', 'refuse']),
  /** Milliseconds after which the outage ends automatically; 0 for never. */
  outageMs: z.number().nonnegative(),
  /** Milliseconds of delay before each call takes effect. */
  slowMs: z.number().nonnegative(),
  /** Number of next writes that are applied and whose connection is then closed without an answer. */
  applyThenLoseAnswer: z.number().int().nonnegative(),
  /** Key prefix of the writes to which `applyThenLoseAnswer` applies. */
  applyThenLoseAnswerPrefix: z.string(),
  /** Freezes the list of instances at its currently visible state. */
  staleList: z.boolean(),
  /** Milliseconds of delay before each watch is answered. */
  watchDelayMs: z.number().nonnegative(),
  /** Number of next watch answers that repeat, at their end, an older change to the object that changed last. */
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
