import * as z from 'zod'

import { MAX_TIER, MIN_TIER } from './tiers'

/** Path on which a process answers JSON-RPC 2.0 requests with newline-delimited messages. */
export const RPC_PATH = '/rpc'

/** Milliseconds for which a sidecar keeps the state of an ended attempt. Afterwards the attempt is unknown. */
export const ATTEMPT_RETENTION_MS = 15_000

const chatTargetSchema = z.object({
  kind: z.literal('chat'),
  model: z.string().max(200),
  /** The caller's body, unchanged. The sidecar sends it to the engine. */
  body: z.record(z.string(), z.unknown()),
  /** Answer text already delivered by an earlier, failed attempt. The engine continues after it. */
  resume: z.object({ text: z.string(), chunkCount: z.number().int().nonnegative() }).optional()
})

const serviceTargetSchema = z.object({
  kind: z.literal('service'),
  service: z.string().max(200),
  method: z.string().max(20),
  path: z.string().max(4000),
  contentType: z.string().max(200),
  bodyBase64: z.string()
})

/** Work requested from an endpoint: a chat completion, or one call of a plain service. */
export const attemptTargetSchema = z.discriminatedUnion('kind', [chatTargetSchema, serviceTargetSchema])
export type AttemptTarget = z.infer<typeof attemptTargetSchema>

/** Parameters of `submitAttempt`: one attempt to run one request at the sidecar's endpoint. */
export const submitAttemptSchema = z.object({
  requestId: z.string().max(100),
  attemptId: z.string().max(120),
  attemptNumber: z.number().int().positive(),
  gatewayId: z.string().max(100),
  gatewayEpoch: z.string().max(100),
  /** `host:port` at which the gateway serves its peers. */
  gatewayAddress: z.string().max(100),
  configGeneration: z.number().int().nonnegative(),
  workspace: z.string().max(200),
  className: z.string().max(200),
  tier: z.number().int().min(MIN_TIER).max(MAX_TIER),
  /** Milliseconds left until the caller's deadline. */
  remainingMs: z.number().nonnegative(),
  /** Milliseconds within which the sidecar must expect to start the attempt. Otherwise it refuses at once. */
  startWithinMs: z.number().nonnegative(),
  /** Milliseconds left until the first token misses its target; negative if it already has. */
  firstTokenRemainingMs: z.number(),
  idempotent: z.boolean(),
  /** Idempotency key under which the caller may retry the request. */
  idempotencyKey: z.string().max(300).optional(),
  /** Digest of workspace, target and body; equal requests have equal fingerprints. */
  fingerprint: z.string().max(100),
  /** Number of endpoint crashes known to the gateway during which this fingerprint ran. */
  crashCount: z.number().int().nonnegative(),
  target: attemptTargetSchema
})
export type SubmitAttempt = z.infer<typeof submitAttemptSchema>

/** Load of one endpoint as measured by its sidecar, carried on every answer. */
export const endpointLoadSchema = z.object({
  running: z.number().int().nonnegative(),
  slots: z.number().int().positive(),
  /** Queued requests by tier; element 0 is tier 1. */
  queuedByTier: z.array(z.number().int().nonnegative()).length(MAX_TIER),
  /** Estimated milliseconds until a new request of each tier starts; element 0 is tier 1. */
  waitMsByTier: z.array(z.number().nonnegative()).length(MAX_TIER),
  /** Smoothed milliseconds between tokens at the endpoint. */
  tokenIntervalMs: z.number().nonnegative(),
  draining: z.boolean()
})
export type EndpointLoad = z.infer<typeof endpointLoadSchema>

/** Identity, configuration generation and load of the sidecar that sent a message. */
export const sidecarStampSchema = z.object({
  sidecarId: z.string(),
  sidecarEpoch: z.string(),
  configGeneration: z.number().int().nonnegative(),
  load: endpointLoadSchema
})
export type SidecarStamp = z.infer<typeof sidecarStampSchema>

