import type { Progress } from '../base/progress'
import type { StoredAnswer } from '../store/claimRecord'
import type { AttemptOutcome, SubmitAttempt } from '../protocol/attemptMessages'

/** Decision of the at-most-once gate on one attempt. */
export type ClaimDecision =
  | { kind: 'granted', claim: GrantedClaim }
  /** The request has already run; the answer's body holds its bytes as Latin-1 text. */
  | { kind: 'answered', answer: StoredAnswer }
  | { kind: 'refused', outcome: AttemptOutcome }

/** A claim held by this sidecar for one attempt. */
export interface GrantedClaim {
  /** Stores the answer for callers that retry the request. */
  complete (answer: StoredAnswer): Promise<void>
  /** Releases the key, because the attempt was not run. */
  release (): Promise<void>
}

/** Claims an attempt's idempotency key durably before it may start. */
export interface ClaimGate {
  claim (params: SubmitAttempt, progress: Progress): Promise<ClaimDecision>
}
