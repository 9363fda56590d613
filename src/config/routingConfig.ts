/**
 * What may be repeated. An idempotent request may run more than once; a non-idempotent one at most
 * once; a stream counts as non-idempotent unless its route lets it be resumed.
 */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream'

/** A share of a route's requests that goes to one service. */
export interface RouteShare {
  service: string
  weight: number
}

/** Requests of one host and path prefix, and how they are to be served. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RequestKind
  /** Whether a stream may go on at another endpoint after the last event that the caller has. */
  isResumable: boolean
  /** Whether the route takes requests without a key. */
  isPublic: boolean
  /** Longest time in milliseconds that a caller is kept waiting for its final answer. */
  timeoutMs: number
  /** Milliseconds within which an answer, or the first event of a stream, is on time. */
  targetMs: number
  /** Longest pause in milliseconds between events of a stream that is still on time. */
  betweenEventsTargetMs: number
  /** Rank among routes; 0 is the most urgent. */
  rank: number
  /** Endpoints to which one request may be sent at most. */
  maxAttempts: number
  shares: RouteShare[]
}

/** What a model engine of a service can hold. */
export interface EngineCapacity {
  slots: number
  cacheTokens: number
}

/** Endpoints that serve the same requests. */
export interface RoutedService {
  name: string
  /** Connections that one endpoint accepts from all callers together. */
  maxConnections: number
  /** Null for a plain service. */
  engine: EngineCapacity | null
}

/** A workspace with its keys; its rank, if it has one, goes before that of a route. */
export interface RoutedWorkspace {
  name: string
  keys: string[]
  rank: number | null
}

/** Bounds on what callers may send and how long they may take. */
export interface CallerBounds {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One version of the configuration under which requests are routed straight to endpoints. */
export interface RoutingConfig {
  version: number
  routes: Route[]
  services: RoutedService[]
  /** Null when requests carry no keys. */
  workspaces: RoutedWorkspace[] | null
  bounds: CallerBounds
}
