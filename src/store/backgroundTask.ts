import * as csp from 'js-csp'

import { openTimer, receiveValue, toChannel } from './channels'

import type { Channel, Process } from 'js-csp'

export interface BackgroundTaskOptions {
  /** Runs one step; resolves to the milliseconds to wait before the next one. */
  runStep: (signal: AbortSignal) => Promise<number>
  /** Called with the error of a step that threw; the next step runs after `ERROR_DELAY_MS`. */
  onError?: (error: unknown) => void
}

const ERROR_DELAY_MS = 1_000

/**
 * Repeats one step until it is stopped. The next step runs after the delay that the last one
 * returned, or as soon as `notify` is called. Steps never overlap.
 *
 * @example
 * const task = new BackgroundTask({ runStep: async () => { await sendReport(); return 5_000 } })
 * task.start()
 * await task.stop()
 */
export class BackgroundTask {
  readonly #options: BackgroundTaskOptions
  /** Aborts the running step. Each step has its own controller, so that listeners of its signal are released with it. */
  #controller = new AbortController()
  readonly #stopped = csp.chan<never>()
  readonly #wakeups = csp.chan<true>(csp.buffers.sliding(1))
  #process: Channel<void> | null = null

  constructor (options: BackgroundTaskOptions) {
    this.#options = options
  }

  /** Starts the task; the first step runs after `delayMs`. A second call has no effect. */
  start (delayMs = 0): void {
    if (this.#process !== null || this.#stopped.isClosed()) return
    this.#process = csp.spawn(this.#run(delayMs))
  }

  /** Runs the next step now, or directly after the running one. */
  notify (): void {
    csp.putAsync(this.#wakeups, true)
  }

  /** Aborts the running step's signal and waits until the step has returned. */
  async stop (): Promise<void> {
    this.#stopped.close()
    this.#controller.abort()
    if (this.#process !== null) await receiveValue(this.#process)
  }

  * #run (firstDelayMs: number): Process<void> {
    let delayMs = firstDelayMs
    while (true) {
      const timer = openTimer(delayMs)
      const { channel } = yield csp.alts([this.#stopped, this.#wakeups, timer.channel], { priority: true })
      timer.stop()
      if (channel === this.#stopped) return
      delayMs = yield csp.take(toChannel(this.#runStep()))
    }
  }

  async #runStep (): Promise<number> {
    this.#controller = new AbortController()
    if (this.#stopped.isClosed()) this.#controller.abort()
    try {
      return await this.#options.runStep(this.#controller.signal)
    } catch (error) {
      this.#options.onError?.(error)
      return ERROR_DELAY_MS
    }
  }
}
