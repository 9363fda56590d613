import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'

export interface StallReporterOptions {
  clock: Clock
  /** Returns the processor time of this process so far, in milliseconds. */
  getProcessorMs: () => number
  log: DecisionLog
}

const CHECK_INTERVAL_MS = 100
/** Milliseconds of delay from which on it is reported; requests that came meanwhile are read that much later than they arrived. */
const MIN_REPORTED_MS = 200

/**
 * Reports when the event loop was held up. Its processor time tells work of this process, which uses about as much
 * as the delay, from a process that was not run.
 */
export class StallReporter {
  readonly #options: StallReporterOptions
  readonly #timer: NodeJS.Timeout
  #checkedAtMs: number
  #processorMs: number
  #longestMs = 0

  constructor (options: StallReporterOptions) {
    this.#options = options
    this.#checkedAtMs = options.clock.getMonotonicMs()
    this.#processorMs = options.getProcessorMs()
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS)
    this.#timer.unref()
  }

  /** Longest delay in milliseconds so far. */
  get longestMs (): number {
    return this.#longestMs
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #check (): void {
    const { clock, getProcessorMs, log } = this.#options
    const nowMs = clock.getMonotonicMs()
    const processorMs = getProcessorMs()
    const delayMs = nowMs - this.#checkedAtMs - CHECK_INTERVAL_MS
    this.#longestMs = Math.max(this.#longestMs, delayMs)
    if (delayMs >= MIN_REPORTED_MS) log.write('notable', { event: 'processHeldUp', delayMs: Math.round(delayMs), processorMs: Math.round(processorMs - this.#processorMs) })
    this.#checkedAtMs = nowMs
    this.#processorMs = processorMs
  }
}
