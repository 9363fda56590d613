import { Result } from 'true-myth'

import { systemClock } from '../base/clock'
import { createId } from '../base/identifiers'

import { parseClaimRecord, toClaimKey } from './claimRecord'
import { ClaimSettler } from './claimSettler'
import { resolveExistingClaim } from './claims'
import { getRetryAfterMs } from './retryCall'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ClaimFields, ClaimRecord, StoredAnswer } from './claimRecord'
import type { Claim, ClaimOutcome, ClaimRequest, ClaimRegistry, ExistingClaimOptions, SettleOutcome } from './claims'
import type { ObjectService, ObjectServiceError, StoredObject, WriteCondition } from './objectService'

export { isClaimFresh } from './claims'
export type { Claim, ClaimOutcome } from './claims'

export interface ClaimStoreOptions extends ExistingClaimOptions {
  service: ObjectService
  getRandom?: () => number
  /** Largest response body to store, in bytes. */
  maxAnswerBytes?: number
  onError?: (error: unknown) => void
}

const DEFAULT_MAX_ANSWER_BYTES = 16_384
const DEFAULT_RETRY_AFTER_MS = 2_000
const MAX_CLAIM_WRITES = 6

/** State of one call to `claim`. */
interface ClaimAttempt {
  objectKey: string
  request: ClaimRequest
  writeId: string
  requestedAtMs: number
  claimedAtMs: number
  condition: WriteCondition
  /** Whether a write of this call may have taken effect without a confirmation. */
  mayHaveWritten: boolean
}

type Decision =
  | { kind: 'claimable', condition: WriteCondition }
  | { kind: 'decided', outcome: ClaimOutcome }

/**
 * Stores at-most-once claims of idempotency keys, one object per key at the platform. A claim is
 * granted only when its write is known to have taken effect. After a lost response the store reads
 * the object back and compares the write id. If the read fails too, the outcome is `unavailable`,
 * and the claim is released in the background in case it took effect.
 *
 * @example
 * const store = new ClaimStore({ service })
 * const outcome = await store.claim(request, progress)
 * if (outcome.kind === 'granted') await store.complete(outcome.claim, answer, progress)
 */
export class ClaimStore implements ClaimRegistry {
  readonly #options: ClaimStoreOptions
  readonly #clock: Clock
  readonly #settler: ClaimSettler

  constructor (options: ClaimStoreOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    this.#settler = new ClaimSettler(options)
  }

  /** Claims the right to run a request. Never throws, and returns at once while the service is down. */
  async claim (request: ClaimRequest, progress: Progress): Promise<ClaimOutcome> {
    const attempt: ClaimAttempt = {
      request,
      objectKey: toClaimKey(request.workspace, request.key),
      writeId: createId('claim'),
      requestedAtMs: this.#clock.getMonotonicMs(),
      claimedAtMs: this.#clock.getWallMs(),
      condition: { kind: 'absent' },
      mayHaveWritten: false
    }
    for (let writes = 0; writes < MAX_CLAIM_WRITES; writes += 1) {
      const outcome = await this.#claimOnce(attempt, progress)
      if (outcome !== null) return outcome
    }
    return this.#refuse(attempt, DEFAULT_RETRY_AFTER_MS)
  }

  /**
   * Reads a claim back. Required before starting a request when `isClaimFresh` returns false: the
   * claim may have been removed while the process was paused. After any outcome other than `granted`
   * the request must not be started. If the read fails, the claim is released in the background.
   */
  async verify (claim: Claim, progress: Progress): Promise<ClaimOutcome> {
    const requestedAtMs = this.#clock.getMonotonicMs()
    const current = await this.#options.service.get(claim.objectKey, progress)
    if (current.isErr) {
      this.#addSettlement(claim, { ...createClaimFields(claim), state: 'released' }, { kind: 'version', version: claim.version })
      return { kind: 'unavailable', retryAfterMs: computeRetryAfterMs(current.error) }
    }
    const record = current.value === null ? null : parseClaimRecord(current.value)
    if (record?.state === 'claimed' && record.writeId === claim.writeId) return { kind: 'granted', claim: { ...claim, requestedAtMs } }
    return { kind: 'mayHaveRun', holder: record?.holder ?? claim.request.holder }
  }

  /** Stores that the request has run, with its response if that is small enough. */
  async complete (claim: Claim, answer: StoredAnswer, progress: Progress): Promise<SettleOutcome> {
    const maxBytes = this.#options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES
    const storedAnswer = Buffer.byteLength(answer.body) <= maxBytes ? answer : null
    return await this.#writeOutcome(claim, { ...createClaimFields(claim), state: 'completed', answer: storedAnswer }, progress)
  }

