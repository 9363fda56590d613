import { Progress } from '../base/progress'

import type { Clock } from '../base/clock'
import type { FleetView, OfferTarget } from './fleetView'

export interface LoadProberOptions {
  clock: Clock
  view: FleetView
  /** Receives the configuration generation that a sidecar has in force. */
  onConfigGeneration: (generation: number, address: string) => void
}

const PROBE_INTERVAL_MS = 500
const STALE_LOAD_MS = 2000
const PROBE_TIMEOUT_MS = 1000

/**
 * Requests the load of sidecars that have not reported it recently, the stalest first. Probes one
 * sidecar at a time, so that the cost does not grow with the fleet.
 */
export class LoadProber {
  readonly #options: LoadProberOptions
  readonly #probedAtMs = new Map<string, number>()
  #timer: NodeJS.Timeout | null = null

  constructor (options: LoadProberOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => { this.probeNext().catch(() => {}) }, PROBE_INTERVAL_MS)
  }

  stop (): void {
    if (this.#timer) clearInterval(this.#timer)
  }

  /** Probes the sidecar with the stalest load, if any load is stale. */
  async probeNext (): Promise<void> {
    const { clock, view, onConfigGeneration } = this.#options
    const target = this.#findStalest()
    if (target === null) return
    this.#probedAtMs.set(target.endpointName, clock.getMonotonicMs())
    const progress = new Progress({ title: `requesting the load of ${target.endpointName}`, timeoutMs: PROBE_TIMEOUT_MS, clock })
    const stamp = await target.peer.getLoad(progress)
    if (stamp.isErr) return
    view.table.recordLoad(target.endpointName, stamp.value.load, clock.getMonotonicMs())
    onConfigGeneration(stamp.value.configGeneration, target.peer.address)
  }

  #findStalest (): OfferTarget | null {
    const { clock, view } = this.#options
    let stalest: OfferTarget | null = null
    let stalestAtMs = clock.getMonotonicMs() - STALE_LOAD_MS
    for (const target of view.listTargets()) {
      const contactedAtMs = this.#getLastContactMs(target.endpointName)
      if (contactedAtMs > stalestAtMs) continue
      stalest = target
      stalestAtMs = contactedAtMs
    }
    return stalest
  }

  /**
   * Returns when a sidecar last reported its load or was last probed. A probe counts even without an
   * answer, so that an unresponsive sidecar does not keep the others from being probed.
   */
  #getLastContactMs (endpointName: string): number {
    const reportedAtMs = this.#options.view.table.getView(endpointName)?.reportedAtMs ?? -Infinity
    return Math.max(reportedAtMs, this.#probedAtMs.get(endpointName) ?? -Infinity)
  }
}
