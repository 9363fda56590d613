import type { ClaimRecord } from './claimRecord'
import type { LedgerEntry } from './ledgerRecord'

/**
 * State of one shard's claims, made from its entries in log order alone, so that every process that
 * has read the same entries decides alike.
 *
 * @example
 * const index = new LedgerIndex()
 * segment.entries.forEach(entry => index.apply(entry))
 * index.find(key)
 */
export class LedgerIndex {
  readonly #records = new Map<string, ClaimRecord>()

  /** Claims in the index. */
  get size (): number {
    return this.#records.size
  }

  /** State of `key`; undefined when it was never claimed. */
  find (key: string): ClaimRecord | undefined {
    return this.#records.get(key)
  }

  /** Whether `entry` would change the state if it came next. */
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

/** A claim outlives its retention until another claim of the key comes, so that time is in the log too. */
function canClaim (record: ClaimRecord | undefined, entry: Extract<LedgerEntry, { kind: 'claim' }>): boolean {
  if (record === undefined) return true
  if (record.writeId === entry.fields.writeId) return false
  return record.state === 'released' || entry.fields.claimedAtMs - record.claimedAtMs > entry.retentionMs
}

function isClaimedBy (record: ClaimRecord | undefined, writeId: string): record is ClaimRecord {
  return record?.state === 'claimed' && record.writeId === writeId
}
