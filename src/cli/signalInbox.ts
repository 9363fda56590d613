import { HANDLED_SIGNALS } from '../policy/signalEffect'

import type { HandledSignal } from '../policy/signalEffect'

/** The part of the runtime's `process` that signals go through. */
export interface SignalSource {
  on (signal: HandledSignal, listener: () => void): unknown
  off (signal: HandledSignal, listener: () => void): unknown
  kill (pid: number, signal: HandledSignal): unknown
  readonly pid: number
}

/** Number of signals that are held until there is a receiver; beyond it, repeated ones are not held. */
const MAX_HELD_SIGNALS = 64

/** Listens to all handled signals and holds those that arrive before there is a receiver. */
export class SignalInbox {
  readonly #source: SignalSource
  readonly #listeners = HANDLED_SIGNALS.map(signal => ({ signal, listener: () => this.#receive(signal) }))
  readonly #held: HandledSignal[] = []
  #handleSignal: ((signal: HandledSignal) => void) | null = null

  constructor (source: SignalSource) {
    this.#source = source
    for (const { signal, listener } of this.#listeners) source.on(signal, listener)
  }

  /** Passes all signals to `handleSignal`, the held ones at once. */
  attach (handleSignal: (signal: HandledSignal) => void): void {
    this.#handleSignal = handleSignal
    for (const signal of this.#held.splice(0)) handleSignal(signal)
  }

  /** Returns all signals to their default actions, which also take effect for those that have already arrived. */
  release (): void {
    this.attach(signal => {
      this.close()
      this.#source.kill(this.#source.pid, signal)
    })
    // what arrived while the program was loading is delivered in the first turn of the event loop
    setImmediate(() => this.close())
  }

  /** Ends listening; a signal without another listener has its default action again. */
  close (): void {
    for (const { signal, listener } of this.#listeners) this.#source.off(signal, listener)
  }

  #receive (signal: HandledSignal): void {
    if (this.#handleSignal !== null) this.#handleSignal(signal)
    else if (this.#held.length < MAX_HELD_SIGNALS || !this.#held.includes(signal)) this.#held.push(signal)
  }
}
