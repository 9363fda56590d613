import type { ClientRequest } from 'node:http'

/**
 * Gives a request up and resets its connection. After an orderly close, the operating system would still send
 * buffered bytes seconds later, when a broken link recovers, and the receiver would act on a request that its
 * sender has given up. Does nothing once the response has ended, when another request may have the connection.
 *
 * @example
 * const timer = setTimeout(() => resetRequest(request, new Error('no response in time')), 1000)
 */
export function resetRequest (request: ClientRequest, error?: Error): void {
  if (request.destroyed) return
  const { socket } = request
  // nothing has been sent on a connection that is being opened
  if (socket !== null && !socket.connecting) socket.resetAndDestroy()
  request.destroy(error)
}
