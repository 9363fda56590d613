import * as z from 'zod'

import { LEASES_PREFIX } from './keys'

import type { StoredObject } from './objectService'

/** Value of one lease object. The object is never deleted, so that its fencing number never decreases. */
export const leaseRecordSchema = z.object({
  /** Id and epoch of the process that holds the lease. */
  holder: z.string().max(400),
  /** Increases by one with every change of holder. */
  fencingNumber: z.number().int().positive(),
  termMs: z.number().positive(),
  writeId: z.string().max(100),
  /** Whether the holder released the lease. */
  released: z.boolean()
})
export type LeaseRecord = z.infer<typeof leaseRecordSchema>

/** Returns the key of the lease `name`. */
export function toLeaseKey (name: string): string {
  return `${LEASES_PREFIX}${encodeURIComponent(name)}`
}

/** Parses a stored lease; returns null for an invalid value. */
export function parseLeaseRecord (object: StoredObject): LeaseRecord | null {
  return leaseRecordSchema.safeParse(object.value).data ?? null
}
