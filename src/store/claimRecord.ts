import * as z from 'zod'

import { hashText } from '../base/identifiers'

import { CLAIMS_PREFIX } from './keys'

import type { StoredObject } from './objectService'

/** Response stored for a caller that repeats the request. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  contentType: z.string().max(200),
  body: z.string()
})
export type StoredAnswer = z.infer<typeof storedAnswerSchema>

export const claimFieldsSchema = z.object({
  /** Id of the write that produced this value. A read-back after a lost response compares it. */
  writeId: z.string().max(100),
  requestDigest: z.string().max(100),
  attemptId: z.string().max(200),
  /** Id and epoch of the process that claimed the key. */
  holder: z.string().max(400),
  /** Wall time of the claim in milliseconds; used only for the claim's age, for its expiry and for `mayHaveRun`. */
  claimedAtMs: z.number()
})

const claimedSchema = claimFieldsSchema.extend({ state: z.literal('claimed') })
const completedSchema = claimFieldsSchema.extend({ state: z.literal('completed'), answer: storedAnswerSchema.nullable() })
const releasedSchema = claimFieldsSchema.extend({ state: z.literal('released') })

/** Value of one claim object: first `claimed`, then `completed` or `released`. */
export const claimRecordSchema = z.discriminatedUnion('state', [claimedSchema, completedSchema, releasedSchema])
export type ClaimRecord = z.infer<typeof claimRecordSchema>
export type ClaimFields = z.infer<typeof claimFieldsSchema>

/** Returns the key of the claim object for an idempotency key of a workspace. */
export function toClaimKey (workspace: string, idempotencyKey: string): string {
  return `${toWorkspacePrefix(workspace)}${hashText(idempotencyKey)}`
}

/** Returns the prefix of all claims of a workspace. */
export function toWorkspacePrefix (workspace: string): string {
  return `${CLAIMS_PREFIX}${encodeURIComponent(workspace)}/`
}

/** Parses a stored claim; returns null for an invalid value. */
export function parseClaimRecord (object: StoredObject): ClaimRecord | null {
  return claimRecordSchema.safeParse(object.value).data ?? null
}
