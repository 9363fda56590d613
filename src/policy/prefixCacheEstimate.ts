/** One part of a prompt that requests may share, with its size. */
export interface PromptPart {
  id: string
  tokens: number
}

/** Bound against a flood of parts; in use the time below keeps the memory small. */
const MAX_PARTS = 4096
/** Time for which a part counts as held: what a busy engine of the users' sizes keeps. */
const CACHE_RETENTION_MS = 20_000

/**
 * The prompt parts that were sent to one endpoint in the last 20 s, the latest last, to estimate which
 * of them its cache still holds. Its size follows the requests of that time, not their number so far.
 *
 * @example
 * const memory = new PrefixMemory()
 * memory.record([{ id: 'a1', tokens: 800 }], nowMs)
 * memory.countHeldTokens([{ id: 'a1', tokens: 800 }, { id: 'b2', tokens: 50 }], nowMs) // 800
 */
export class PrefixCacheEstimate {
  readonly #usedAtMs = new Map<string, number>()

  /** Number of parts that are remembered. */
  get size (): number {
    return this.#usedAtMs.size
  }

  /** Counts the tokens of the leading parts that the endpoint should still hold. */
  countCachedTokens (parts: readonly PromptPart[], nowMs: number): number {
    let tokens = 0
    for (const part of parts) {
      const usedAtMs = this.#usedAtMs.get(part.id)
      if (usedAtMs === undefined || nowMs - usedAtMs > CACHE_RETENTION_MS) return tokens
      tokens += part.tokens
    }
    return tokens
  }

  record (parts: readonly PromptPart[], nowMs: number): void {
    for (const part of parts) {
      this.#usedAtMs.delete(part.id)
      this.#usedAtMs.set(part.id, nowMs)
    }
    for (const [id, usedAtMs] of this.#usedAtMs) {
      if (nowMs - usedAtMs <= CACHE_RETENTION_MS && this.#usedAtMs.size <= MAX_PARTS) return
      this.#usedAtMs.delete(id)
    }
  }
}
