import * as z from 'zod'

import { claimFieldsSchema, storedAnswerSchema } from './claimRecord'
import { LEDGER_PREFIX } from './keys'

/** Largest number of entries in one segment; with responses of `MAX_LEDGER_ANSWER_BYTES` each, they fit into one object. */
export const MAX_SEGMENT_ENTRIES = 100
export const MAX_LEDGER_ANSWER_BYTES = 4_096
const SEGMENT_NUMBER_DIGITS = 12

/** One ledger entry about one idempotency key; `key` is the claim's object key. */
export const ledgerEntrySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), key: z.string().max(500), fields: claimFieldsSchema, retentionMs: z.number() }),
  z.object({ kind: z.literal('complete'), key: z.string().max(500), writeId: z.string().max(100), answer: storedAnswerSchema.nullable() }),
  z.object({ kind: z.literal('release'), key: z.string().max(500), writeId: z.string().max(100) })
])
export type LedgerEntry = z.infer<typeof ledgerEntrySchema>

/** Value of one segment object: entries that were written together. */
export const ledgerSegmentSchema = z.object({
  entries: z.array(ledgerEntrySchema).max(MAX_SEGMENT_ENTRIES)
})
export type LedgerSegment = z.infer<typeof ledgerSegmentSchema>

/** Returns the prefix of all segments of a shard. */
export function toShardPrefix (shard: number): string {
  return `${LEDGER_PREFIX}${shard}/`
}

/** Returns the key of segment `number` of a shard. Keys sort in the order of their numbers. */
export function toSegmentKey (shard: number, number: number): string {
  return `${toShardPrefix(shard)}${String(number).padStart(SEGMENT_NUMBER_DIGITS, '0')}`
}

/** Returns the number of the segment stored under `key`. */
export function parseSegmentNumber (key: string): number {
  return Number(key.slice(key.lastIndexOf('/') + 1))
}