  /** Stores that the request was not run, so that its key may be claimed again. */
  async release (claim: Claim, progress: Progress): Promise<SettleOutcome> {
    return await this.#writeOutcome(claim, { ...createClaimFields(claim), state: 'released' }, progress)
  }

  /** Returns how many claims still have a final state to store, and how many of these states were dropped. */
  getStatus (): { pendingCount: number, droppedCount: number } {
    return this.#settler.getStatus()
  }

  /** Stops the background task, then tries to store the pending final states once more. */
  async stop (progress: Progress): Promise<void> {
    await this.#settler.stop(progress)
  }

  /** Makes one write and reads it back if needed; returns null when another write is needed. */
  async #claimOnce (attempt: ClaimAttempt, progress: Progress): Promise<ClaimOutcome | null> {
    const { service } = this.#options
    const record: ClaimRecord = { ...createClaimFields(attempt), state: 'claimed' }
    const written = await service.put(attempt.objectKey, record, attempt.condition, progress)
    if (written.isOk) return createGrantedOutcome(attempt, written.value.version)
    const found = await this.#readCurrent(attempt, written.error, progress)
    if (found.isErr) return this.#refuse(attempt, computeRetryAfterMs(found.error))
    const decision = this.#decide(attempt, found.value)
    if (decision.kind === 'decided') return decision.outcome
    attempt.condition = decision.condition
    return null
  }

  async #readCurrent (attempt: ClaimAttempt, error: ObjectServiceError, progress: Progress): Promise<Result<StoredObject | null, ObjectServiceError>> {
    switch (error.kind) {
      case 'conflict': return Result.ok(error.current)
      case 'rateLimited':
      case 'unavailable': return Result.err(error)
      case 'unknownOutcome':
        attempt.mayHaveWritten = true
        return await this.#options.service.get(attempt.objectKey, progress)
    }
  }

  #decide (attempt: ClaimAttempt, current: StoredObject | null): Decision {
    if (current === null) return { kind: 'claimable', condition: { kind: 'absent' } }
    const stored = parseClaimRecord(current)
    if (stored === null) return { kind: 'decided', outcome: { kind: 'mayHaveRun', holder: 'unknown' } }
    if (stored.writeId === attempt.writeId) return { kind: 'decided', outcome: createGrantedOutcome(attempt, current.version) }
    const record = this.#settler.find(stored.writeId) ?? stored
    if (record.state === 'released') return { kind: 'claimable', condition: { kind: 'version', version: current.version } }
    return { kind: 'decided', outcome: resolveExistingClaim(record, attempt.request.requestDigest, { ...this.#options, clock: this.#clock }) }
  }

  #refuse (attempt: ClaimAttempt, retryAfterMs: number): ClaimOutcome {
    if (attempt.mayHaveWritten) this.#addSettlement(attempt, { ...createClaimFields(attempt), state: 'released' }, attempt.condition)
    return { kind: 'unavailable', retryAfterMs }
  }

  async #writeOutcome (claim: Claim, record: ClaimRecord, progress: Progress): Promise<SettleOutcome> {
    const written = await this.#options.service.put(claim.objectKey, record, { kind: 'version', version: claim.version }, progress)
    if (written.isOk) return { kind: 'stored' }
    this.#addSettlement(claim, record, { kind: 'version', version: claim.version })
    return { kind: 'deferred' }
  }

  #addSettlement (claim: { objectKey: string, writeId: string }, record: ClaimRecord, claimCondition: WriteCondition): void {
    this.#settler.add({ objectKey: claim.objectKey, claimWriteId: claim.writeId, claimCondition, record })
  }
}

function createClaimFields (claim: Pick<Claim, 'writeId' | 'request' | 'claimedAtMs'>): ClaimFields {
  const { requestDigest, attemptId, holder } = claim.request
  return { writeId: claim.writeId, requestDigest, attemptId, holder, claimedAtMs: claim.claimedAtMs }
}

function createGrantedOutcome (attempt: ClaimAttempt, version: number): ClaimOutcome {
  const { objectKey, request, writeId, requestedAtMs, claimedAtMs } = attempt
  return { kind: 'granted', claim: { objectKey, request, writeId, version, requestedAtMs, claimedAtMs } }
}

function computeRetryAfterMs (error: ObjectServiceError): number {
  return Math.max(DEFAULT_RETRY_AFTER_MS, getRetryAfterMs(error))
}
