import net from 'node:net'

import { TimeLimit } from '../base/timeLimit'
import { parseAddress } from './endpointAddress'

import type { Clock } from '../base/clock'

/** What came back when a connection was opened. */
export type ProbeOpening = 'accepted' | 'refused' | 'silent'

/** A connection that shows whether a process listens at an address, and for how long. */
export interface ConnectProbe {
  opened: Promise<ProbeOpening>
  /** Settles once the connection has ended, whichever side ended it. */
  closed: Promise<void>
  close (): void
}

/** Milliseconds for a connection to be established; a machine that does not answer shows nothing about its process. */
const CONNECT_TIMEOUT_MS = 250

/**
 * Opens a connection to an address and sends nothing on it.
 *
 * @example
 * const probe = openProbe('10.0.0.7:8100', clock)
 * if (await probe.opened === 'refused') console.log('nothing listens there')
 * probe.close()
 */
export function openProbe (address: string, clock: Clock): ConnectProbe {
  const [host, port] = parseAddress(address)
  const socket = net.connect({ host, port })
  socket.unref()
  // the end of a connection is seen only while it is read
  socket.resume()
  const closed = new Promise<void>(resolve => { socket.once('close', () => resolve()) })
  const opened = new Promise<ProbeOpening>(resolve => {
    const limit = new TimeLimit(clock, CONNECT_TIMEOUT_MS, () => { socket.destroy() })
    socket.once('connect', () => {
      limit.cancel()
      resolve('accepted')
    })
    socket.once('error', (error: NodeJS.ErrnoException) => resolve(describeError(error)))
    socket.once('close', () => {
      limit.cancel()
      resolve('silent')
    })
  })
  return { opened, closed, close: () => { socket.destroy() } }
}

/** Describes why a connection failed; one that was accepted and then reset may be seen as reset only. */
function describeError ({ code }: NodeJS.ErrnoException): ProbeOpening {
  if (code === 'ECONNRESET') return 'accepted'
  return code === 'ECONNREFUSED' ? 'refused' : 'silent'
}
