import type { AttemptTarget } from '../../protocol/attemptMessages'
import type { Tier } from '../../protocol/tiers'

/** How a run at the endpoint ended. */
export type EndpointEnd =
  | { kind: 'completed', status: number, contentType: string }
  /** The connection could not be established; the endpoint has not received the request. */
  | { kind: 'notStarted', message: string }
  /** The connection broke before the answer was complete. */
  | { kind: 'broken', message: string }
  /** The connection stayed open, but no byte was received within the idle timeout. */
  | { kind: 'silent', message: string }
  /** The endpoint answered with an error instead of running the request. */
  | { kind: 'rejected', status: number, message: string }
  | { kind: 'cancelled' }

/** One request to be run at the endpoint. */
export interface EndpointRunOptions {
  attemptId: string
  tier: Tier
  idempotencyKey: string | undefined
  target: AttemptTarget
  /** Idle timeout: milliseconds without a received byte after which the run ends as `silent`. */
  silenceMs: number
  /** Aborts when the run is to be cancelled. */
  signal: AbortSignal
  /** Receives the texts of one read, in order. */
  onTexts: (texts: string[]) => void
}

/** Runs requests at one endpoint over its published protocol. */
export interface EndpointClient {
  /** Resolves with how the run ended; never rejects. */
  run (options: EndpointRunOptions): Promise<EndpointEnd>
  close (): void
}
