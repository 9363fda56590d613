import type { Result } from 'true-myth'
import type { Progress } from '../base/progress'

/** One stored object; `version` increases by one with each write of the key. */
export interface StoredObject {
  key: string
  version: number
  value: unknown
}

/** Condition that a write sets on the current state of the key. */
export type WriteCondition =
  | { kind: 'absent' }
  | { kind: 'version', version: number }

/** Why a call to the object service failed. */
export type ObjectServiceError =
  | { kind: 'conflict', current: StoredObject | null }
  | { kind: 'rateLimited', retryAfterMs: number }
  /** The service refused the call, or the call could not be sent. Nothing was written. */
  | { kind: 'unavailable', message: string }
  /** The call was sent, but no response arrived; it may have taken effect. */
  | { kind: 'unknownOutcome', message: string }

export type WatchEvent =
  | { kind: 'put', object: StoredObject }
  | { kind: 'delete', key: string, version: number }

export interface WatchBatch {
  events: WatchEvent[]
  /** Position from which the next watch continues. */
  revision: number
  /** Milliseconds since the state was last known to be current, for a view that another process read; 0 when absent. */
  ageMs?: number
}

/** All objects below a prefix at one revision. */
export interface ListedObjects {
  objects: StoredObject[]
  revision: number
  /** As in `WatchBatch`. */
  ageMs?: number
}

/** An instance on the platform's list, which lags behind the actual state. */
export interface ListedInstance {
  instanceId: string
  role: string
  address: string
  domain: string
  state: 'live' | 'leaving'
}

/**
 * The platform's object service, as far as this project uses it. Its HTTP protocol:
 *
 * - `GET /objects/KEY` answers 200 `{key, version, value}` or 404
 * - `PUT /objects/KEY` with `If-None-Match: *` or `If-Match: VERSION` and a JSON value of at most
 *   one megabyte answers 200 `{version}` or 412 `{current}`
 * - `DELETE /objects/KEY` with `If-Match: VERSION` answers 200 or 412
 * - `GET /objects?prefix=P` answers `{objects, revision}`
 * - `GET /watch?prefix=P&after=REVISION&timeoutMs=T` waits, then answers `{events, revision}`;
 *   410 when `after` is too old to continue from
 * - `GET /instances` answers `{instances}`, the lagging list, with an `ETag`; or 304 when
 *   `If-None-Match` matches the current list
 * - every call answers 429 with `Retry-After` above the rate limit, and 503 during an outage
 */
export interface ObjectService {
  get (key: string, progress: Progress): Promise<Result<StoredObject | null, ObjectServiceError>>
  list (prefix: string, progress: Progress): Promise<Result<ListedObjects, ObjectServiceError>>
  put (key: string, value: unknown, condition: WriteCondition, progress: Progress): Promise<Result<{ version: number }, ObjectServiceError>>
  delete (key: string, version: number, progress: Progress): Promise<Result<null, ObjectServiceError>>
  watch (prefix: string, afterRevision: number, timeoutMs: number, progress: Progress): Promise<Result<WatchBatch, ObjectServiceError>>
  listInstances (progress: Progress): Promise<Result<ListedInstance[], ObjectServiceError>>
}
