/**
 * Bytes that answers under way may hold in memory together, beyond a small part that each may always
 * hold: a few answers without end must not use up what the sound ones need.
 *
 * @example
 * const budget = new ByteBudget({ freeBytes: 65_536, sharedBytes: 33_554_432 })
 * if (!budget.acquire(held, part.length)) abortAnswer()
 */
export class ByteBudget {
  readonly #guaranteedBytes: number
  #sharedBytes: number

  constructor (options: { guaranteedBytes: number, sharedBytes: number }) {
    this.#guaranteedBytes = options.guaranteedBytes
    this.#sharedBytes = options.sharedBytes
  }

  /** Takes `bytes` more for an answer that holds `heldBytes`; false when there is no room. */
  acquire (heldBytes: number, bytes: number): boolean {
    const addedSharedBytes = this.#countShared(heldBytes + bytes) - this.#countShared(heldBytes)
    if (addedSharedBytes > this.#sharedBytes) return false
    this.#sharedBytes -= addedSharedBytes
    return true
  }

  /** Gives back all that an answer held. */
  release (heldBytes: number): void {
    this.#sharedBytes += this.#countShared(heldBytes)
  }

  #countShared (heldBytes: number): number {
    return Math.max(0, heldBytes - this.#guaranteedBytes)
  }
}
