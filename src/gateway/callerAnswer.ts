import type { Refusal } from '../protocol/errorBody'

/** How a complete answer ended at its endpoint. */
export interface Completion {
  /** HTTP status of the endpoint's answer; 200 for a chat completion. */
  status: number
  contentType: string
}

/**
 * The answer to one caller, whatever form the caller asked for. Exactly one of `complete`, `refuse`
 * and `fail` ends it; calls after the end, or after the caller hung up, change nothing.
 */
export interface CallerAnswer {
  /** Fires when the caller hangs up before the answer ended. */
  readonly signal: AbortSignal
  /** Whether the caller has already received a part of the answer. */
  readonly hasBegun: boolean
  readonly hasEnded: boolean
  /** Sends what a streamed answer starts with; a whole answer sends nothing yet. */
  begin (): void
  /**
   * Adds text to the answer.
   *
   * @returns a promise only when the caller's connection is full; it settles once there is room
   */
  writeText (text: string): Promise<void> | undefined
  /** Ends the answer as whole. */
  complete (completion: Completion): void
  /** Ends the answer with an error before any of it was sent. */
  refuse (refusal: Refusal): void
  /** Ends the answer with an error, at any point; a begun stream is cut without its end marker. */
  fail (refusal: Refusal): void
}
