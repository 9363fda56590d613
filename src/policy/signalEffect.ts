import type { ProcessState, SignalEffect } from '../base/decisionEvents'

/** Signals that ask for a planned stop. */
export const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const
/** Signal that says that the settings file has changed. */
export const RELOAD_SIGNAL = 'SIGHUP'
/** Signals without a use here, whose default action ends the process or, for SIGUSR1, opens the runtime's debugger. */
export const UNUSED_SIGNALS = ['SIGQUIT', 'SIGUSR1', 'SIGUSR2', 'SIGALRM', 'SIGVTALRM', 'SIGSTKFLT', 'SIGIO', 'SIGPWR', 'SIGXCPU'] as const
/** All signals that a process of the product handles. The runtime itself ignores SIGPIPE and SIGXFSZ. */
export const HANDLED_SIGNALS = [...STOP_SIGNALS, RELOAD_SIGNAL, ...UNUSED_SIGNALS] as const

export type HandledSignal = typeof HANDLED_SIGNALS[number]

/**
 * Decides what a signal changes. A stop is never taken back, and in it no other settings come in force.
 *
 * @example
 * decideSignalEffect('SIGINT', { state: 'serving', canReload: true }) // 'stop'
 * decideSignalEffect('SIGHUP', { state: 'stopping', canReload: true }) // 'none'
 */
export function decideSignalEffect (signal: HandledSignal, { state, canReload }: { state: ProcessState, canReload: boolean }): SignalEffect {
  switch (signal) {
    case 'SIGTERM':
    case 'SIGINT': return decideStopEffect(state)
    case 'SIGHUP': return canReload && state !== 'stopping' ? 'settingsCheck' : 'none'
    case 'SIGQUIT':
    case 'SIGUSR1':
    case 'SIGUSR2':
    case 'SIGALRM':
    case 'SIGVTALRM':
    case 'SIGSTKFLT':
    case 'SIGIO':
    case 'SIGPWR':
    case 'SIGXCPU': return 'none'
  }
}

function decideStopEffect (state: ProcessState): SignalEffect {
  switch (state) {
    case 'starting': return 'stopAfterStart'
    case 'serving': return 'stop'
    case 'stopping': return 'none'
  }
}
