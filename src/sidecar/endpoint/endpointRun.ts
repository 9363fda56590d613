import type { AttemptTarget } from '../../protocol/attemptMessages'
import type { Tier } from '../../protocol/tiers'

/** How a run at the endpoint ended. */
export type EndpointEnd =
  | { kind: 'completed', status: number, contentType: string }
  /** The connection could not be made: the endpoint has not seen the request. */
  | { kind: 'notStarted', message: string }
  /** The connection broke before the answer was whole. */
  | { kind: 'broken', message: string }
  /** The connection stayed open and nothing came for too long. */
  | { kind: 'silent', message: string }
  /** The endpoint answered with an error of its own instead of running the request. */
  | { kind: 'rejected', status: number, message: string }
  | { kind: 'cancelled' }

/** One request to be run at the endpoint. */
export interface EndpointRunOptions {
  attemptId: string
  tier: Tier
  idempotencyKey: string | undefined
  target: AttemptTarget
  /** Milliseconds without a byte after which the connection is taken for silent. */
  silenceMs: number
  /** Fires when the run is to be cancelled. */
  signal: AbortSignal
  /** Takes the texts of one read, in order. */
  onTexts: (texts: string[]) => void
}

/** Runs requests at one endpoint over its published protocol. */
export interface EndpointClient {
  /** Resolves with how the run ended; never rejects. */
  run (options: EndpointRunOptions): Promise<EndpointEnd>
  close (): void
}
