/** Bytes of memory that a chunk of any length takes besides its own; endless chunks of one byte each must not cost nothing. */
export const CHUNK_OVERHEAD_BYTES = 256

/** Bytes that each collected answer may always hold, and that all may hold together beyond that. */
export const ANSWER_BUFFER_BYTES = { guaranteedBytes: 65_536, sharedBytes: 33_554_432 }

/** Memory that answers share with the requests of callers. */
export interface SharedMemory {
  /** Returns false when there is no room. */
  reserve: (bytes: number) => boolean
  release: (bytes: number) => void
}

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
  readonly #memory: SharedMemory | null
  #sharedBytes: number

  constructor (options: { guaranteedBytes: number, sharedBytes: number, memory?: SharedMemory }) {
    this.#guaranteedBytes = options.guaranteedBytes
    this.#sharedBytes = options.sharedBytes
    this.#memory = options.memory ?? null
  }

  /** Reserves `bytes` more for an answer that holds `heldBytes`. Returns false when too few shared bytes are left. */
  acquire (heldBytes: number, bytes: number): boolean {
    const addedSharedBytes = this.#countShared(heldBytes + bytes) - this.#countShared(heldBytes)
    if (addedSharedBytes > this.#sharedBytes) return false
    if (addedSharedBytes > 0 && this.#memory?.reserve(addedSharedBytes) === false) return false
    this.#sharedBytes -= addedSharedBytes
    return true
  }

  /** Changes what an answer holds. Returns false, and changes nothing, when too few shared bytes are left. */
  update (heldBytes: number, bytes: number): boolean {
    if (bytes >= heldBytes) return this.acquire(heldBytes, bytes - heldBytes)
    this.#releaseShared(this.#countShared(heldBytes) - this.#countShared(bytes))
    return true
  }

  /** Releases all bytes that an answer held. */
  release (heldBytes: number): void {
    this.#releaseShared(this.#countShared(heldBytes))
  }

  #releaseShared (bytes: number): void {
    this.#sharedBytes += bytes
    if (bytes > 0) this.#memory?.release(bytes)
  }

  #countShared (heldBytes: number): number {
    return Math.max(0, heldBytes - this.#guaranteedBytes)
  }
}
