/**
 * Shares calls whose answers show only what was there when they started. Callers that come while a call is under way
 * share the next one.
 *
 * @example
 * const read = new SharedCall(async () => await readRecord())
 * await Promise.all([read.run(), read.run()]) // one call
 */
export class SharedCall<T> {
  readonly #call: () => Promise<T>
  #running: Promise<unknown> | null = null
  #next: Promise<T> | null = null

  constructor (call: () => Promise<T>) {
    this.#call = call
  }

  /** Returns the result of a call that starts now or later. */
  async run (): Promise<T> {
    this.#next ??= this.#runNext(this.#running)
    return await this.#next
  }

  async #runNext (running: Promise<unknown> | null): Promise<T> {
    // the error of a call belongs to its own callers
    await running?.catch(() => {})
    const call = this.#call()
    this.#running = call
    this.#next = null
    return await call
  }
}
