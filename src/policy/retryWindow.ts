import { SlidingWindowCounter } from './slidingWindowCounter'

/** Limits on the retries to each service. */
export interface RetryWindowOptions {
  /** Length of the sliding window in milliseconds. */
  windowMs: number
  /** Retries allowed for each request of the window. */
  ratio: number
  /** Retries that one process may send in each window in addition to the ratio, however few requests it received. */
  minRetries: number
}

interface ServiceWindow {
  requests: SlidingWindowCounter
  repeats: SlidingWindowCounter
}

/** Fraction of the ratio that is used, so that requests lost before they arrived do not push the retries above it. */
const USABLE_RATIO_SHARE = 0.8

/**
 * Keeps the retries of a fleet to each service within a ratio of its requests in every window. Processes
 * exchange no messages: each one uses only the share that its own received requests earn.
 *
 * @example
 * const retries = new RetryWindow({ windowMs: 10_000, ratio: 0.2, minRetries: 2 })
 * retries.recordRequest('archive', nowMs)
 * if (retries.acquire('archive', nowMs)) await sendAgain()
 */
export class RetryWindow {
  #options: RetryWindowOptions
  readonly #services = new Map<string, ServiceWindow>()

  constructor (options: RetryWindowOptions) {
    this.#options = options
  }

  /** Returns the requests and retries of the last window, for logs and the state dump. */
  getUsage (service: string, nowMs: number): { requests: number, repeats: number } {
    const { requests, repeats } = this.#getServiceWindow(service)
    return { requests: requests.getCount(nowMs), repeats: repeats.getCount(nowMs) }
  }

  /** Changes the limits. A different window length resets the counts. */
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

  /**
   * Acquires permission for one retry.
   *
   * @returns false when the window's share is used up
   */
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