/** Reason why a request was not run. */
export const notRunReasonSchema = z.enum([
  'queueFull', 'displaced', 'cannotMeetDeadline', 'draining', 'poison', 'claimStoreUnavailable',
  'endpointUnavailable', 'modelNotPlaced', 'cancelled', 'fenced', 'alreadyInProgress', 'keyReused', 'configurationMissing'
])
export type NotRunReason = z.infer<typeof notRunReasonSchema>

const notRunSchema = z.object({
  kind: z.literal('notRun'),
  reason: notRunReasonSchema,
  /** Milliseconds after which the same request is likely to be accepted. */
  retryAfterMs: z.number().nonnegative()
})

const completedSchema = z.object({
  kind: z.literal('completed'),
  chunkCount: z.number().int().nonnegative(),
  /** SHA-256 over the text of all chunks in order. */
  digest: z.string(),
  status: z.number().int(),
  contentType: z.string()
})

const mayHaveRunSchema = z.object({
  kind: z.literal('mayHaveRun'),
  reason: z.enum(['claimedElsewhere', 'answerLost', 'endpointSilent']),
  retryAfterMs: z.number().nonnegative()
})

const failedAfterStartSchema = z.object({
  kind: z.literal('failedAfterStart'),
  reason: z.enum(['endpointCrashed', 'endpointError', 'cancelled', 'deadlinePassed']),
  message: z.string().max(500),
  /** Number of endpoint crashes counted against the fingerprint so far. */
  crashCount: z.number().int().nonnegative()
})

/** Outcome of an attempt. Every attempt ends with exactly one outcome. */
export const attemptOutcomeSchema = z.discriminatedUnion('kind', [
  notRunSchema, completedSchema, mayHaveRunSchema, failedAfterStartSchema
])
export type AttemptOutcome = z.infer<typeof attemptOutcomeSchema>

/** Final response of `submitAttempt`. */
export const submitResultSchema = z.object({ outcome: attemptOutcomeSchema, stamp: sidecarStampSchema })
export type SubmitResult = z.infer<typeof submitResultSchema>

/**
 * Notifications that a sidecar sends before the final response: `accepted`, then `started`, then the
 * chunks. A `heartbeat` follows whenever the sidecar has sent nothing for a while after `accepted`.
 */
export const attemptNotificationSchema = z.discriminatedUnion('method', [
  z.object({ method: z.literal('accepted'), params: z.object({ attemptId: z.string(), stamp: sidecarStampSchema }) }),
  z.object({ method: z.literal('started'), params: z.object({ attemptId: z.string() }) }),
  z.object({ method: z.literal('chunk'), params: z.object({ attemptId: z.string(), index: z.number().int().nonnegative(), text: z.string() }) }),
  z.object({ method: z.literal('heartbeat'), params: z.object({ attemptId: z.string(), stamp: sidecarStampSchema }) })
])
export type AttemptNotification = z.infer<typeof attemptNotificationSchema>

/** Parameters of `getAttempt`. With `fence`, the sidecar refuses the attempt if it arrives later. */
export const getAttemptSchema = z.object({ attemptId: z.string().max(120), fence: z.boolean() })
export type GetAttempt = z.infer<typeof getAttemptSchema>

/** State of one attempt at a sidecar. */
export const attemptStateSchema = z.object({
  state: z.enum(['unknown', 'queued', 'claiming', 'running', 'ended']),
  outcome: attemptOutcomeSchema.optional(),
  stamp: sidecarStampSchema
})
export type AttemptState = z.infer<typeof attemptStateSchema>

/** Parameters of `cancelAttempt`. With `onlyQueued`, an attempt that has started continues. */
export const cancelAttemptSchema = z.object({ attemptId: z.string().max(120), onlyQueued: z.boolean() })
export type CancelAttempt = z.infer<typeof cancelAttemptSchema>
