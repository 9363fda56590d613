import { isListedProcess } from '../policy/processIdentity'

import type { DirectEndpoint } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { EndpointConnections } from './endpointConnections'

export interface EndpointIdentityOptions {
  directory: EndpointDirectory
  connections: EndpointConnections
  /** Milliseconds between the heartbeats of endpoints. */
  heartbeatMs: number
  /** Returns when the list of endpoints was last known to be current, in monotonic milliseconds. */
  getListReadAtMs: () => number
}

/** Heartbeats after which the entry of an endpoint that has ended is gone: the platform tolerates three, and one may be on its way. */
const ENTRY_LAPSE_HEARTBEATS = 4

/** An endpoint whose process may have ended since its entry was read, and when a sign of that was last seen. */
export interface DoubtedEndpoint {
  id: string
  bornAtMs: number
  atMs: number
}

/** Tells endpoints that are still the processes of their entries from those that may have ended. */
export class EndpointIdentity {
  readonly #options: EndpointIdentityOptions

  constructor (options: EndpointIdentityOptions) {
    this.#options = options
  }

  isListed (endpoint: DirectEndpoint): boolean {
    const { connections, heartbeatMs, getListReadAtMs } = this.#options
    const { address } = endpoint.entry
    return isListedProcess(endpoint, {
      listReadAtMs: getListReadAtMs(),
      entryLapseMs: ENTRY_LAPSE_HEARTBEATS * heartbeatMs,
      idleEndedAtMs: connections.getIdleEndedAt(address),
      hasConnectionSince: sinceMs => connections.hasOpenSince(address, sinceMs)
    })
  }

  /** Lists the endpoints that may have ended, for other gateways, which may have had no connection to them. */
  listDoubted (): DoubtedEndpoint[] {
    const { directory, connections } = this.#options
    return directory.listAll().filter(endpoint => !this.isListed(endpoint)).map(({ entry, refusedAtMs, brokenAtMs }) => {
      const atMs = Math.max(refusedAtMs ?? -Infinity, brokenAtMs ?? -Infinity, connections.getIdleEndedAt(entry.address) ?? -Infinity)
      return { id: entry.id, bornAtMs: entry.bornAtMs, atMs }
    })
  }
}
