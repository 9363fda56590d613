import { Backoff } from './backoff'
import { BackgroundTask } from './backgroundTask'

export interface CircuitBreakerOptions {
  /** Makes one call to the service; resolves to true when the service is up. */
  probe: () => Promise<boolean>
  /** Number of consecutive failures after which the service counts as down. */
  failureLimit?: number
  /** Shortest and longest delay between probes in milliseconds. */
  probeBaseMs?: number
  probeCapMs?: number
  getRandom?: () => number
}

const DEFAULT_CONSECUTIVE_FAILURE_LIMIT = 2
const DEFAULT_PROBE_BASE_MS = 500
const DEFAULT_PROBE_CAP_MS = 5_000
const IDLE_MS = 3_600_000

/**
 * Tracks whether the service is down, so that calls can be refused at once and do not wait for one
 * timeout after another. While the service is down, a background task probes it with jittered backoff.
 */
export class CircuitBreaker {
  readonly #options: CircuitBreakerOptions
  readonly #backoff: Backoff
  readonly #task = new BackgroundTask({ runStep: async () => await this.#probe() })
  #failures = 0
  #open = false
  #firstProbePending = false

  constructor (options: CircuitBreakerOptions) {
    this.#options = options
    this.#backoff = new Backoff({
      baseMs: options.probeBaseMs ?? DEFAULT_PROBE_BASE_MS,
      capMs: options.probeCapMs ?? DEFAULT_PROBE_CAP_MS,
      getRandom: options.getRandom
    })
  }

  /** Returns whether the service is known to be down. */
  isOpen (): boolean {
    return this.#open
  }

  /** Records a response that shows that the service is up, whatever its status. */
  recordSuccess (): void {
    this.#failures = 0
    this.#open = false
    this.#backoff.reset()
  }

  /** Records a call that was refused or got no response. */
  recordFailure (): void {
    this.#failures += 1
    if (this.#open || this.#failures < (this.#options.failureLimit ?? DEFAULT_CONSECUTIVE_FAILURE_LIMIT)) return
    this.#open = true
    this.#firstProbePending = true
    this.#task.start()
    this.#task.notify()
  }

  /** Stops probing. */
  async stop (): Promise<void> {
    await this.#task.stop()
  }

  async #probe (): Promise<number> {
    const isFirst = this.#firstProbePending
    this.#firstProbePending = false
    if (this.#open && !isFirst && await this.#options.probe()) this.recordSuccess()
    return this.#open ? this.#backoff.advance() : IDLE_MS
  }
}
