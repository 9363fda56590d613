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
  /** Largest answer body kept, in bytes. */
  maxAnswerBytes?: number
  onError?: (error: unknown) => void
}

const DEFAULT_MAX_ANSWER_BYTES = 16_384
const DEFAULT_RETRY_AFTER_MS = 2_000
const MAX_CLAIM_WRITES = 6

/** State of one call of `claim`. */
interface ClaimAttempt {
  objectKey: string
  request: ClaimRequest
  writeId: string
  requestedAtMs: number
  claimedAtMs: number
  condition: WriteCondition
  /** Whether a write of this call may have taken effect unseen. */
  mayHaveWritten: boolean
}

type Decision =
  | { kind: 'claimable', condition: WriteCondition }
  | { kind: 'decided', outcome: ClaimOutcome }

/**
 * At-most-once claims of idempotency keys, one object per key at the platform. A claim is granted
 * only when its write is known to have taken effect. A lost answer is read back by the write's id;
 * where that is not possible the caller is told `unavailable` and the claim is released in the
 * background if it took effect after all.
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

  /** Asks for the right to run a request; never throws. While the service is down it answers at once. */
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
   * Reads a claim back; needed before the start when `isClaimFresh` is false, since a process that
   * was paused may hold a claim that has been removed meanwhile. Any outcome but `granted` gives the
   * claim up: the request must not be started, and the claim is released in the background.
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

  /** Stores that the request has run, with its answer if that is small enough. */
  async complete (claim: Claim, answer: StoredAnswer, progress: Progress): Promise<SettleOutcome> {
    const maxBytes = this.#options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES
    const kept = Buffer.byteLength(answer.body) <= maxBytes ? answer : null
    return await this.#writeOutcome(claim, { ...createClaimFields(claim), state: 'completed', answer: kept }, progress)
  }

  /** Stores that the request was not run, so that its key may be claimed again. */
  async release (claim: Claim, progress: Progress): Promise<SettleOutcome> {
    return await this.#writeOutcome(claim, { ...createClaimFields(claim), state: 'released' }, progress)
  }

  /** Claims whose last state is still to be stored. */
  getStatus (): { pendingCount: number, droppedCount: number } {
    return this.#settler.getStatus()
  }

  /** Tries to store what is pending, then stops the background work. */
  async stop (progress: Progress): Promise<void> {
    await this.#settler.stop(progress)
  }

  /** One write, with its read-back; null when another write is needed. */
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
