/** One part of a prompt that requests may share, with its size. */
export interface PromptPart {
  id: string
  tokens: number
}

const MAX_PARTS = 4096

/**
 * The prompt parts that were sent to one endpoint lately, the latest last, to estimate which of
 * them its cache still holds.
 *
 * @example
 * const memory = new PrefixMemory()
 * memory.record([{ id: 'a1', tokens: 800 }], nowMs)
 * memory.countHeldTokens([{ id: 'a1', tokens: 800 }, { id: 'b2', tokens: 50 }], nowMs) // 800
 */
export class PrefixMemory {
  readonly #usedAtMs = new Map<string, number>()

  /** Counts the tokens of the leading parts that were sent within the last `heldMs`. */
  countHeldTokens (parts: readonly PromptPart[], nowMs: number, heldMs = Infinity): number {
    let tokens = 0
    for (const part of parts) {
      const usedAtMs = this.#usedAtMs.get(part.id)
      if (usedAtMs === undefined || nowMs - usedAtMs > heldMs) return tokens
      tokens += part.tokens
    }
    return tokens
  }

  record (parts: readonly PromptPart[], nowMs: number): void {
    for (const part of parts) {
      this.#usedAtMs.delete(part.id)
      this.#usedAtMs.set(part.id, nowMs)
    }
    for (const id of this.#usedAtMs.keys()) {
      if (this.#usedAtMs.size <= MAX_PARTS) return
      this.#usedAtMs.delete(id)
    }
  }
}
