/**
 * Kind of a request, which decides whether it is retryable. An idempotent request may run more than
 * once, a non-idempotent one at most once. A stream counts as non-idempotent unless its route allows
 * it to be resumed.
 */
export type RequestKind = 'idempotent' | 'nonIdempotent' | 'stream'

/** A share of a route's requests that goes to one service. */
export interface RouteShare {
  service: string
  weight: number
}

/** A route for the requests of one host and path prefix, and how they are served. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  kind: RequestKind
  /** Whether a stream may continue at another endpoint after the last event that the caller received. */
  isResumable: boolean
  /** Whether the route accepts requests without a key. */
  isPublic: boolean
  /** Longest time in milliseconds until a caller gets its final answer. */
  timeoutMs: number
  /** Milliseconds within which an answer, or the first event of a stream, is on time. */
  targetMs: number
  /** Longest pause in milliseconds between events of a stream that is still on time. */
  betweenEventsTargetMs: number
  /** Rank among routes; 0 is the most urgent. */
  rank: number
  /** Maximum number of endpoints to which one request may be sent. */
  maxAttempts: number
  shares: RouteShare[]
}

/** Capacity and features of the model engines of a service. */
export interface EngineCapacity {
  slots: number
  /** Tokens of running requests and cached prompt parts that the memory of one engine holds. */
  cacheTokens: number
  /** Bytes that one token takes when the engine's memory is sent to another engine. */
  bytesPerToken: number
  /** Megabits per second between two engines. */
  transferMegabitsPerSecond: number
  /** Generated tokens in one event of a stream. */
  tokensPerEvent: number
  /** Calls that one engine lets wait for changes of its cache; 0 when it reports none. */
  maxCacheWatchers: number
  /** Whether a running request can be moved to another engine. */
  canMove: boolean
  /** Whether the memory of a running request can be copied to another engine as it grows. */
  canBackUp: boolean
}

/** Endpoints that serve the same requests. */
export interface RoutedService {
  name: string
  /** Maximum number of connections that one endpoint accepts, over all clients. */
  maxConnections: number
  /** Null for a plain service. */
  engine: EngineCapacity | null
}

/** A workspace with its keys; its rank, if set, takes precedence over that of a route. */
export interface RoutedWorkspace {
  name: string
  keys: string[]
  rank: number | null
}

/** Limits on the size of callers' requests and on the time that callers may take. */
export interface CallerBounds {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One version of the configuration by which gateways relay requests directly to endpoints. */
export interface RoutingConfig {
  version: number
  routes: Route[]
  services: RoutedService[]
  /** Null when requests carry no keys. */
  workspaces: RoutedWorkspace[] | null
  bounds: CallerBounds
}
