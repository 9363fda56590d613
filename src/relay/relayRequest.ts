import type { Route } from '../config/routingConfig'
import type { PromptPart } from '../policy/prefixCacheEstimate'

/** Header names and values in turn, in the order and spelling of the wire. */
export type HeaderList = string[]

/** What a caller's request says, whatever the dialect it is written in. */
export interface RequestTraits {
  /** The caller's id of this attempt; the endpoint's answer must show it. */
  requestId: string
  method: string
  host: string
  /** Path with its query, unchanged. */
  target: string
  /** End-to-end headers that are the caller's to set. */
  headers: HeaderList
  key: string | null
  /** Milliseconds that the caller will wait; null when it does not say. */
  callerTimeoutMs: number | null
  /** Id of the last event that the caller has of a stream it resumes; null for a new one. */
  resumeAfterEventId: number | null
  /** Parts of the prompt in order; the last one is the request's own. */
  promptParts: PromptPart[]
}

/** A request that was admitted, with all that its relay needs. */
export interface RelayRequest {
  traits: RequestTraits
  route: Route
  service: string
  /** Name of the workspace whose key the request showed; null on a public route. */
  workspace: string | null
  /** Rank by which the request goes before others; 0 first. */
  rank: number
  body: Buffer
  arrivedAtMs: number
  deadlineAtMs: number
}
