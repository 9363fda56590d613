import { systemClock } from '../base/clock'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ClaimRecord, StoredAnswer } from './claimRecord'

export interface ClaimRequest {
  workspace: string
  /** The caller's idempotency key. */
  key: string
  /** Digest of target and body; a key stands for one request only. */
  requestDigest: string
  attemptId: string
  /** This process: its id and epoch. */
  holder: string
}

/** The right to run one request once. */
export interface Claim {
  objectKey: string
  request: ClaimRequest
  writeId: string
  version: number
  /** Monotonic time in milliseconds just before the claim was asked for. */
  requestedAtMs: number
  claimedAtMs: number
}

/** Answer to a claim; only `granted` allows the request to be started. */
export type ClaimOutcome =
  | { kind: 'granted', claim: Claim }
  /** The request has run; `answer` is null when it was too large to be kept. */
  | { kind: 'completed', answer: StoredAnswer | null }
  | { kind: 'inProgress', holder: string }
  | { kind: 'mayHaveRun', holder: string }
  /** The key stands for another request. */
  | { kind: 'keyReused' }
  | { kind: 'unavailable', retryAfterMs: number }

/** Whether a claim's last state was stored, or is stored in the background. */
export type SettleOutcome = { kind: 'stored' } | { kind: 'deferred' }

/** At-most-once claims, however they are stored. */
export interface ClaimRegistry {
  /** Asks for the right to run a request; never throws. While the service is down it answers at once. */
  claim (request: ClaimRequest, progress: Progress): Promise<ClaimOutcome>
  /** Reads a claim back after a pause; any outcome but `granted` gives the claim up. */
  verify (claim: Claim, progress: Progress): Promise<ClaimOutcome>
  /** Stores that the request has run, with its answer if that is small enough. */
  complete (claim: Claim, answer: StoredAnswer, progress: Progress): Promise<SettleOutcome>
  /** Stores that the request was not run, so that its key may be claimed again. */
  release (claim: Claim, progress: Progress): Promise<SettleOutcome>
  /** Claims whose last state is still to be stored. */
  getStatus (): { pendingCount: number, droppedCount: number }
  /** Tries to store what is pending, then stops the background work. */
  stop (progress: Progress): Promise<void>
}

/** How a claim that has no answer yet is judged. */
export interface ExistingClaimOptions {
  clock?: Clock
  /** Milliseconds after which a claim without an answer counts as possibly run. */
  inProgressMs?: number
  /** Whether the process that holds a claim is known to be gone. */
  isHolderGone?: (holder: string) => boolean
}

/** Milliseconds from asking for a claim within which it may be used without a read-back. */
export const MAX_UNVERIFIED_CLAIM_AGE_MS = 5_000
const DEFAULT_IN_PROGRESS_MS = 600_000

/**
 * Whether a granted claim may be used without a read-back: not so long after it was asked for that
 * the process must have been paused.
 *
 * @example
 * if (!isClaimFresh(claim, clock)) outcome = await store.verify(claim, progress)
 */
export function isClaimFresh (claim: Claim, clock: Clock): boolean {
  return clock.getMonotonicMs() - claim.requestedAtMs <= MAX_UNVERIFIED_CLAIM_AGE_MS
}

/** Answer to a claim of a key that is claimed or completed already. */
export function resolveExistingClaim (
  record: Exclude<ClaimRecord, { state: 'released' }>,
  requestDigest: string,
  options: ExistingClaimOptions
): ClaimOutcome {
  if (record.requestDigest !== requestDigest) return { kind: 'keyReused' }
  switch (record.state) {
    case 'completed': return { kind: 'completed', answer: record.answer }
    case 'claimed': return { kind: isInProgress(record, options) ? 'inProgress' : 'mayHaveRun', holder: record.holder }
  }
}

function isInProgress (record: ClaimRecord, options: ExistingClaimOptions): boolean {
  if (options.isHolderGone?.(record.holder)) return false
  const ageMs = (options.clock ?? systemClock).getWallMs() - record.claimedAtMs
  return ageMs <= (options.inProgressMs ?? DEFAULT_IN_PROGRESS_MS)
}
