import type { Tier } from '../protocol/tiers'

/** One class of requests with its service level. */
export interface ServiceClass {
  name: string
  tier: Tier
  /** Milliseconds from arrival to the first token, for 95 in 100 requests. */
  firstTokenTargetMs: number
  /** Milliseconds between tokens, for 95 in 100 requests. */
  betweenTokensTargetMs: number
  /** Milliseconds from arrival after which an answer has no value. */
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

/** One route of a plain service; the first that matches counts. */
export interface ServiceRoute {
  method: string
  /** Path prefix below `/services/NAME`. */
  path: string
  idempotent: boolean
}

/** A plain service that stands beside the model engines. */
export interface PlainService {
  name: string
  routes: ServiceRoute[]
}

/** One endpoint and what is placed on it. */
export interface Endpoint {
  name: string
  kind: 'engine' | 'service'
  /** Models placed on an engine. */
  models: string[]
  /** Plain service placed on a service endpoint. */
  service: string | null
  /** Role an engine is ordered to take. */
  role: 'mixed' | 'prefill' | 'decode'
  /** Whether the endpoint refuses an order with an old fencing number. */
  checksFencing: boolean
  /** Requests the endpoint runs at once. */
  slots: number
}

/** Fleet-wide settings that are not of one class, workspace or endpoint. */
export interface FleetSettings {
  /** Endpoint crashes under one fingerprint after which it is refused. */
  poisonCrashLimit: number
  /** Milliseconds for which an idempotency key's claim is kept. */
  claimRetentionMs: number
}

/** A whole accepted configuration, as every process holds it. */
export interface FleetConfig {
  /** Number of the accepted manifest; a higher one replaces a lower one, never the reverse. */
  generation: number
  classes: Map<string, ServiceClass>
  workspaces: Map<string, Workspace>
  services: Map<string, PlainService>
  endpoints: Map<string, Endpoint>
  models: Set<string>
  settings: FleetSettings
}
