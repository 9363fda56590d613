import type { Clock } from '../base/clock'
import type { ProcessState, SignalEffect, SignalEvent } from '../base/decisionEvents'
import type { HandledSignal } from '../policy/signalEffect'

export interface SignalLogOptions {
  clock: Clock
  writeLine: (line: SignalEvent) => void
}

/** Milliseconds of one window of the limit. */
const WINDOW_MS = 1000
/** Signal lines in one window; further signals are counted, so that a flood of them does not displace other lines. */
const MAX_LINES_PER_WINDOW = 10

/** Writes one line for each signal, within a limit, and one with the counts of those left out. */
export class SignalLog {
  readonly #options: SignalLogOptions
  #windowStartedAtMs = -Infinity
  #linesInWindow = 0
  #leftOut: Record<string, number> = {}
  #reportTimer: NodeJS.Timeout | null = null

  constructor (options: SignalLogOptions) {
    this.#options = options
  }

  /** Writes a signal's line. The line of a signal that begins a stop is never left out. */
  write (signal: HandledSignal, state: ProcessState, effect: SignalEffect): void {
    const { clock, writeLine } = this.#options
    const nowMs = clock.getMonotonicMs()
    if (nowMs - this.#windowStartedAtMs >= WINDOW_MS) {
      this.#windowStartedAtMs = nowMs
      this.#linesInWindow = 0
    }
    if (this.#linesInWindow >= MAX_LINES_PER_WINDOW && !isStop(effect)) return this.#countLeftOut(signal)
    this.#linesInWindow += 1
    writeLine({ event: 'signalReceived', signal, state, effect })
  }

  /** Writes the counts of the signals that were left out since the last such line, if any. */
  reportLeftOut (): void {
    if (this.#reportTimer === null) return
    clearTimeout(this.#reportTimer)
    this.#reportTimer = null
    this.#options.writeLine({ event: 'signalsLeftOut', counts: this.#leftOut })
    this.#leftOut = {}
  }

  #countLeftOut (signal: HandledSignal): void {
    this.#leftOut[signal] = (this.#leftOut[signal] ?? 0) + 1
    this.#reportTimer ??= setTimeout(() => this.reportLeftOut(), WINDOW_MS).unref()
  }
}

function isStop (effect: SignalEffect): boolean {
  switch (effect) {
    case 'stop':
    case 'stopAfterStart': return true
    case 'settingsCheck':
    case 'none': return false
  }
}
