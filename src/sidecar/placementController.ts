import { Progress } from '../base/progress'
import { FencedOrderDispatcher } from '../store/fencedOrderDispatcher'
import { Lease } from '../store/lease'
import { createOrderSender } from './endpoint/orderSender'

import type { FleetConfig } from '../config/fleetConfig'
import type { ObjectService } from '../store/objectService'

const RELEASE_TIMEOUT_MS = 2000

export interface PlacementControllerOptions {
  service: ObjectService
  endpointName: string
  endpointAddress: string
  /** Id and epoch of this process. */
  holder: string
  /** Returns whether requests are running on a model; such a model must not be unloaded. */
  isModelInUse: (model: string) => boolean
  onError: (error: unknown) => void
}

/** Sends orders under the endpoint's lease to keep the endpoint's models and role as configured. */
export class PlacementController {
  readonly #options: PlacementControllerOptions
  readonly #lease: Lease
  readonly #orders: FencedOrderDispatcher

  constructor (options: PlacementControllerOptions) {
    this.#options = options
    const { service, endpointName, endpointAddress, holder, onError } = options
    this.#lease = new Lease({ service, name: `endpoint-${endpointName}`, holder, onError })
    this.#orders = new FencedOrderDispatcher({
      lease: this.#lease,
      sendOrder: createOrderSender(endpointAddress),
      canUnload: model => !options.isModelInUse(model),
      onError
    })
  }

  start (): void {
    this.#lease.start()
    this.#orders.start()
  }

  setConfig (config: FleetConfig): void {
    this.#orders.setDesired(config.endpoints.get(this.#options.endpointName) ?? null)
  }

  /** Discards the known placement after the endpoint restarted. */
  reset (): void {
    this.#orders.reset()
  }

  /** Returns whether the endpoint is known not to have `model` loaded. */
  isModelMissing (model: string): boolean {
    const { placement } = this.#orders.getStatus()
    return placement !== null && !placement.models.includes(model)
  }

  /** Stops sending orders and releases the lease. Leaves the lease to expire when an order may still be in flight. */
  async stop (): Promise<void> {
    const outcome = await this.#orders.stop()
    if (outcome === 'uncertain') await this.#lease.stopWithoutRelease()
    else await this.#lease.stop(new Progress({ title: 'releasing the endpoint\'s lease', timeoutMs: RELEASE_TIMEOUT_MS }))
  }

  getStatus (): { lease: ReturnType<Lease['getStatus']>, orders: ReturnType<FencedOrderDispatcher['getStatus']> } {
    return { lease: this.#lease.getStatus(), orders: this.#orders.getStatus() }
  }
}
