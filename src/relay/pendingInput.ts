import { setImmediate as waitForTurn } from 'node:timers/promises'

/**
 * Lets the process read what else has come. When it is behind, a caller's leaving waits in the socket
 * while timers and earlier input are served, and a request whose caller has left must not be sent on.
 */
export async function waitForPendingInput (): Promise<void> {
  await waitForTurn()
  await waitForTurn()
}
