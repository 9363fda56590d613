import { Progress } from '../base/progress'

import { Backoff } from './backoff'
import { BackgroundTask } from './backgroundTask'
import { parseClaimRecord } from './claimRecord'

import type { ClaimRecord } from './claimRecord'
import type { ObjectService, StoredObject, WriteCondition } from './objectService'

/** The final state of a claim that this process still has to store at the platform. */
export interface Settlement {
  objectKey: string
  /** Id of the write that made the claim; the write may not have taken effect. */
  claimWriteId: string
  /** Condition of the claim's last write. Once the key no longer meets it, a delayed claim write fails. */
  claimCondition: WriteCondition
  /** Value to store: `completed` or `released`. */
  record: ClaimRecord
}

export interface ClaimSettlerOptions {
  service: ObjectService
  getRandom?: () => number
  /** Largest number of pending settlements. A claim beyond it stays `claimed`, so that its key is refused. */
  maxPending?: number
  onError?: (error: unknown) => void
}

type SettlementResult = 'settled' | 'retry'

const DEFAULT_MAX_PENDING_SETTLEMENTS = 1_000
const CALL_TIMEOUT_MS = 3_000
const BACKOFF_BASE_MS = 200
const BACKOFF_CAP_MS = 10_000
const IDLE_MS = 3_600_000

/**
 * Stores the final state of claims in the background, with retries through outages and lost
 * responses. A claim whose write may still arrive is fenced off: its key gets a `released` value,
 * so that the delayed write no longer meets its condition.
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

  /** Queues a settlement and starts to store it. */
  add (settlement: Settlement): void {
    if (this.#pending.size >= (this.#options.maxPending ?? DEFAULT_MAX_PENDING_SETTLEMENTS)) {
      this.#droppedCount += 1
      return
    }
    this.#pending.set(settlement.claimWriteId, settlement)
    this.#task.start()
    this.#task.notify()
  }

  /** Returns the pending final state of the claim that `claimWriteId` made; undefined when there is none. */
  find (claimWriteId: string): ClaimRecord | undefined {
    return this.#pending.get(claimWriteId)?.record
  }

  /** Returns how many settlements are pending, and how many were dropped because too many were pending. */
  getStatus (): { pendingCount: number, droppedCount: number } {
    return { pendingCount: this.#pending.size, droppedCount: this.#droppedCount }
  }

  /** Stops the background task, then tries to store the pending settlements once more within `progress`. */
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

  async #writeSettlement (settlement: Settlement, progress: Progress): Promise<SettlementResult> {
    const current = await this.#options.service.get(settlement.objectKey, progress)
    if (current.isErr) return 'retry'
    const condition = chooseCondition(settlement, current.value)
    if (condition === null) return 'settled'
    const written = await this.#options.service.put(settlement.objectKey, settlement.record, condition, progress)
    return written.isOk ? 'settled' : 'retry'
  }
}

/** Chooses the condition for writing the settlement; returns null when there is nothing left to write. */
function chooseCondition (settlement: Settlement, current: StoredObject | null): WriteCondition | null {
  const { claimCondition, claimWriteId, record } = settlement
  if (current === null) {
    const isWriteStillPossible = record.state === 'released' && claimCondition.kind === 'absent'
    return isWriteStillPossible ? { kind: 'absent' } : null
  }
  const stored = parseClaimRecord(current)
  const isOwnClaim = stored?.writeId === claimWriteId && stored.state === 'claimed'
  const isWriteStillPossible = claimCondition.kind === 'version' && claimCondition.version === current.version
  return isOwnClaim || isWriteStillPossible ? { kind: 'version', version: current.version } : null
}
