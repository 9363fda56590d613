import * as z from 'zod'

const intentSchema = z.tuple([z.number().int(), z.array(z.tuple([z.string(), z.number().int().min(0)]))])

/** A window and its counts by workspace, as they are sent or were sent. */
export type UsageIntent = z.infer<typeof intentSchema>

/** The stored object of a duty: who holds it, and what the holder sends. */
export const dutyRecordSchema = z.object({
  /** Name of the gateway that holds the duty. */
  holder: z.string(),
  /** Id of its process. */
  process: z.string(),
  /** Era of the store in which the object was written; another one shows that the store was restored from a backup since. */
  era: z.number().int().min(0),
  /** Number that rises with each change of the holder. */
  number: z.number().int().min(1),
  /** Last window whose counts were stored, or are never reported. No window up to it may be stored again. */
  window: z.number().int(),
  /** Windows that the platform has not confirmed, in order. */
  intents: z.array(intentSchema)
})

export type DutyRecord = z.infer<typeof dutyRecordSchema>

/** Key of the stored object of the usage report. */
export const USAGE_DUTY_KEY = 'duties/usage'

/** Numbers of holders in one era of the store. */
const NUMBERS_PER_ERA = 2 ** 32
/** Windows that may wait for the platform's answer together. */
const MAX_INTENTS = 6
/** Bytes of all stored windows; the store takes a megabyte. */
const MAX_INTENT_BYTES = 900_000

/**
 * Computes the number of the next holder. It is higher than all numbers of earlier eras, also than those that a restore of the
 * store has forgotten.
 *
 * @example
 * computeNextNumber(7, 0) // 8
 */
export function computeNextNumber (number: number, era: number): number {
  return Math.max(number, era * NUMBERS_PER_ERA) + 1
}

/** Selects the newest intents that fit into the stored object, and lists the windows that do not. */
export function selectIntents (intents: readonly UsageIntent[]): { kept: UsageIntent[], dropped: number[] } {
  const kept: UsageIntent[] = []
  const dropped: number[] = []
  let bytes = 0
  for (const intent of [...intents].reverse()) {
    bytes += JSON.stringify(intent).length
    if (dropped.length === 0 && kept.length < MAX_INTENTS && bytes <= MAX_INTENT_BYTES) kept.unshift(intent)
    else dropped.unshift(intent[0])
  }
  return { kept, dropped }
}
