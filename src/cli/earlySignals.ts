import { SignalInbox } from './signalInbox'

/**
 * Signals of this process. A program imports this module first, because a signal that nobody listens to ends the
 * process while it is still loading.
 */
export const earlySignals = new SignalInbox(process)
