import { TimeLimit } from '../base/timeLimit'
import { openProbe } from './connectProbe'

import type { Clock } from '../base/clock'
import type { EndpointPresence } from '../policy/answerEnd'
import type { DirectEndpoint } from '../policy/directEndpoint'
import type { ConnectProbe, ProbeOpening } from './connectProbe'

/** What one connection showed: `held` where it stayed open, `closed` where the other side ended it. */
type ProbeResult = 'held' | 'closed' | Exclude<ProbeOpening, 'accepted'>

interface SharedProbe extends ConnectProbe {
  users: number
}

/**
 * Connections tried before a check ends. A link that loses packets may lose the first of one, and an
 * endpoint that has too many connections closes a new one.
 */
const MAX_PROBES = 3

/**
 * Checks whether an endpoint's process is there. The operating system may accept a connection for a process
 * that is ending, and closes it some milliseconds later; a connection that stays open shows a process that
 * lives. Checks of one endpoint at the same time share a connection.
 */
export class PresenceChecker {
  readonly #clock: Clock
  readonly #probes = new Map<DirectEndpoint, SharedProbe>()

  constructor ({ clock }: { clock: Clock }) {
    this.#clock = clock
  }

  /** Returns whether the endpoint is still there `settleMs` milliseconds from now. */
  async check (endpoint: DirectEndpoint, settleMs: number): Promise<EndpointPresence> {
    let result: ProbeResult = 'silent'
    for (let probes = 0; probes < MAX_PROBES; probes++) {
      result = await this.#probe(endpoint, settleMs)
      if (result === 'held') return 'alive'
      if (result === 'refused') return 'refused'
    }
    // whoever accepts and closes one connection after the other lives
    return result === 'closed' ? 'alive' : 'silent'
  }

  async #probe (endpoint: DirectEndpoint, settleMs: number): Promise<ProbeResult> {
    const probe = this.#probes.get(endpoint) ?? this.#open(endpoint)
    probe.users += 1
    const opened = await probe.opened
    const result = opened === 'accepted' ? await this.#waitForClose(probe, settleMs) : opened
    probe.users -= 1
    if (result !== 'held' || probe.users === 0) this.#close(endpoint, probe)
    return result
  }

  /** Waits whether the other side closes the connection within `settleMs` in which this process could see it. */
  async #waitForClose (probe: ConnectProbe, settleMs: number): Promise<'held' | 'closed'> {
    return await new Promise(resolve => {
      const limit = new TimeLimit(this.#clock, settleMs, () => resolve('held'))
      probe.closed.then(() => {
        limit.cancel()
        resolve('closed')
      })
    })
  }

  #open (endpoint: DirectEndpoint): SharedProbe {
    const probe = { ...openProbe(endpoint.entry.address, this.#clock), users: 0 }
    this.#probes.set(endpoint, probe)
    return probe
  }

  #close (endpoint: DirectEndpoint, probe: SharedProbe): void {
    probe.close()
    if (this.#probes.get(endpoint) === probe) this.#probes.delete(endpoint)
  }
}
