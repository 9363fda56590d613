import { setImmediate as waitForTurn } from 'node:timers/promises'

/**
 * Lets the process read input that has already arrived. When the process is behind, a caller's disconnect
 * stays unread in the socket while timers and earlier input are handled. A request whose caller has
 * disconnected must not be sent.
 */
export async function waitForPendingInput (): Promise<void> {
  await waitForTurn()
  await waitForTurn()
}
