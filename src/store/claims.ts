import { systemClock } from '../base/clock'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ClaimRecord, StoredAnswer } from './claimRecord'

export interface ClaimRequest {
  workspace: string
  /** The caller's idempotency key. */
  key: string
  /** Digest of target and body; a key identifies one request only. */
  requestDigest: string
  attemptId: string
  /** Id and epoch of this process. */
  holder: string
}

/** The right to run one request once. */
export interface Claim {
  objectKey: string
  request: ClaimRequest
  writeId: string
  version: number
  /** Monotonic time in milliseconds just before the claim was requested. */
  requestedAtMs: number
  claimedAtMs: number
}

/** Outcome of a claim; only `granted` allows the request to start. */
export type ClaimOutcome =
  | { kind: 'granted', claim: Claim }
  /** The request has run; `answer` is null when the response was too large to store. */
  | { kind: 'completed', answer: StoredAnswer | null }
  | { kind: 'inProgress', holder: string }
  | { kind: 'mayHaveRun', holder: string }
  /** The key was used for another request. */
  | { kind: 'keyReused' }
  | { kind: 'unavailable', retryAfterMs: number }

/** Whether a claim's final state was stored, or is being stored in the background. */
export type SettleOutcome = { kind: 'stored' } | { kind: 'deferred' }

/** Grants at-most-once claims, independent of how they are stored. */
export interface ClaimRegistry {
  /** Claims the right to run a request. Never throws, and returns at once while the service is down. */
  claim (request: ClaimRequest, progress: Progress): Promise<ClaimOutcome>
  /**
   * Reads a claim back after a pause. The request may start only if the outcome is `granted`. If the
   * read fails, the claim is released in the background.
   */
  verify (claim: Claim, progress: Progress): Promise<ClaimOutcome>
  /** Stores that the request has run, with its response if that is small enough. */
  complete (claim: Claim, answer: StoredAnswer, progress: Progress): Promise<SettleOutcome>
  /** Stores that the request was not run, so that its key may be claimed again. */
  release (claim: Claim, progress: Progress): Promise<SettleOutcome>
  /** Returns how many claims still have a final state to store, and how many of these states were dropped. */
  getStatus (): { pendingCount: number, droppedCount: number }
  /** Stops the background work and tries to store the pending final states once more. */
  stop (progress: Progress): Promise<void>
}

/** How to treat an existing claim that has no response yet. */
export interface ExistingClaimOptions {
  clock?: Clock
  /** Milliseconds after which a claim without a response counts as `mayHaveRun`. */
  inProgressMs?: number
  /** Returns whether the process that holds a claim is known to have ended. */
  isHolderGone?: (holder: string) => boolean
}

/** Longest time in milliseconds after a claim request within which the claim may be used without a read-back. */
export const MAX_UNVERIFIED_CLAIM_AGE_MS = 5_000
const DEFAULT_IN_PROGRESS_MS = 600_000

/**
 * Returns whether a granted claim may be used without a read-back. An older claim needs one: the
 * process may have been paused since, and the claim may have been removed meanwhile.
 *
 * @example
 * if (!isClaimFresh(claim, clock)) outcome = await store.verify(claim, progress)
 */
export function isClaimFresh (claim: Claim, clock: Clock): boolean {
  return clock.getMonotonicMs() - claim.requestedAtMs <= MAX_UNVERIFIED_CLAIM_AGE_MS
}

/** Returns the outcome of a claim for a key that is already claimed or completed. */
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
