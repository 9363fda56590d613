/** Bytes of memory that a chunk of any length takes besides its own; endless chunks of one byte each must not cost nothing. */
export const CHUNK_OVERHEAD_BYTES = 256

/**
 * Limits the bytes that answers in flight hold in memory together. Each answer may always hold
 * `guaranteedBytes`; beyond that, all answers share `sharedBytes`. A few endless answers therefore
 * cannot use up the memory that the other answers need.
 *
 * @example
 * const budget = new ByteBudget({ guaranteedBytes: 65_536, sharedBytes: 33_554_432 })
 * if (!budget.acquire(heldBytes, chunk.length)) abortAnswer()
 */
export class ByteBudget {
  readonly #guaranteedBytes: number
  #sharedBytes: number

  constructor (options: { guaranteedBytes: number, sharedBytes: number }) {
    this.#guaranteedBytes = options.guaranteedBytes
    this.#sharedBytes = options.sharedBytes
  }

  /** Reserves `bytes` more for an answer that holds `heldBytes`. Returns false when too few shared bytes are left. */
  acquire (heldBytes: number, bytes: number): boolean {
    const addedSharedBytes = this.#countShared(heldBytes + bytes) - this.#countShared(heldBytes)
    if (addedSharedBytes > this.#sharedBytes) return false
    this.#sharedBytes -= addedSharedBytes
    return true
  }

  /** Changes what an answer holds. Returns false, and changes nothing, when too few shared bytes are left. */
  update (heldBytes: number, bytes: number): boolean {
    if (bytes >= heldBytes) return this.acquire(heldBytes, bytes - heldBytes)
    this.#sharedBytes += this.#countShared(heldBytes) - this.#countShared(bytes)
    return true
  }

  /** Releases all bytes that an answer held. */
  release (heldBytes: number): void {
    this.#sharedBytes += this.#countShared(heldBytes)
  }

  #countShared (heldBytes: number): number {
    return Math.max(0, heldBytes - this.#guaranteedBytes)
  }
}
