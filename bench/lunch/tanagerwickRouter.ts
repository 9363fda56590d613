import { GatewayModel } from './gatewayModel'
import { SidecarModel } from './sidecarModel'

import type { EndpointLoad } from '../../src/protocol/attemptMessages'
import type { Engine } from './engine'
import type { EventQueue } from './eventQueue'
import type { LogEntry, RequestRecord, Router } from './requestRecord'
import type { Deployment } from './trace'

/** Options of a modelled fleet. */
export interface FleetOptions {
  random: () => number
  untilMs: number
  /** Interval between load reports, and so their largest age. */
  reportLagMs: number
  /** Endpoints that always report themselves empty. */
  falselyEmptyEndpoints: string[]
}

const UPDATE_INTERVAL_MS = 100

/** A router that runs the product's decisions in a fleet of gateway and sidecar models on the virtual clock. */
export class TanagerwickRouter implements Router {
  readonly log: LogEntry[] = []
  readonly sidecars = new Map<string, SidecarModel>()
  readonly #gateways: GatewayModel[]
  readonly #reports = new Map<string, EndpointLoad>()

  constructor (events: EventQueue, engines: Engine[], deployment: Deployment, options: FleetOptions) {
    for (const engine of engines) this.sidecars.set(engine.spec.name, new SidecarModel(events, engine, this.log))
    const connections = {
      sidecars: this.sidecars,
      readLoad: (name: string) => this.#reports.get(name) as EndpointLoad,
      latencyMs: deployment.latencyMs,
      random: options.random,
      log: this.log
    }
    this.#gateways = Array.from({ length: deployment.gateways }, () => new GatewayModel(events, connections))
    this.#updateReports(options)
    events.scheduleEvery(UPDATE_INTERVAL_MS, options.untilMs, () => this.sidecars.forEach(sidecar => sidecar.update()))
    events.scheduleEvery(options.reportLagMs, options.untilMs, () => {
      this.#updateReports(options)
      this.#gateways.forEach(gateway => gateway.update())
    })
  }

  submit (record: RequestRecord): void {
    this.#gateways[record.request.gateway]?.submit(record)
  }

  handleEngineChange (engine: Engine): void {
    if (!engine.isUp()) this.sidecars.get(engine.spec.name)?.handleCrash()
  }

  #updateReports (options: FleetOptions): void {
    for (const [name, sidecar] of this.sidecars) {
      const load = sidecar.getLoad()
      const empty = { ...load, running: 0, queuedByTier: load.queuedByTier.map(() => 0), waitMsByTier: load.waitMsByTier.map(() => 0), tokenIntervalMs: 20 }
      this.#reports.set(name, options.falselyEmptyEndpoints.includes(name) ? empty : load)
    }
  }
}
