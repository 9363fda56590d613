import { Progress } from '../base/progress'

/**
 * Runs the operations of one long-lived object and aborts them when that object is stopped. The scope
 * keeps no reference to an operation that has ended.
 *
 * @example
 * const scope = new OperationScope()
 * const value = await scope.run('reading the manifest', 500, progress => service.get(key, progress))
 */
export class OperationScope {
  readonly #controller = new AbortController()
  readonly #active = new Set<Progress>()

  /** Signal that fires once the scope is closed. */
  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /**
   * Runs `operation` with a timeout of `timeoutMs` milliseconds.
   *
   * @throws TimeoutError after the deadline, AbortedError once the scope is closed
   */
  async run<T> (title: string, timeoutMs: number, operation: (progress: Progress) => Promise<T>): Promise<T> {
    const progress = new Progress({ title, timeoutMs })
    if (this.signal.aborted) progress.abort('its owner was stopped')
    this.#active.add(progress)
    try {
      return await progress.wait('the operation to finish', operation(progress))
    } finally {
      this.#active.delete(progress)
    }
  }

  /** Aborts all operations; operations started later are aborted at once. */
  close (): void {
    this.#controller.abort(new Error('the owner of the operation was stopped'))
    for (const progress of this.#active) progress.abort('its owner was stopped')
  }
}
