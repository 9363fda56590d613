import type { Tier } from '../protocol/tiers'

/** One class of requests with its service level. */
export interface ServiceClass {
  name: string
  tier: Tier
  /** Target in milliseconds from arrival to the first token, for 95 in 100 requests. */
  firstTokenTargetMs: number
  /** Target in milliseconds between tokens, for 95 in 100 requests. */
  betweenTokensTargetMs: number
  /** Milliseconds from arrival after which an answer is useless to the caller. */
  deadlineMs: number
  /** Guaranteed fraction, 0 to 1, of the starts at a contended endpoint. */
  share: number
  /** Retries allowed per request over a window, for example 0.1. */
  retryRatio: number
}

/** One workspace: its keys, the classes it may use and its limits. */
export interface Workspace {
  name: string
  /** SHA-256 digests, in hexadecimal, of the bearer keys. */
  keyDigests: string[]
  classes: string[]
  defaultClass: string
  requestsPerSecond: number
  maxConcurrent: number
}

/** One route of a plain service; the first matching route applies. */
export interface ServiceRoute {
  method: string
  /** Path prefix below `/services/NAME`. */
  path: string
  idempotent: boolean
}

/** A plain service. It serves HTTP calls, while engines serve models. */
export interface PlainService {
  name: string
  routes: ServiceRoute[]
}

/** One endpoint, with the models or the plain service placed on it. */
export interface Endpoint {
  name: string
  kind: 'engine' | 'service'
  /** Models placed on an engine. */
  models: string[]
  /** Plain service placed on a service endpoint. */
  service: string | null
  /** Role that an engine is ordered to run in. */
  role: 'mixed' | 'prefill' | 'decode'
  /** Whether the endpoint rejects an order with an outdated fencing number. */
  checksFencing: boolean
  /** Number of requests that the endpoint runs concurrently. */
  slots: number
}

/** Fleet-wide settings, independent of classes, workspaces and endpoints. */
export interface FleetSettings {
  /** Number of endpoint crashes attributed to a fingerprint after which its requests are rejected. */
  poisonCrashLimit: number
  /** Milliseconds for which the claim of an idempotency key is kept. */
  claimRetentionMs: number
}

/** A whole accepted configuration, as every process has it. */
export interface FleetConfig {
  /** Generation of the accepted manifest; a lower generation never replaces a higher one. */
  generation: number
  classes: Map<string, ServiceClass>
  workspaces: Map<string, Workspace>
  services: Map<string, PlainService>
  endpoints: Map<string, Endpoint>
  models: Set<string>
  settings: FleetSettings
}
