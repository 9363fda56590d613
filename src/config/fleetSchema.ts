import * as z from 'zod'

import { MAX_TIER, MIN_TIER } from '../protocol/tiers'

const MAX_NAME_CHARS = 100
const MAX_LIST_ITEMS = 200
const MAX_DURATION_MS = 86_400_000
const MAX_RETENTION_MS = 30 * 86_400_000
const MIN_SHARE = 0.001
const MAX_SLOTS = 100_000
const DEFAULT_RETENTION_MS = 86_400_000

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._:/-]*$/, 'is not a usable name').max(MAX_NAME_CHARS)
const durationSchema = z.number().positive().max(MAX_DURATION_MS)

const classShape = {
  tier: z.number().int().min(MIN_TIER).max(MAX_TIER)
    .describe(`a whole number from ${MIN_TIER}, the most urgent, to ${MAX_TIER}`),
  firstTokenTargetMs: durationSchema.describe('milliseconds from arrival to the first token, such as 710'),
  betweenTokensTargetMs: durationSchema.describe('milliseconds between tokens, such as 53'),
  deadlineMs: durationSchema.describe('milliseconds from arrival after which the answer is useless, such as 30000'),
  share: z.number().min(MIN_SHARE).max(1).default(0.02)
    .describe(`a fraction from ${MIN_SHARE} to 1 of the starts at a contended endpoint; with none the class could starve`),
  retryRatio: z.number().min(0).max(1).default(0.1).describe('retries allowed per request, from 0 to 1')
}

const workspaceShape = {
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'is not a SHA-256 digest')).min(1).max(MAX_LIST_ITEMS)
    .describe('a list of SHA-256 digests of bearer keys, 64 lower-case hexadecimal digits each; make one with printf %s KEY | sha256sum'),
  classes: z.array(nameSchema).min(1).max(MAX_LIST_ITEMS).describe('a list with at least one name of a class'),
  defaultClass: nameSchema.describe('the class of a request that names no class'),
  requestsPerSecond: z.number().positive().default(10).describe('a number of requests a second above 0'),
  maxConcurrent: z.number().int().positive().default(100).describe('a whole number of requests in flight above 0')
}

const routeShape = {
  method: z.string().regex(/^([A-Z]+|\*)$/, 'is not an HTTP method').max(20).describe('an HTTP method in capitals, such as POST, or * for any'),
  path: z.string().startsWith('/').max(1_000).describe('a path prefix that begins with a slash, such as /bookings'),
  idempotent: z.boolean().describe('true if a call can safely be retried, else false')
}

const endpointShape = {
  kind: z.enum(['engine', 'service']).describe('engine for a model engine or service for a plain service'),
  models: z.array(nameSchema).max(MAX_LIST_ITEMS).default([]).describe('a list of names of models'),
  service: nameSchema.optional().describe('the name of a plain service under services'),
  role: z.enum(['mixed', 'prefill', 'decode']).default('mixed').describe('mixed, prefill or decode'),
  checksFencing: z.boolean().default(false).describe('true if the endpoint rejects an order with an outdated fencing number'),
  slots: z.number().int().positive().max(MAX_SLOTS).describe('a whole number of requests that the endpoint runs concurrently')
}

const settingsShape = {
  poisonCrashLimit: z.number().int().positive().max(100).default(2)
    .describe('a whole number of endpoint crashes after which a request is rejected'),
  claimRetentionMs: z.number().int().positive().max(MAX_RETENTION_MS).default(DEFAULT_RETENTION_MS)
    .describe('milliseconds for which an idempotency key is kept, such as 86400000')
}

/** Builds the schema of a whole tree. Unknown keys at any level are errors if `strict`, else they are dropped. */
function buildTreeSchema (strict: boolean) {
  const buildObject = <Shape extends z.ZodRawShape> (shape: Shape) => strict ? z.strictObject(shape) : z.object(shape)
  const buildSection = <Entry extends z.ZodType> (entry: Entry) => z.record(nameSchema, entry).default({})
  const route = buildObject(routeShape)
  const service = buildObject({ routes: z.array(route).max(MAX_LIST_ITEMS).default([]).describe('a list of routes with method, path and idempotent') })
  return buildObject({
    classes: buildSection(buildObject(classShape)).describe('classes of requests by their names'),
    workspaces: buildSection(buildObject(workspaceShape)).describe('workspaces by their names'),
    services: buildSection(service).describe('plain services by their names'),
    endpoints: buildSection(buildObject(endpointShape)).describe('endpoints by their names'),
    settings: buildObject(settingsShape).prefault({}).describe('keys of fleet-wide settings')
  })
}

/** Validates the merged tree of an operator's folder; unknown keys are findings. */
export const fleetTreeSchema = buildTreeSchema(true)

/**
 * Validates a part of an accepted configuration. Drops keys that a later version of the system
 * added, so that processes of two versions can use the same configuration.
 */
export const partTreeSchema = buildTreeSchema(false)

/** A whole configuration as plain data by section and name, validated and with defaults filled in. */
export type FleetTree = z.output<typeof fleetTreeSchema>
