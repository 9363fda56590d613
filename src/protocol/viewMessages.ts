import * as z from 'zod'

import { crashRecordSchema } from './crashRecord'

/**
 * Messages between gateways: what a gateway has read of the store, for others of its failure domain,
 * and who else is there.
 */
const storedObjectSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() })

const watchEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), object: storedObjectSchema }),
  z.object({ kind: z.literal('delete'), key: z.string(), version: z.number() })
])

export const listViewSchema = z.object({ prefix: z.string() })

export const watchViewSchema = z.object({
  prefix: z.string(),
  /** Position that the caller has reached. */
  afterRevision: z.number(),
  waitMs: z.number().min(0)
})

/** What a gateway answers to another that follows its view. */
export const viewAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('objects'),
    objects: z.array(storedObjectSchema),
    revision: z.number(),
    /** Milliseconds, at the moment of the answer, since the view was last known to be the newest. */
    ageMs: z.number().min(0)
  }),
  z.object({ kind: z.literal('changes'), events: z.array(watchEventSchema), revision: z.number(), ageMs: z.number().min(0) }),
  /** The caller's position cannot be continued from; it has to list. */
  z.object({ kind: z.literal('positionGone') }),
  /** This gateway does not read the store itself now, or does not reach it. */
  z.object({ kind: z.literal('unavailable'), reason: z.string() })
])

export type ViewAnswer = z.infer<typeof viewAnswerSchema>

const peerRecordSchema = z.object({
  id: z.string(),
  domain: z.string(),
  /** `host:port` at which the gateway answers others. */
  address: z.string(),
  /** Part of a core that the gateway may use; the strongest of a domain reads for the others. */
  processorShare: z.number(),
  /** Milliseconds since the teller last heard of the gateway. */
  heardAgoMs: z.number().min(0)
})

export type PeerRecord = z.infer<typeof peerRecordSchema>

/** What two gateways tell each other: the caller in its parameters, the other in its result. */
export const peerUpdateSchema = z.object({
  self: peerRecordSchema,
  /** Gateways of the receiver's domain that the teller knows. */
  peers: z.array(peerRecordSchema),
  /** Crashes of endpoints under one request, lately recorded. */
  crashes: z.array(crashRecordSchema)
})

export type PeerUpdate = z.infer<typeof peerUpdateSchema>

/** Endpoints that said that they are leaving: id, Unix milliseconds of their start, milliseconds since they said so. */
const leavingNoticesSchema = z.array(z.tuple([z.string(), z.number(), z.number().min(0)]))

/** Loads of endpoints: id, requests there, prompt tokens still to be read, milliseconds since its last byte. */
const endpointLoadsSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number()]))

/** What two gateways tell each other of the load that they know of, the other's own left out. */
export const loadUpdateSchema = z.object({
  teller: z.string(),
  /** Failure domain of the teller, when it speaks for all gateways there. */
  domain: z.string().nullable(),
  /** Gateways whose load is in `loads`. */
  gateways: z.number(),
  loads: endpointLoadsSchema,
  leaving: leavingNoticesSchema.default([])
})

export type LoadUpdate = z.infer<typeof loadUpdateSchema>
