import type { Clock } from '../base/clock'
import type { Attempt } from './attempt'
import type { AttemptRegistry } from './attemptRegistry'
import type { Dispatcher } from './dispatcher'

export interface AttemptMonitorOptions {
  clock: Clock
  registry: AttemptRegistry
  dispatcher: Dispatcher
  /** Milliseconds without a message after which an attached gateway is sent a heartbeat. */
  heartbeatMs: number
  /** Milliseconds without an attached gateway after which an attempt is cancelled. A running non-idempotent one continues. */
  detachedTimeoutMs: number
}

const CHECKS_PER_HEARTBEAT = 4

/** Sends heartbeats, cancels attempts without an attached gateway, and removes expired ones. */
export class AttemptMonitor {
  readonly #options: AttemptMonitorOptions
  #timer: NodeJS.Timeout | null = null

  constructor (options: AttemptMonitorOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => this.checkAttempts(), this.#options.heartbeatMs / CHECKS_PER_HEARTBEAT)
  }

  stop (): void {
    if (this.#timer) clearInterval(this.#timer)
  }

  /** Checks all open attempts once. */
  checkAttempts (): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    for (const attempt of this.#options.registry.listOpen()) this.#checkAttempt(attempt, nowMs)
    this.#options.registry.removeExpired(nowMs)
  }

  #checkAttempt (attempt: Attempt, nowMs: number): void {
    const { heartbeatMs, detachedTimeoutMs, dispatcher } = this.#options
    if (attempt.isAttached()) {
      if (nowMs - attempt.lastSentAtMs >= heartbeatMs) attempt.sendHeartbeat(nowMs)
    } else if (nowMs - attempt.detachedAtMs >= detachedTimeoutMs) {
      dispatcher.cancel(attempt.id, { onlyQueued: false })
    }
  }
}
