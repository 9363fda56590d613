import type { Route } from '../config/routingConfig'
import type { PromptPart } from '../policy/prefixCacheEstimate'

/** Alternating header names and values, in the order and spelling of the wire. */
export type HeaderList = string[]

/** Parsed fields of a caller's request, independent of its dialect. */
export interface RequestTraits {
  /** Id that the caller sent; each retry by the caller has a new one. The endpoint's answer must carry it. */
  requestId: string
  method: string
  host: string
  /** Path with its query, unchanged. */
  target: string
  /** End-to-end headers that callers may set. */
  headers: HeaderList
  key: string | null
  /** Milliseconds for which the caller waits; null when it names no time. */
  callerTimeoutMs: number | null
  /** Id of the last event that the caller has received of a stream that it resumes; null for a new stream. */
  resumeAfterEventId: number | null
  /** Id of the caller's attempt that brought the first event of that stream; null when it names none. */
  resumedRequestId: string | null
  /** Parts of the prompt in order; the last one is unique to the request. */
  promptParts: PromptPart[]
  /** Name of the model; null when the caller names none. */
  model: string | null
  /** Maximum number of tokens to generate; null when the caller names none. */
  maxOutputTokens: number | null
  /** The caller's estimate of the tokens to generate, right at the median but often far off; null when it gives none. */
  estimatedOutputTokens: number | null
}

/** An admitted request, with everything needed to relay it. */
export interface RelayRequest {
  traits: RequestTraits
  route: Route
  service: string
  /** Name of the workspace whose key the request carries; null on a public route. */
  workspace: string | null
  /** Rank among requests; requests of rank 0 go first. */
  rank: number
  body: Buffer
  arrivedAtMs: number
  deadlineAtMs: number
}
