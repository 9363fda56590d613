/** A part of a prompt that requests may share, with its size. */
export interface PromptPart {
  id: string
  tokens: number
}

/** Maximum number of remembered parts. Protects against a flood of parts; normally the retention time below keeps the number small. */
const MAX_PARTS = 4096
/** Milliseconds for which a part counts as cached: the retention of a busy engine of the users' sizes. */
const CACHE_RETENTION_MS = 20_000

/**
 * Estimates which prompt parts one endpoint has in its prefix cache. Remembers the parts that were
 * sent there in the last 20 s, the most recent last. Its size depends on the requests of that period,
 * not on the total number of requests.
 *
 * @example
 * const estimate = new PrefixCacheEstimate()
 * estimate.record([{ id: 'a1', tokens: 800 }], nowMs)
 * estimate.countCachedTokens([{ id: 'a1', tokens: 800 }, { id: 'b2', tokens: 50 }], nowMs) // 800
 */
export class PrefixCacheEstimate {
  readonly #usedAtMs = new Map<string, number>()
  /** Times at which the endpoint had prefilled a part, of remembered parts. */
  readonly #readAtMs = new Map<string, number>()

  /** Number of remembered parts. */
  get size (): number {
    return this.#usedAtMs.size
  }

  /** Counts the tokens of the leading parts that the endpoint should still have cached. */
  countCachedTokens (parts: readonly PromptPart[], nowMs: number): number {
    return countRecentTokens(parts, this.#usedAtMs, nowMs)
  }

  /** Counts the tokens of the leading parts that the endpoint has prefilled, as its answers show, and should still have cached. */
  countReadTokens (parts: readonly PromptPart[], nowMs: number): number {
    return countRecentTokens(parts, this.#readAtMs, nowMs)
  }

  /** Records that the endpoint has prefilled parts that were sent to it. */
  recordRead (parts: readonly PromptPart[], nowMs: number): void {
    for (const { id } of parts) if (this.#usedAtMs.has(id)) this.#readAtMs.set(id, nowMs)
  }

  record (parts: readonly PromptPart[], nowMs: number): void {
    for (const part of parts) {
      this.#usedAtMs.delete(part.id)
      this.#usedAtMs.set(part.id, nowMs)
    }
    for (const [id, usedAtMs] of this.#usedAtMs) {
      if (nowMs - usedAtMs <= CACHE_RETENTION_MS && this.#usedAtMs.size <= MAX_PARTS) return
      this.#usedAtMs.delete(id)
      this.#readAtMs.delete(id)
    }
  }
}

function countRecentTokens (parts: readonly PromptPart[], times: ReadonlyMap<string, number>, nowMs: number): number {
  let tokens = 0
  for (const part of parts) {
    const atMs = times.get(part.id)
    if (atMs === undefined || nowMs - atMs > CACHE_RETENTION_MS) return tokens
    tokens += part.tokens
  }
  return tokens
}
