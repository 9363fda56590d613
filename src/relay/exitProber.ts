import { BoundedMap } from '../base/boundedMap'
import { formatCrashId } from '../policy/crashAttribution'
import { openProbe } from './connectProbe'

import type { Clock } from '../base/clock'
import type { EndpointEntry } from '../policy/directEndpoint'

export interface ExitProberOptions {
  clock: Clock
  /** Called when nothing listens at the endpoint's address any more. */
  handleRefused: (entry: EndpointEntry) => void
}

/** Minimum milliseconds between two probes of an endpoint, some of whose connections may break while it lives. */
const PROBE_INTERVAL_MS = 500
const MAX_OPEN_PROBES = 32
const MAX_ENDPOINTS = 1024

/**
 * Finds out whether an endpoint has ended, after one of its connections broke. An end is then known within
 * milliseconds, and not only when a later request happens to be sent there or the endpoint's entry lapses.
 */
export class ExitProber {
  readonly #options: ExitProberOptions
  readonly #probedAtMs = new BoundedMap<string, number>(MAX_ENDPOINTS)
  #openProbes = 0
  #isClosed = false

  constructor (options: ExitProberOptions) {
    this.#options = options
  }

  /** Opens a connection to the endpoint and closes it again. */
  probe (entry: EndpointEntry): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const key = formatCrashId(entry)
    if (nowMs - (this.#probedAtMs.get(key) ?? -Infinity) < PROBE_INTERVAL_MS || this.#openProbes >= MAX_OPEN_PROBES) return
    this.#probedAtMs.set(key, nowMs)
    this.#openProbes += 1
    const probe = openProbe(entry.address, this.#options.clock)
    probe.opened.then(result => {
      this.#openProbes -= 1
      probe.close()
      if (result === 'refused' && !this.#isClosed) this.#options.handleRefused(entry)
    })
  }

  close (): void {
    this.#isClosed = true
  }
}
