import * as z from 'zod'

import { crashRecordSchema } from './crashRecord'
import { begunStreamsSchema } from './streamOriginRecord'

/**
 * Messages between gateways. They share a gateway's view of the store with peers of its failure
 * domain and exchange membership, crashes and loads.
 */
const storedObjectSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() })

const watchEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), object: storedObjectSchema }),
  z.object({ kind: z.literal('delete'), key: z.string(), version: z.number() })
])

export const listViewSchema = z.object({ prefix: z.string() })

export const watchViewSchema = z.object({
  prefix: z.string(),
  /** Revision up to which the caller has received changes. */
  afterRevision: z.number(),
  waitMs: z.number().min(0)
})

/** Answer of a gateway to a peer that watches its view. */
export const viewAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('objects'),
    objects: z.array(storedObjectSchema),
    revision: z.number(),
    /** Milliseconds between the last confirmation of the view and this answer. */
    ageMs: z.number().min(0)
  }),
  z.object({ kind: z.literal('changes'), events: z.array(watchEventSchema), revision: z.number(), ageMs: z.number().min(0) }),
  /** The watch cannot continue from the caller's revision. The caller must list again. */
  z.object({ kind: z.literal('positionGone') }),
  /** The gateway currently does not read the store itself, or cannot reach it. */
  z.object({ kind: z.literal('unavailable'), reason: z.string() })
])

export type ViewAnswer = z.infer<typeof viewAnswerSchema>

const peerRecordSchema = z.object({
  id: z.string(),
  domain: z.string(),
  /** `host:port` at which the gateway serves its peers. */
  address: z.string(),
  /** Fraction of a core available to the gateway. The gateway with the most in a domain reads the store for its peers. */
  processorShare: z.number(),
  /** Milliseconds since the reporter last received an update about the gateway. */
  heardAgoMs: z.number().min(0)
})

export type PeerRecord = z.infer<typeof peerRecordSchema>

/** Update exchanged between two gateways: sent by the caller as parameters and by its peer as the result. */
export const peerUpdateSchema = z.object({
  self: peerRecordSchema,
  /** Gateways of the receiver's domain known to the reporter. */
  peers: z.array(peerRecordSchema),
  /** Recently recorded endpoint crashes, by request fingerprint. */
  crashes: z.array(crashRecordSchema)
})

export type PeerUpdate = z.infer<typeof peerUpdateSchema>

/** Endpoints that reported that they are leaving: id, start time in Unix milliseconds, milliseconds since the report. */
const leavingNoticesSchema = z.array(z.tuple([z.string(), z.number(), z.number().min(0)]))

/** Loads of endpoints: id, requests in flight, uncached prompt tokens not yet prefilled, milliseconds since the last byte received. */
const endpointLoadsSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.number()]))

/** Recent first events at engines, at the position of the endpoint in the loads: expected and measured milliseconds, and prefilled tokens. Empty for a plain service. */
const engineLoadsSchema = z.array(z.array(z.number().min(0)).max(8))

/** Endpoints whose process may have ended since its entry was read: id, start time in Unix milliseconds, milliseconds since the sign of it. */
const doubtedEndpointsSchema = z.array(z.tuple([z.string(), z.number(), z.number().min(0)]))

/**
 * Limits that endpoints name: id, start time in Unix milliseconds, version of the limit, requests per second from all
 * gateways together (null once the endpoint names none), requests sent under it in the last seconds.
 */
const endpointLimitsSchema = z.array(z.tuple([z.string(), z.number(), z.number().int().min(0), z.number().min(0).nullable(), z.number().min(0)]))

/** Crashes that prompt parts may have caused: crash id, milliseconds since, and for each request that may have caused it the keys of its parts. */
const partCrashesSchema = z.array(z.tuple([z.string().max(200), z.number(), z.array(z.array(z.string().max(64)).max(64)).max(64)]))

/** Prompt parts that endpoints have answered: key, milliseconds since the answer began. */
const answeredPartsSchema = z.array(z.tuple([z.string().max(64), z.number()]))

/** What workspaces received lately and wait for, where requests wait: by service and rank, the workspace, tokens received and tokens waiting. */
const workspaceDemandsSchema = z.array(z.tuple([z.string().max(200), z.number(), z.array(z.tuple([z.string().max(200), z.number().min(0), z.number().min(0)])).max(256)])).max(256)

/** Load update exchanged between two gateways. It excludes the load of the receiver itself. */
export const loadUpdateSchema = z.object({
  /** Id of the reporting gateway. */
  teller: z.string(),
  /** Failure domain of the reporter if the update covers all gateways of that domain. */
  domain: z.string().nullable(),
  /** Number of gateways whose load is included in `loads`. */
  gateways: z.number(),
  loads: endpointLoadsSchema,
  engines: engineLoadsSchema.default([]),
  leaving: leavingNoticesSchema.default([]),
  doubted: doubtedEndpointsSchema.default([]),
  limits: endpointLimitsSchema.default([]),
  crashes: partCrashesSchema.default([]),
  answered: answeredPartsSchema.default([]),
  /** Streams whose version the version record does not say for certain. */
  begun: begunStreamsSchema.default([]),
  demands: workspaceDemandsSchema.default([])
})

export type LoadUpdate = z.infer<typeof loadUpdateSchema>
