import type { Clock } from '../../src/base/clock'

interface Entry<T> {
  setAtMs: number
  value: T
}

export interface LaggingValueOptions {
  lagMs: number
  clock: Clock
}

/** Value that readers see with a delay of `lagMs`. */
export class LaggingValue<T> {
  readonly #options: LaggingValueOptions
  #entries: Array<Entry<T>>
  #frozen: { value: T } | null = null

  constructor (initial: T, options: LaggingValueOptions) {
    this.#options = options
    this.#entries = [{ setAtMs: -Infinity, value: initial }]
  }

  /** Returns the value that readers currently see. */
  get (): T {
    if (this.#frozen !== null) return this.#frozen.value
    const visibleUntilMs = this.#options.clock.getMonotonicMs() - this.#options.lagMs
    return this.#entries.findLast(entry => entry.setAtMs <= visibleUntilMs)!.value
  }

  set (value: T): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const firstVisibleIndex = this.#entries.findLastIndex(entry => entry.setAtMs <= nowMs - this.#options.lagMs)
    this.#entries = [...this.#entries.slice(firstVisibleIndex), { setAtMs: nowMs, value }]
  }

  setFrozen (frozen: boolean): void {
    this.#frozen = frozen ? { value: this.get() } : null
  }
}
