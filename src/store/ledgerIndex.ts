import type { ClaimRecord } from './claimRecord'
import type { LedgerEntry } from './ledgerRecord'

/**
 * Holds the claims of one shard. Its state depends only on the entries in log order, so that all
 * processes that have read the same entries make the same decisions.
 *
 * @example
 * const index = new LedgerIndex()
 * segment.entries.forEach(entry => index.apply(entry))
 * index.find(key)
 */
export class LedgerIndex {
  readonly #records = new Map<string, ClaimRecord>()

  /** Number of claims in the index. */
  get size (): number {
    return this.#records.size
  }

  /** Returns the claim of `key`; undefined when the key was never claimed. */
  find (key: string): ClaimRecord | undefined {
    return this.#records.get(key)
  }

  /** Returns whether `entry` would change the state if it were applied next. */
  canApply (entry: LedgerEntry): boolean {
    const record = this.#records.get(entry.key)
    return entry.kind === 'claim' ? canClaim(record, entry) : isClaimedBy(record, entry.writeId)
  }

  /** Applies the next entry of the log. */
  apply (entry: LedgerEntry): void {
    const record = this.#records.get(entry.key)
    switch (entry.kind) {
      case 'claim':
        if (canClaim(record, entry)) this.#records.set(entry.key, { ...entry.fields, state: 'claimed' })
        break
      case 'complete':
        if (isClaimedBy(record, entry.writeId)) this.#records.set(entry.key, { ...record, state: 'completed', answer: entry.answer })
        break
      case 'release':
        if (isClaimedBy(record, entry.writeId)) this.#records.set(entry.key, { ...record, state: 'released' })
        break
    }
  }
}

/**
 * Returns whether the entry can claim its key. An old claim stays past its retention until a later claim
 * of the key is applied. Its age is computed from the times in the log and not from a clock, so that
 * all processes decide the same.
 */
function canClaim (record: ClaimRecord | undefined, entry: Extract<LedgerEntry, { kind: 'claim' }>): boolean {
  if (record === undefined) return true
  if (record.writeId === entry.fields.writeId) return false
  return record.state === 'released' || entry.fields.claimedAtMs - record.claimedAtMs > entry.retentionMs
}

function isClaimedBy (record: ClaimRecord | undefined, writeId: string): record is ClaimRecord {
  return record?.state === 'claimed' && record.writeId === writeId
}
