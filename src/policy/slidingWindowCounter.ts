const WINDOW_SLICES = 10

/**
 * Counts the events of the last window in slices. An event expires together with its slice.
 *
 * @example
 * const sends = new SlidingWindowCounter(4000)
 * sends.add(nowMs)
 * sends.getCount(nowMs) // 1
 */
export class SlidingWindowCounter {
  readonly #sliceMs: number
  readonly #counts = new Array<number>(WINDOW_SLICES + 1).fill(0)
  #sum = 0
  #slice = 0

  constructor (windowMs: number) {
    this.#sliceMs = windowMs / WINDOW_SLICES
  }

  add (nowMs: number): void {
    this.#advance(nowMs)
    const index = this.#slice % this.#counts.length
    this.#counts[index] = (this.#counts[index] as number) + 1
    this.#sum += 1
  }

  getCount (nowMs: number): number {
    this.#advance(nowMs)
    return this.#sum
  }

  #advance (nowMs: number): void {
    const slice = Math.floor(nowMs / this.#sliceMs)
    const steps = Math.min(slice - this.#slice, this.#counts.length)
    for (let step = 1; step <= steps; step++) this.#removeSlice((this.#slice + step) % this.#counts.length)
    if (slice > this.#slice) this.#slice = slice
  }

  #removeSlice (index: number): void {
    this.#sum -= this.#counts[index] as number
    this.#counts[index] = 0
  }
}
