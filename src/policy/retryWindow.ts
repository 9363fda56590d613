/** Bounds of repeats per service. */
export interface RetryWindowOptions {
  /** Milliseconds of the sliding window. */
  windowMs: number
  /** Repeats allowed for each request of the window. */
  ratio: number
  /** Repeats that one process may add in each window, however few requests it saw. */
  minRetries: number
}

interface ServiceWindow {
  requests: SlidingWindowCounter
  repeats: SlidingWindowCounter
}

/** Part of the ratio that is spent, so that requests lost before they arrived do not exceed it. */
const USABLE_RATIO_SHARE = 0.8
const WINDOW_SLICES = 10

/**
 * Keeps the repeats that a fleet sends to each service within a ratio of its requests, in every
 * window and without a message: each process spends only the share of what it saw arrive itself.
 *
 * @example
 * const retries = new RetryWindow({ windowMs: 10_000, ratio: 0.2, floor: 2 })
 * retries.recordRequest('archive', nowMs)
 * if (retries.acquire('archive', nowMs)) await sendAgain()
 */
export class RetryWindow {
  #options: RetryWindowOptions
  readonly #services = new Map<string, ServiceWindow>()

  constructor (options: RetryWindowOptions) {
    this.#options = options
  }

  /** Gets requests and repeats of the last window, for logs and the state dump. */
  getUsage (service: string, nowMs: number): { requests: number, repeats: number } {
    const { requests, repeats } = this.#getServiceWindow(service)
    return { requests: requests.getCount(nowMs), repeats: repeats.getCount(nowMs) }
  }

  /** Changes the bounds; the counts of another window length start anew. */
  setOptions (options: RetryWindowOptions): void {
    if (options.windowMs !== this.#options.windowMs) this.#services.clear()
    this.#options = options
  }

  listServices (): string[] {
    return [...this.#services.keys()]
  }

  recordRequest (service: string, nowMs: number): void {
    this.#getServiceWindow(service).requests.add(nowMs)
  }

  /** Takes one repeat; false when the window's share is spent. */
  acquire (service: string, nowMs: number): boolean {
    const { requests, repeats } = this.#getServiceWindow(service)
    const allowed = this.#options.ratio * USABLE_RATIO_SHARE * requests.getCount(nowMs) + this.#options.minRetries
    if (repeats.getCount(nowMs) + 1 > allowed) return false
    repeats.add(nowMs)
    return true
  }

  #getServiceWindow (service: string): ServiceWindow {
    const known = this.#services.get(service)
    if (known !== undefined) return known
    const { windowMs } = this.#options
    const opened = { requests: new SlidingWindowCounter(windowMs), repeats: new SlidingWindowCounter(windowMs) }
    this.#services.set(service, opened)
    return opened
  }
}

/** Counts events of the last window in slices; an event leaves with its slice. */
class SlidingWindowCounter {
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
