import * as z from 'zod'

import { hashText } from '../base/identifiers'

import { CLAIMS_PREFIX } from './keys'

import type { StoredObject } from './objectService'

/** Answer kept for a caller that sends the same request again. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string().max(200),
  body: z.string()
})
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

export const claimFieldsSchema = z.object({
  /** Identifies the write that made this value, for a read-back after a lost answer. */
  writeId: z.string().max(100),
  requestDigest: z.string().max(100),
  attemptId: z.string().max(200),
  /** Process that claimed the key: its id and epoch. */
  holder: z.string().max(400),
  /** Wall time of the claim in milliseconds, for retention only. */
  claimedAtMs: z.number()
})

const claimedSchema = claimFieldsSchema.extend({ state: z.literal('claimed') })
const completedSchema = claimFieldsSchema.extend({ state: z.literal('completed'), answer: storedAnswerSchema.nullable() })
const releasedSchema = claimFieldsSchema.extend({ state: z.literal('released') })

/** Value of one claim object: `claimed`, then either `completed` or `released`. */
export const claimRecordSchema = z.discriminatedUnion('state', [claimedSchema, completedSchema, releasedSchema])
export type ClaimRecord = z.infer<typeof claimRecordSchema>
export type ClaimFields = z.infer<typeof claimFieldsSchema>

/** Key of the object that holds the claim of one workspace's idempotency key. */
export function toClaimKey (workspace: string, idempotencyKey: string): string {
  return `${toWorkspacePrefix(workspace)}${hashText(idempotencyKey)}`
}

/** Prefix of all claims of one workspace. */
export function toWorkspacePrefix (workspace: string): string {
  return `${CLAIMS_PREFIX}${encodeURIComponent(workspace)}/`
}

/** Reads a stored claim; null when the value has an unknown form. */
export function parseClaimRecord (object: StoredObject): ClaimRecord | null {
  return claimRecordSchema.safeParse(object.value).data ?? null
}
