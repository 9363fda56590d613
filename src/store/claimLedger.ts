import { systemClock } from '../base/clock'
import { createId, hashText } from '../base/identifiers'

import { toClaimKey } from './claimRecord'
import { resolveExistingClaim } from './claims'
import { MAX_LEDGER_ANSWER_BYTES } from './ledgerRecord'
import { LedgerShard } from './ledgerShard'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { StoredAnswer } from './claimRecord'
import type { Claim, ClaimOutcome, ClaimRequest, ClaimRegistry, ExistingClaimOptions, SettleOutcome } from './claims'
import type { LedgerEntry } from './ledgerRecord'
import type { ObjectService } from './objectService'

export interface ClaimLedgerOptions extends ExistingClaimOptions {
  service: ObjectService
  getRandom?: () => number
  /** Number of shards; must be the same in every process that uses the ledger. */
  shardCount?: number
  /** Milliseconds for which claims are batched into one segment. */
  batchWindowMs?: number
  /** Milliseconds after which a claim no longer holds its key. */
  retentionMs?: number
  /** Largest number of queued entries per shard. */
  maxQueued?: number
  onError?: (error: unknown) => void
}

const DEFAULT_SHARD_COUNT = 64
const DEFAULT_BATCH_WINDOW_MS = 50
const DEFAULT_RETENTION_MS = 3_600_000
const DEFAULT_MAX_QUEUED = 1_000
const UNAVAILABLE_RETRY_AFTER_MS = 2_000
const SHARD_HASH_DIGITS = 8

/**
 * Stores at-most-once claims in a sharded ledger with group commit. Claims that arrive within a short
 * window are written as one segment, so the number of writes grows with the shards and not with the
 * requests. The first claim of a key in log order holds the key.
 *
 * @example
 * const ledger = new ClaimLedger({ service, shardCount: 64 })
 * const outcome = await ledger.claim(request, progress)
 */
export class ClaimLedger implements ClaimRegistry {
  readonly #options: ClaimLedgerOptions
  readonly #clock: Clock
  readonly #shards: LedgerShard[]
  #droppedCount = 0

  constructor (options: ClaimLedgerOptions) {
    this.#options = options
    this.#clock = options.clock ?? systemClock
    const { service, getRandom, onError } = options
    const batchWindowMs = options.batchWindowMs ?? DEFAULT_BATCH_WINDOW_MS
    const maxQueued = options.maxQueued ?? DEFAULT_MAX_QUEUED
    const shardCount = options.shardCount ?? DEFAULT_SHARD_COUNT
    this.#shards = Array.from({ length: shardCount }, (_, shard) => new LedgerShard({ service, shard, batchWindowMs, maxQueued, getRandom, onError }))
  }

  async claim (request: ClaimRequest, progress: Progress): Promise<ClaimOutcome> {
    const claim = this.#createClaim(request)
    const { requestDigest, attemptId, holder } = request
    const fields = { writeId: claim.writeId, requestDigest, attemptId, holder, claimedAtMs: claim.claimedAtMs }
    const retentionMs = this.#options.retentionMs ?? DEFAULT_RETENTION_MS
    const shard = this.#getShard(claim.objectKey)
    const entry: LedgerEntry = { kind: 'claim', key: claim.objectKey, fields, retentionMs }
    const result = await progress.wait('the claim to be written', shard.append(entry)).catch(() => 'unknown' as const)
    switch (result) {
      case 'read': return this.#resolveWrittenClaim(claim)
      case 'notWritten': return { kind: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }
      case 'unknown':
        this.#appendRelease(claim)
        return { kind: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }
    }
  }

  async verify (claim: Claim, progress: Progress): Promise<ClaimOutcome> {
    const requestedAtMs = this.#clock.getMonotonicMs()
    const shard = this.#getShard(claim.objectKey)
    if (!await shard.readToEnd(progress)) {
      this.#appendRelease(claim)
      return { kind: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }
    }
    const record = shard.index.find(claim.objectKey)
    if (record?.state === 'claimed' && record.writeId === claim.writeId) return { kind: 'granted', claim: { ...claim, requestedAtMs } }
    return { kind: 'mayHaveRun', holder: record?.holder ?? claim.request.holder }
  }

  async complete (claim: Claim, answer: StoredAnswer, progress: Progress): Promise<SettleOutcome> {
    const storedAnswer = Buffer.byteLength(answer.body) <= MAX_LEDGER_ANSWER_BYTES ? answer : null
    return await this.#appendOutcome({ kind: 'complete', key: claim.objectKey, writeId: claim.writeId, answer: storedAnswer }, progress)
  }

  async release (claim: Claim, progress: Progress): Promise<SettleOutcome> {
    return await this.#appendOutcome({ kind: 'release', key: claim.objectKey, writeId: claim.writeId }, progress)
  }

  getStatus (): { pendingCount: number, droppedCount: number } {
    const pendingCount = this.#shards.reduce((sum, shard) => sum + shard.countRetried(), 0)
    return { pendingCount, droppedCount: this.#droppedCount }
  }

  async stop (): Promise<void> {
    await Promise.all(this.#shards.map(shard => shard.stop()))
  }

  #createClaim (request: ClaimRequest): Claim {
    return {
      request,
      objectKey: toClaimKey(request.workspace, request.key),
      writeId: createId('claim'),
      version: 0,
      requestedAtMs: this.#clock.getMonotonicMs(),
      claimedAtMs: this.#clock.getWallMs()
    }
  }

  #resolveWrittenClaim (claim: Claim): ClaimOutcome {
    const record = this.#getShard(claim.objectKey).index.find(claim.objectKey)
    if (record === undefined || record.state === 'released') return { kind: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }
    if (record.writeId === claim.writeId) return { kind: 'granted', claim }
    return resolveExistingClaim(record, claim.request.requestDigest, { ...this.#options, clock: this.#clock })
  }

  async #appendOutcome (entry: LedgerEntry, progress: Progress): Promise<SettleOutcome> {
    const written = this.#getShard(entry.key).appendWithRetry(entry)
    const result = await progress.wait('the outcome to be written', written).catch(() => 'unknown' as const)
    return { kind: result === 'read' ? 'stored' : 'deferred' }
  }

  #appendRelease (claim: Claim): void {
    const entry: LedgerEntry = { kind: 'release', key: claim.objectKey, writeId: claim.writeId }
    this.#getShard(claim.objectKey).appendWithRetry(entry).catch(() => {})
  }

  #getShard (objectKey: string): LedgerShard {
    const hash = Number.parseInt(hashText(objectKey).slice(0, SHARD_HASH_DIGITS), 16)
    return this.#shards[hash % this.#shards.length]!
  }
}
