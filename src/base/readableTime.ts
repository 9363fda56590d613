import type { Clock } from './clock'

/** A delay of the event loop, in which this process could not read its input. */
export interface Standstill {
  /** Milliseconds by which the event loop was late. */
  delayMs: number
  /** Processor time in milliseconds that this process used meanwhile: about as much as the delay where it worked, little where it was not run. */
  processorMs: number
  /** Time limits that had passed by the clock and got the rest of their readable time. */
  deferred: number
}

export interface ReadableTimeOptions {
  clock: Clock
  /** Returns the processor time of this process so far, in milliseconds. */
  getProcessorMs: () => number
  /** Called after a standstill, once the input that had arrived has been read. */
  handleStandstill: (standstill: Standstill) => void
}

/** Part of the time that does not count, in monotonic milliseconds. */
interface UnreadableSpan {
  fromMs: number
  untilMs: number
  /** Milliseconds that do not count before it, and with it. */
  lostBeforeMs: number
  lostMs: number
}

const TICK_INTERVAL_MS = 100
/** Milliseconds between two ticks that count as readable at most. The rest allows for timers that are late in ordinary work. */
const MAX_READABLE_GAP_MS = 150
/** Milliseconds of delay from which on a standstill is reported; requests that came meanwhile are read that much later than they arrived. */
const MIN_REPORTED_DELAY_MS = 200
/** Milliseconds by which a tick is late in ordinary work. */
const MAX_TICK_DELAY_MS = 20
/** Milliseconds after a standstill in which a signal that came in it may still be on its way: another thread of the runtime may have to take it. */
const SIGNAL_DELIVERY_MS = 250
/** Spans that are remembered: more than come within the longest time limit of others. */
const MAX_SPANS = 128

/**
 * Measures the time in which this process could read its input. It runs like the monotonic clock, and stands
 * still where the event loop does: while the process is stopped, not run, or busy in one long turn. How long
 * others have been silent is measured by it, because their bytes may lie unread meanwhile.
 *
 * @example
 * const heardAtMs = clock.getMonotonicMs()
 * readable.getElapsedMs(heardAtMs) // 150 after a standstill of 6 s
 */
export class ReadableTime {
  readonly #options: ReadableTimeOptions
  readonly #timer: NodeJS.Timeout
  readonly #spans: UnreadableSpan[] = []
  #tickedAtMs: number
  /** Time of the tick before a late one whose input has not been read yet; null where there is none. */
  #lastStandstill: { fromMs: number, untilMs: number } | null = null
  #behindSinceMs: number | null = null
  #processorMs: number
  #longestDelayMs = 0
  #deferred = 0

  constructor (options: ReadableTimeOptions) {
    this.#options = options
    this.#tickedAtMs = options.clock.getMonotonicMs()
    this.#processorMs = options.getProcessorMs()
    this.#timer = setInterval(() => this.#advance(), TICK_INTERVAL_MS)
    this.#timer.unref()
  }

  /** Longest delay of the event loop in milliseconds so far. */
  get longestDelayMs (): number {
    return this.#longestDelayMs
  }

  /** Returns the readable milliseconds at a time of the monotonic clock; only differences between them have a meaning. */
  toReadableMs (monotonicMs: number): number {
    // another timer may ask before the tick that ends a standstill
    const countedMs = Math.min(monotonicMs, this.#tickedAtMs + MAX_READABLE_GAP_MS)
    for (let index = this.#spans.length - 1; index >= 0; index--) {
      const { fromMs, untilMs, lostBeforeMs, lostMs } = this.#spans[index]!
      if (countedMs >= untilMs) return countedMs - lostMs
      if (countedMs >= fromMs) return fromMs - lostBeforeMs
    }
    return countedMs - (this.#spans[0]?.lostBeforeMs ?? 0)
  }

  /** Returns the milliseconds since a time of the monotonic clock in which this process could read. */
  getElapsedMs (sinceMs: number): number {
    return this.toReadableMs(this.#options.clock.getMonotonicMs()) - this.toReadableMs(sinceMs)
  }

  /**
   * Returns the monotonic time since which input may be unread, as a handler of input sees it: the last tick before a
   * late one, and now where no tick is late.
   */
  getUnreadSinceMs (): number {
    const nowMs = this.#options.clock.getMonotonicMs()
    return this.#behindSinceMs ?? (nowMs - this.#tickedAtMs > TICK_INTERVAL_MS + MAX_TICK_DELAY_MS ? this.#tickedAtMs : nowMs)
  }

  /** Returns the earliest monotonic time at which a signal that is handled now may have come. */
  getSignalSinceMs (): number {
    const nowMs = this.#options.clock.getMonotonicMs()
    const standstill = this.#lastStandstill
    return standstill !== null && nowMs - standstill.untilMs < SIGNAL_DELIVERY_MS ? standstill.fromMs : this.getUnreadSinceMs()
  }

  /** Records a time limit that has passed by the clock but not in readable time. */
  recordDeferral (): void {
    this.#deferred += 1
  }

  close (): void {
    clearInterval(this.#timer)
  }

  #advance (): void {
    const { clock, getProcessorMs } = this.#options
    const nowMs = clock.getMonotonicMs()
    const processorMs = getProcessorMs()
    const delayMs = nowMs - this.#tickedAtMs - TICK_INTERVAL_MS
    const usedMs = processorMs - this.#processorMs
    this.#addSpan(this.#tickedAtMs + MAX_READABLE_GAP_MS, nowMs)
    this.#longestDelayMs = Math.max(this.#longestDelayMs, delayMs)
    this.#processorMs = processorMs
    if (delayMs > MAX_TICK_DELAY_MS) {
      this.#behindSinceMs = this.#tickedAtMs
      // runs after all input that had arrived by now was read
      setImmediate(() => this.#handleRead(delayMs, usedMs))
    }
    this.#tickedAtMs = nowMs
  }

  #addSpan (fromMs: number, untilMs: number): void {
    if (untilMs <= fromMs) return
    const lostBeforeMs = this.#spans.at(-1)?.lostMs ?? 0
    this.#spans.push({ fromMs, untilMs, lostBeforeMs, lostMs: lostBeforeMs + untilMs - fromMs })
    if (this.#spans.length > MAX_SPANS) this.#spans.shift()
  }

  #handleRead (delayMs: number, processorMs: number): void {
    if (delayMs >= MIN_REPORTED_DELAY_MS && this.#behindSinceMs !== null) this.#lastStandstill = { fromMs: this.#behindSinceMs, untilMs: this.#tickedAtMs }
    this.#behindSinceMs = null
    const deferred = this.#deferred
    this.#deferred = 0
    if (delayMs >= MIN_REPORTED_DELAY_MS) this.#options.handleStandstill({ delayMs, processorMs, deferred })
  }
}
