import { Progress } from '../base/progress'

import { Backoff } from './backoff'
import { BackgroundTask } from './backgroundTask'
import { parseClaimRecord } from './claimRecord'

import type { ClaimRecord } from './claimRecord'
import type { ObjectService, StoredObject, WriteCondition } from './objectService'

/** A claim whose last state is known here and not yet at the platform. */
export interface Settlement {
  objectKey: string
  /** Write that made the claim, whether or not it took effect. */
  claimWriteId: string
  /** Condition of the claim's last write; what does not meet it any more can't be claimed by it. */
  claimCondition: WriteCondition
  /** Value to be stored: `completed` or `released`. */
  record: ClaimRecord
}

export interface ClaimSettlerOptions {
  service: ObjectService
  getRandom?: () => number
  /** Settlements kept at most; above it a claim stays `claimed`, which refuses its key. */
  maxPending?: number
  onError?: (error: unknown) => void
}

type SettleResult = 'settled' | 'retry'

const DEFAULT_MAX_PENDING_SETTLEMENTS = 1_000
const CALL_TIMEOUT_MS = 3_000
const BACKOFF_BASE_MS = 200
const BACKOFF_CAP_MS = 10_000
const IDLE_MS = 3_600_000

/**
 * Brings claims to their last state in the background, through outages and lost answers. An unseen
 * claim that has not appeared is fenced off: its key gets a `released` value, after which the late
 * claim no longer meets its condition.
 */
export class ClaimSettler {
  readonly #options: ClaimSettlerOptions
  readonly #backoff: Backoff
  readonly #task: BackgroundTask
  readonly #pending = new Map<string, Settlement>()
  #droppedCount = 0

  constructor (options: ClaimSettlerOptions) {
    this.#options = options
    this.#backoff = new Backoff({ baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS, getRandom: options.getRandom })
    this.#task = new BackgroundTask({ runStep: async signal => await this.#runPending(signal), onError: options.onError })
  }

  /** Adds a settlement and starts to work on it. */
  add (settlement: Settlement): void {
    if (this.#pending.size >= (this.#options.maxPending ?? DEFAULT_MAX_PENDING_SETTLEMENTS)) {
      this.#droppedCount += 1
      return
    }
    this.#pending.set(settlement.claimWriteId, settlement)
    this.#task.start()
    this.#task.notify()
  }

  /** The state that a claim made by `claimWriteId` is about to get; undefined when none is pending. */
  find (claimWriteId: string): ClaimRecord | undefined {
    return this.#pending.get(claimWriteId)?.record
  }

  /** Settlements still to be stored, and those given up because too many were pending. */
  getStatus (): { pendingCount: number, droppedCount: number } {
    return { pendingCount: this.#pending.size, droppedCount: this.#droppedCount }
  }

  /** Tries what is pending once more within `progress`, then stops. */
  async stop (progress: Progress): Promise<void> {
    await this.#task.stop()
    await this.#runPending(progress.signal)
  }

  async #runPending (signal: AbortSignal): Promise<number> {
    for (const settlement of [...this.#pending.values()]) {
      if (signal.aborted) break
      const progress = new Progress({ title: `settling ${settlement.objectKey}`, timeoutMs: CALL_TIMEOUT_MS, signal })
      if (await this.#writeSettlement(settlement, progress) === 'retry') return this.#backoff.advance()
      this.#pending.delete(settlement.claimWriteId)
    }
    this.#backoff.reset()
    return IDLE_MS
  }

  async #writeSettlement (settlement: Settlement, progress: Progress): Promise<SettleResult> {
    const current = await this.#options.service.get(settlement.objectKey, progress)
    if (current.isErr) return 'retry'
    const condition = chooseCondition(settlement, current.value)
    if (condition === null) return 'settled'
    const written = await this.#options.service.put(settlement.objectKey, settlement.record, condition, progress)
    return written.isOk ? 'settled' : 'retry'
  }
}

/** Condition under which the settlement is written; null when there is nothing left to write. */
function chooseCondition (settlement: Settlement, current: StoredObject | null): WriteCondition | null {
  const { claimCondition, claimWriteId, record } = settlement
  if (current === null) {
    const mayStillAppear = record.state === 'released' && claimCondition.kind === 'absent'
    return mayStillAppear ? { kind: 'absent' } : null
  }
  const stored = parseClaimRecord(current)
  const isOwnClaim = stored?.writeId === claimWriteId && stored.state === 'claimed'
  const mayStillAppear = claimCondition.kind === 'version' && claimCondition.version === current.version
  return isOwnClaim || mayStillAppear ? { kind: 'version', version: current.version } : null
}
