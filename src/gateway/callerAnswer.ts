import type { Refusal } from '../protocol/errorBody'

/** Status and content type of a complete answer of an endpoint. */
export interface Completion {
  /** HTTP status of the endpoint's answer; 200 for a chat completion. */
  status: number
  contentType: string
}

/**
 * The answer to one caller, in the form that the caller asked for. Exactly one of `complete`,
 * `refuse` and `fail` ends it. Calls after the end, or after the caller disconnected, have no effect.
 */
export interface CallerAnswer {
  /** Aborts when the caller disconnects before the answer ended. */
  readonly signal: AbortSignal
  /** Whether a part of the answer was already sent to the caller. */
  readonly hasBegun: boolean
  readonly hasEnded: boolean
  /** Sends the start of a streamed answer; a buffered answer sends nothing yet. */
  begin (): void
  /**
   * Adds text to the answer.
   *
   * @returns a promise only when the caller's connection is full; it settles once the connection accepts more
   */
  writeText (text: string): Promise<void> | undefined
  /** Ends the answer as complete. */
  complete (completion: Completion): void
  /** Ends the answer with an error before any of it was sent. */
  refuse (refusal: Refusal): void
  /** Ends the answer with an error, at any point. A stream that has begun is closed without its end marker. */
  fail (refusal: Refusal): void
}
