import { toReadableMs } from './clock'
import { waitForPendingInput } from './pendingInput'

import type { Clock } from './clock'

/** Milliseconds by which a timer is late in an idle process. */
const TIMER_SLACK_MS = 2

/**
 * A time limit on others. It passes after so many milliseconds in which this process could read. Where its timer is
 * late, the input that has arrived is read first: what it waits for may be there already.
 *
 * @example
 * const limit = new TimeLimit(clock, 250, () => socket.destroy())
 * socket.once('connect', () => limit.cancel())
 */
export class TimeLimit {
  readonly #clock: Clock
  readonly #handlePassed: () => void
  readonly #readableUntilMs: number
  #timer: NodeJS.Timeout
  #dueAtMs: number
  #isCancelled = false

  /** @param clock counts all of the time where it has no readable time */
  constructor (clock: Clock, limitMs: number, handlePassed: () => void) {
    const nowMs = clock.getMonotonicMs()
    this.#clock = clock
    this.#handlePassed = handlePassed
    this.#readableUntilMs = toReadableMs(clock, nowMs) + limitMs
    this.#dueAtMs = nowMs + limitMs
    this.#timer = setTimeout(() => this.#check(), limitMs)
  }

  cancel (): void {
    this.#isCancelled = true
    clearTimeout(this.#timer)
  }

  #check (): void {
    const nowMs = this.#clock.getMonotonicMs()
    const remainingMs = this.#clock.readable === undefined ? 0 : this.#readableUntilMs - toReadableMs(this.#clock, nowMs)
    if (remainingMs >= 1) {
      this.#clock.readable?.recordDeferral()
      this.#dueAtMs = nowMs + remainingMs
      this.#timer = setTimeout(() => this.#check(), remainingMs)
      return
    }
    if (nowMs - this.#dueAtMs <= TIMER_SLACK_MS) return this.#handlePassed()
    waitForPendingInput().then(() => {
      if (!this.#isCancelled) this.#handlePassed()
    })
  }
}
