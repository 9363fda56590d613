import { ObjectsServer } from '../standins/objects/objectsServer'
import { findFreePorts } from '../standins/shared/freePorts'
import { SoakEndpoint } from './soakEndpoint'
import { SoakGateway } from './soakGateway'
import { SoakOperator } from './soakOperator'

import type { LimitedArrival } from './limitChecker'
import type { SoakBounds } from './soakChecker'
import type { SoakRun } from './soakEndpoint'
import type { SentSignal } from './soakGateway'

export interface SoakFleetOptions {
  gateways: number
  endpoints: number
  folder: string
  /** Path of the built gateway. */
  program: string
  bounds: SoakBounds
  handleRun: (run: SoakRun) => void
  handleArrival: (arrival: LimitedArrival) => void
  handleUnexpectedExit: (message: string) => void
  handleSignal: (sent: SentSignal) => void
}

const DOMAIN_COUNT = 2

/** The fleet of a soak: real gateway processes, with stand-ins for the store and the endpoints. */
export class SoakFleet {
  readonly #options: SoakFleetOptions
  readonly store = new ObjectsServer()
  readonly operator = new SoakOperator(this.store)
  readonly gateways: SoakGateway[] = []
  /** Current endpoint at each position. `findEndpoint` also finds the earlier ones. */
  readonly endpoints: SoakEndpoint[] = []
  readonly #endpointsById = new Map<string, SoakEndpoint>()
  #endpointCount = 0
  /** Software version of the endpoints opened from now on. */
  #version = 'v1'

  constructor (options: SoakFleetOptions) {
    this.#options = options
  }

  async open (): Promise<void> {
    await this.store.open()
    this.operator.publishNext()
    for (let position = 0; position < this.#options.endpoints; position++) this.endpoints.push(await this.openEndpoint(position))
    for (const endpoint of this.endpoints) this.operator.registerEndpoint(endpoint)
    await this.#openGateways()
  }

  /** Opens a new endpoint for a position, without adding it to `endpoints`. */
  async openEndpoint (position: number): Promise<SoakEndpoint> {
    this.#endpointCount += 1
    const service = position % 2 === 0 ? 'engine' : 'desk'
    const { handleRun, handleArrival } = this.#options
    const endpoint = new SoakEndpoint({ id: `${service}-${position}-${this.#endpointCount}`, service, version: this.#version, handleRun, handleArrival })
    await endpoint.open()
    this.#endpointsById.set(endpoint.id, endpoint)
    return endpoint
  }

  /** Advances the software version of the endpoints opened from now on. */
  advanceVersion (): void {
    this.#version = `v${Number(this.#version.slice(1)) + 1}`
  }

  findEndpoint (id: string): SoakEndpoint {
    const endpoint = this.#endpointsById.get(id)
    if (endpoint === undefined) throw new Error(`unknown endpoint '${id}'`)
    return endpoint
  }

  async close (): Promise<void> {
    await Promise.all(this.gateways.map(async gateway => await gateway.close()))
    await Promise.all([...this.#endpointsById.values()].map(async endpoint => await endpoint.kill()))
    await this.store.close()
  }

  async #openGateways (): Promise<void> {
    const { gateways: count, folder, program, bounds, handleUnexpectedExit, handleSignal } = this.#options
    const ports = await findFreePorts(4 * count)
    const seeds = Array.from({ length: Math.min(3, count) }, (_, index) => `127.0.0.1:${ports[4 * index + 3]!}`)
    for (let index = 0; index < count; index++) {
      const [callers, ready, admin, peers] = ports.slice(4 * index, 4 * index + 4) as [number, number, number, number]
      this.gateways.push(new SoakGateway({
        index,
        domain: `domain-${index % DOMAIN_COUNT}`,
        ports: { callers, ready, admin, peers },
        seeds,
        storeAddress: new URL(this.store.url).host,
        folder,
        program,
        bounds,
        handleUnexpectedExit,
        handleSignal
      }))
    }
    await Promise.all(this.gateways.map(async gateway => await gateway.open()))
  }
}
