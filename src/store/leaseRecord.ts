import * as z from 'zod'

import { LEASES_PREFIX } from './keys'

import type { StoredObject } from './objectService'

/** Value of one lease object. It is never deleted, so that its fencing number never goes back. */
export const leaseRecordSchema = z.object({
  /** Process that holds the lease: its id and epoch. */
  holder: z.string().max(400),
  /** Grows by one with every change of holder. */
  fencingNumber: z.number().int().positive(),
  termMs: z.number().positive(),
  writeId: z.string().max(100),
  /** Whether the holder gave the lease up. */
  released: z.boolean()
})
export type LeaseRecord = z.infer<typeof leaseRecordSchema>

/** Key of the lease `name`. */
export function toLeaseKey (name: string): string {
  return `${LEASES_PREFIX}${encodeURIComponent(name)}`
}

/** Reads a stored lease; null when the value has an unknown form. */
export function parseLeaseRecord (object: StoredObject): LeaseRecord | null {
  return leaseRecordSchema.safeParse(object.value).data ?? null
}
