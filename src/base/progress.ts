import { systemClock, toReadableMs } from './clock'
import { TimeLimit } from './timeLimit'

import type { Clock } from './clock'

/** Thrown when a wait exceeds its deadline; the message names what was awaited. */
export class TimeoutError extends Error {
  override name = 'TimeoutError'
}

/** Thrown when an operation is aborted; the message gives the reason. */
export class AbortedError extends Error {
  override name = 'AbortedError'
}

export interface ProgressOptions {
  /** What the operation does, worded to follow "while". */
  title: string
  /** Milliseconds from now until the operation times out; those in which this process could not read do not count. */
  timeoutMs: number
  signal?: AbortSignal
  clock?: Clock
}

const MAX_LOG_LINES = 50

/**
 * Deadline, abort signal and log of one long operation, passed to each of its steps.
 *
 * @example
 * const progress = new Progress({ title: 'reading the manifest', timeoutMs: 500 })
 * const value = await progress.wait('the object service to answer', fetchValue(progress.signal))
 */
export class Progress {
  readonly #title: string
  readonly #clock: Clock
  readonly #deadlineMs: number
  readonly #controller = new AbortController()
  readonly #log: string[] = []

  constructor (options: ProgressOptions) {
    this.#title = options.title
    this.#clock = options.clock ?? systemClock
    this.#deadlineMs = this.#getReadableMs() + options.timeoutMs
    const parent = options.signal
    if (parent?.aborted) this.abort('the parent operation ended')
    parent?.addEventListener('abort', () => this.abort('the parent operation ended'), { once: true })
  }

  /** Signal that fires when the operation is aborted or a wait exceeds the deadline. */
  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** Clock that the deadline is measured by. */
  get clock (): Clock {
    return this.#clock
  }

  /** Returns the milliseconds left before the deadline; 0 once it has passed. */
  getRemainingMs (): number {
    return Math.max(0, this.#deadlineMs - this.#getReadableMs())
  }

  /** Creates the progress of a step, with its own deadline but at most that of this operation. */
  createChild (title: string, timeoutMs: number): Progress {
    return new Progress({ title, timeoutMs: Math.min(timeoutMs, this.getRemainingMs()), signal: this.signal, clock: this.#clock })
  }

  /** Adds a log line, which errors of this operation include. */
  log (line: string): void {
    this.#log.push(line)
    if (this.#log.length > MAX_LOG_LINES) this.#log.shift()
  }

  abort (reason: string): void {
    if (this.#controller.signal.aborted) return
    this.#controller.abort(new AbortedError(this.describe(reason)))
  }

  /**
   * Waits for `promise` until the deadline or an abort.
   *
   * @throws TimeoutError naming `awaited` once the deadline passes
   * @throws AbortedError when the operation is aborted
   */
  async wait<T> (awaited: string, promise: Promise<T>): Promise<T> {
    promise.catch(() => {})
    if (this.signal.aborted) throw this.signal.reason
    return await new Promise<T>((resolve, reject) => {
      const handleAbort = () => finish(() => reject(this.signal.reason))
      const limit = new TimeLimit(this.#clock, this.getRemainingMs(), () => this.#controller.abort(this.#createTimeout(awaited)))
      const finish = (action: () => void) => {
        limit.cancel()
        this.signal.removeEventListener('abort', handleAbort)
        action()
      }
      this.signal.addEventListener('abort', handleAbort, { once: true })
      promise.then(value => finish(() => resolve(value)), error => finish(() => reject(error)))
    })
  }

  /** Formats the title, `reason` and the log so far as an error message. */
  describe (reason: string): string {
    const lines = this.#log.map(line => `  - ${line}`)
    return [`while ${this.#title}: ${reason}`, ...lines].join('\n')
  }

  #getReadableMs (): number {
    return toReadableMs(this.#clock, this.#clock.getMonotonicMs())
  }

  #createTimeout (awaited: string): TimeoutError {
    return new TimeoutError(this.describe(`timed out waiting for ${awaited}`))
  }
}
