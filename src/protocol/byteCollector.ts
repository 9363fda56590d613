/** Bytes of memory that a part of any length takes besides its own. */
const PART_OVERHEAD_BYTES = 256
/** Parts below this length are copied into a common block; each as a buffer of its own would cost a multiple of its bytes. */
const MIN_OWN_BYTES = 4096
const BLOCK_BYTES = 16_384

/**
 * Collects the parts of a body, and joins small ones as they come.
 *
 * @example
 * const collector = new ByteCollector()
 * collector.push(Buffer.from('{}')) // 258 bytes of memory
 * collector.takeAll()
 */
export class ByteCollector {
  readonly #parts: Buffer[] = []
  #block: Buffer | null = null
  /** Bytes of the block that are in use, and those of them that stand among the parts. */
  #usedBytes = 0
  #endedBytes = 0

  /** Adds a part. Returns the bytes of memory that this takes. */
  push (part: Buffer): number {
    // most bodies have one part
    if (this.#parts.length === 0 || part.length >= MIN_OWN_BYTES) {
      const endedBytes = this.#endPiece()
      this.#parts.push(part)
      return part.length + PART_OVERHEAD_BYTES + endedBytes
    }
    const addedBytes = this.#block !== null && this.#usedBytes + part.length <= BLOCK_BYTES ? 0 : this.#openBlock()
    this.#usedBytes += part.copy(this.#block!, this.#usedBytes)
    return addedBytes
  }

  /** Returns all bytes, and keeps none. */
  takeAll (): Buffer {
    this.#endPiece()
    const parts = this.#parts.splice(0)
    this.clear()
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
  }

  /** Drops all bytes. */
  clear (): void {
    this.#parts.length = 0
    this.#block = null
    this.#usedBytes = 0
    this.#endedBytes = 0
  }

  #openBlock (): number {
    const endedBytes = this.#endPiece()
    this.#block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    this.#usedBytes = 0
    this.#endedBytes = 0
    return BLOCK_BYTES + PART_OVERHEAD_BYTES + endedBytes
  }

  /** Moves what is new in the block behind the parts; its rest is still used. Returns the bytes of memory that this takes. */
  #endPiece (): number {
    if (this.#block === null || this.#usedBytes === this.#endedBytes) return 0
    this.#parts.push(this.#block.subarray(this.#endedBytes, this.#usedBytes))
    this.#endedBytes = this.#usedBytes
    return PART_OVERHEAD_BYTES
  }
}
