import { setImmediate as waitForTurn } from 'node:timers/promises'

import { decideSignalEffect } from '../policy/signalEffect'
import { waitFor } from '../store/channels'
import { EXIT_CODES } from './exitCodes'
import { SignalLog } from './signalLog'

import type { Clock } from '../base/clock'
import type { ProcessState, SignalEvent } from '../base/decisionEvents'
import type { HandledSignal } from '../policy/signalEffect'
import type { SignalInbox } from './signalInbox'

export interface ProcessLifecycleOptions {
  clock: Clock
  signals: Pick<SignalInbox, 'attach'>
  /** Settings that may change while the process runs. */
  settings?: {
    check (cause: 'signal'): void
    close (): void
  }
  start: () => Promise<void>
  /** Finishes the requests in flight. */
  drain: (handledAtMs: number) => Promise<void>
  /** Ends the process. */
  end: (exitCode: number) => Promise<void>
  writeLine: (line: SignalEvent) => void
  handleStop: (signal: HandledSignal) => void
  /** Called with an error of the stop or of a check of the settings; the stop goes on. */
  handleError: (error: unknown) => void
}

/** Milliseconds for which a stop waits for a start that is under way. */
const MAX_START_WAIT_MS = 1000
/** Milliseconds between two checks of the settings that signals ask for. */
const SETTINGS_CHECK_GAP_MS = 100

/**
 * Starts a process and stops it in order upon the first signal that asks for it: the process ends after its requests
 * in flight, whatever signals follow. A stop that is asked for during the start begins right after it.
 *
 * @example
 * await new ProcessLifecycle({ clock: systemClock, signals: earlySignals, start, drain, end, ...handlers }).run()
 */
export class ProcessLifecycle {
  readonly #options: ProcessLifecycleOptions
  readonly #log: SignalLog
  #state: ProcessState = 'starting'
  /** The start, once it is under way. */
  #start: Promise<void> | null = null
  #checkTimer: NodeJS.Timeout | null = null
  #checkedAtMs = -Infinity

  constructor (options: ProcessLifecycleOptions) {
    this.#options = options
    this.#log = new SignalLog(options)
  }

  /**
   * Resolves once the process has started, or has ended upon a signal that arrived before.
   *
   * @throws the error of the start
   */
  async run (): Promise<void> {
    this.#options.signals.attach(signal => this.#handleSignal(signal))
    // signals that arrived while the program was loading are delivered in this turn
    await waitForTurn()
    if (this.#state === 'stopping') return await this.#end(EXIT_CODES.ok)
    this.#start = this.#options.start()
    await this.#start
    if (this.#state === 'starting') this.#state = 'serving'
  }

  #handleSignal (signal: HandledSignal): void {
    const effect = decideSignalEffect(signal, { state: this.#state, canReload: this.#options.settings !== undefined })
    this.#log.write(signal, this.#state, effect)
    switch (effect) {
      case 'stop':
      case 'stopAfterStart':
        this.#stop(signal).catch(this.#options.handleError)
        break
      case 'settingsCheck':
        this.#scheduleSettingsCheck()
        break
      case 'none':
    }
  }

  async #stop (signal: HandledSignal): Promise<void> {
    const { clock, settings, handleStop, drain, handleError } = this.#options
    const handledAtMs = clock.getMonotonicMs()
    this.#state = 'stopping'
    if (this.#checkTimer !== null) this.#checkSettings()
    handleStop(signal)
    settings?.close()
    if (this.#start === null) return
    await Promise.race([this.#start.catch(() => {}), waitFor(MAX_START_WAIT_MS)])
    let exitCode: number = EXIT_CODES.ok
    try {
      await drain(handledAtMs)
    } catch (error) {
      handleError(error)
      exitCode = EXIT_CODES.unavailable
    }
    await this.#end(exitCode)
  }

  async #end (exitCode: number): Promise<void> {
    this.#log.reportLeftOut()
    try {
      await this.#options.end(exitCode)
    } catch (error) {
      this.#options.handleError(error)
      process.exit(exitCode)
    }
  }

  /** Checks the settings now, or soon after the last check. */
  #scheduleSettingsCheck (): void {
    if (this.#checkTimer !== null) return
    const waitMs = this.#checkedAtMs + SETTINGS_CHECK_GAP_MS - this.#options.clock.getMonotonicMs()
    if (waitMs <= 0) return this.#checkSettings()
    this.#checkTimer = setTimeout(() => this.#checkSettings(), waitMs)
  }

  #checkSettings (): void {
    if (this.#checkTimer !== null) clearTimeout(this.#checkTimer)
    this.#checkTimer = null
    this.#checkedAtMs = this.#options.clock.getMonotonicMs()
    try {
      this.#options.settings?.check('signal')
    } catch (error) {
      this.#options.handleError(error)
    }
  }
}
