import { Progress } from '../base/progress'

/**
 * The operations of one long-lived object, so that all of them end with it. An operation that has
 * ended leaves nothing behind.
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
   * Runs `operation` with a deadline of `timeoutMs` milliseconds.
   *
   * @throws TimeoutError after the deadline, AbortedError once the scope is closed
   */
  async run<T> (title: string, timeoutMs: number, operation: (progress: Progress) => Promise<T>): Promise<T> {
    const progress = new Progress({ title, timeoutMs })
    if (this.signal.aborted) progress.abort('its owner was stopped')
    this.#active.add(progress)
    try {
      return await progress.wait('its end', operation(progress))
    } finally {
      this.#active.delete(progress)
    }
  }

  /** Ends all operations, and each later one at once. */
  close (): void {
    this.#controller.abort(new Error('the owner of the operation was stopped'))
    for (const progress of this.#active) progress.abort('its owner was stopped')
  }
}
