/** How far a stream has come. */
export interface StreamProgress {
  /** Complete events that have arrived. */
  events: number
  /** Milliseconds between the first and the last of them. */
  streamedMs: number
}

/** Progress of an answer that an endpoint has survived. One that crashes as it begins to write may still have sent a first event. */
const BEGUN_EVENTS = 3
const BEGUN_STREAM_MS = 100

/**
 * Returns whether a stream has come so far that its prompt does not crash the endpoint.
 *
 * @example
 * isBegunStream({ events: 1, streamedMs: 0 }) // false
 */
export function isBegunStream ({ events, streamedMs }: StreamProgress): boolean {
  return events >= BEGUN_EVENTS && streamedMs >= BEGUN_STREAM_MS
}
