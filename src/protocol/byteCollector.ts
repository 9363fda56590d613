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
  #usedBytes = 0

  /** Adds a part. Returns the bytes of memory that this takes. */
  push (part: Buffer): number {
    // most bodies have one part
    if (this.#parts.length === 0 || part.length >= MIN_OWN_BYTES) {
      this.#endBlock()
      this.#parts.push(part)
      return part.length + PART_OVERHEAD_BYTES
    }
    const addedBytes = this.#block !== null && this.#usedBytes + part.length <= BLOCK_BYTES ? 0 : this.#openBlock()
    this.#usedBytes += part.copy(this.#block!, this.#usedBytes)
    return addedBytes
  }

  /** Returns all bytes, and keeps none. */
  takeAll (): Buffer {
    this.#endBlock()
    const parts = this.#parts.splice(0)
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts)
  }

  /** Drops all bytes. */
  clear (): void {
    this.#parts.length = 0
    this.#block = null
    this.#usedBytes = 0
  }

  #openBlock (): number {
    this.#endBlock()
    this.#block = Buffer.allocUnsafeSlow(BLOCK_BYTES)
    return BLOCK_BYTES + PART_OVERHEAD_BYTES
  }

  #endBlock (): void {
    if (this.#block !== null) this.#parts.push(this.#block.subarray(0, this.#usedBytes))
    this.#block = null
    this.#usedBytes = 0
  }
}
