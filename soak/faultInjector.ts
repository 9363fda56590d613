import { setTimeout as waitFor } from 'node:timers/promises'

import type { Disturbances, Place } from './disturbances'
import type { FaultProxy } from '../standins/network/faultProxy'
import type { SoakBounds, SoakFindingKind } from './soakChecker'
import type { SoakFleet } from './soakFleet'
import type { SoakGateway } from './soakGateway'
import type { LinkFault, SoakAction, StoreFault } from './soakPlan'

export interface FaultInjectorOptions {
  fleet: SoakFleet
  disturbances: Disturbances
  bounds: SoakBounds
  report: (kind: SoakFindingKind, message: string) => void
}

const DELAY_MS = 150
const MS_PER_SECOND = 1000
/** Time in which entries that lapsed with the store are back. */
const LAPSE_BACK_MS = 1500
const RESTART_MS = 100
/** Time in which callers notice the end of a process. */
const END_SEEN_MS = 150

/** Does to a fleet what the plan says, and remembers where it is disturbed by it. */
export class FaultInjector {
  readonly #options: FaultInjectorOptions
  readonly #running = new Set<Promise<void>>()
  /** Gateways that are being stopped or are down, which get no other signal. */
  readonly #busy = new Set<number>()

  constructor (options: FaultInjectorOptions) {
    this.#options = options
  }

  /** Begins an action; its end comes later. */
  start (action: SoakAction): void {
    const run = this.#apply(action).catch((error: Error) => this.#options.report('soakFailed', `the soak failed at '${action.kind}': ${error.stack ?? error.message}`))
    this.#running.add(run)
    run.finally(() => this.#running.delete(run)).catch(() => {})
  }

  /** Waits until all that was begun has ended. */
  async waitForEnd (): Promise<void> {
    while (this.#running.size > 0) await Promise.all(this.#running)
  }

  async #apply (action: SoakAction): Promise<void> {
    const { fleet } = this.#options
    switch (action.kind) {
      case 'stopGateway': return await this.#stopGateway(fleet.gateways[action.gateway]!)
      case 'stopAllInTurn':
        for (const gateway of fleet.gateways) await this.#stopGateway(gateway)
        return
      case 'reloadSettings':
        fleet.gateways[action.gateway]!.writeSettings()
        // before the runtime itself is up the signal ends any process
        if (action.hasSignal && fleet.gateways[action.gateway]!.isUp) fleet.gateways[action.gateway]!.sendSignal('SIGHUP')
        return
      case 'changeConfig':
        for (let change = 0; change < action.count; change++) {
          fleet.operator.publishNext()
          await waitFor(action.gapMs)
        }
        return
      case 'replaceEndpoint': return await this.#replaceEndpoint(action.endpoint)
      case 'killGateway': return await this.#killGateway(fleet.gateways[action.gateway]!, action.downMs)
      case 'killAll':
        await Promise.all(fleet.gateways.map(async gateway => await this.#killGateway(gateway, action.downMs)))
        return
      case 'pauseGateway': return await this.#pauseGateway(fleet.gateways[action.gateway]!, action.forMs)
      case 'shiftClock': return await this.#setClock(fleet.gateways[action.gateway]!, action.byMs, action.forMs)
      case 'disturbLink': return await this.#disturbLink(action)
      case 'disturbStore': return await this.#disturbStore(action.how, action.forMs)
      case 'crashEndpoint': return await this.#killEndpoint(action.endpoint, action.downMs)
      case 'disturbEndpoint': return await this.#disturbWhile({ kind: 'endpoints' }, async () => {
        const endpoint = fleet.endpoints[action.endpoint]!
        endpoint.fault = action.how
        await waitFor(action.forMs)
        endpoint.fault = 'none'
      })
    }
  }

  async #stopGateway (gateway: SoakGateway): Promise<void> {
    const { bounds, report, disturbances } = this.#options
    await this.#withGateway(gateway, async () => {
      const startedAtMs = performance.now()
      const stopMs = bounds.stopSeconds * MS_PER_SECOND
      gateway.sendSignal('SIGTERM')
      const isEnded = await gateway.waitForEnd(stopMs)
      const place: Place = { kind: 'gateway', index: gateway.index }
      if (!isEnded) {
        if (disturbances.isCalm([place], startedAtMs - bounds.contactMs, performance.now())) report('slowStop', `gateway ${gateway.index} still runs ${stopMs} ms after SIGTERM`)
        gateway.sendSignal('SIGKILL')
        await gateway.waitForEnd(stopMs)
      }
      // what the process cut at its end is to be seen as cut by planned work
      await waitFor(END_SEEN_MS)
      await this.#disturbWhile(place, async () => {
        gateway.start()
        await waitFor(RESTART_MS)
      })
    })
  }

  async #killGateway (gateway: SoakGateway, downMs: number): Promise<void> {
    await this.#withGateway(gateway, async () => {
      await this.#disturbWhile({ kind: 'gateway', index: gateway.index }, async () => {
        gateway.sendSignal('SIGKILL')
        await gateway.waitForEnd(5000)
        await waitFor(downMs)
        gateway.start()
        await waitFor(RESTART_MS)
      })
    })
  }

  async #pauseGateway (gateway: SoakGateway, forMs: number): Promise<void> {
    await this.#withGateway(gateway, async () => {
      await this.#disturbWhile({ kind: 'gateway', index: gateway.index }, async () => {
        gateway.sendSignal('SIGSTOP')
        await waitFor(forMs)
        gateway.sendSignal('SIGCONT')
      })
    })
  }

  async #setClock (gateway: SoakGateway, byMs: number, forMs: number | null): Promise<void> {
    await this.#disturbWhile({ kind: 'gateway', index: gateway.index }, async () => {
      gateway.setClockOffset(byMs)
      if (forMs === null) return
      await waitFor(forMs)
      gateway.setClockOffset(0)
    })
  }

  async #disturbLink (action: Extract<SoakAction, { kind: 'disturbLink' }>): Promise<void> {
    const { fleet } = this.#options
    const { link, index, how, forMs } = action
    switch (link) {
      case 'callers': return await this.#disturbWhile({ kind: 'gateway', index }, async () => await disturbProxy(fleet.gateways[index]!.callerProxy, how, forMs))
      case 'store': return await this.#disturbWhile({ kind: 'gateway', index }, async () => await disturbProxy(fleet.gateways[index]!.storeProxy, how, forMs))
      case 'endpoint': return await this.#disturbWhile({ kind: 'endpoints' }, async () => await disturbProxy(fleet.endpoints[index]!.proxy, how, forMs))
    }
  }

  async #disturbStore (how: StoreFault, forMs: number): Promise<void> {
    const { store } = this.#options.fleet
    await this.#disturbWhile({ kind: 'store' }, async () => {
      switch (how) {
        case 'forget':
          store.dropHistory()
          return
        case 'lapse': return await this.#dropEntries(forMs)
        case 'restore': return await this.#loadOlderCopy(forMs)
        default:
          store.fault = how
          await waitFor(forMs)
          store.fault = 'none'
      }
    })
  }

  /** The store is away and drops the entries of endpoints, which write them again on its return. */
  async #dropEntries (forMs: number): Promise<void> {
    const { store, operator, endpoints } = this.#options.fleet
    const lapsed = endpoints.filter(endpoint => endpoint.drainedAtMs === null)
    store.fault = 'silent'
    for (const endpoint of lapsed) operator.removeEndpoint(endpoint)
    await waitFor(forMs)
    store.fault = 'none'
    await waitFor(LAPSE_BACK_MS)
    for (const endpoint of lapsed) if (endpoint.drainedAtMs === null && endpoints.includes(endpoint)) operator.registerEndpoint(endpoint)
  }

  /** The store comes back from a copy; who wrote since writes again, and what is gone lapses. */
  async #loadOlderCopy (forMs: number): Promise<void> {
    const { store, operator, endpoints } = this.#options.fleet
    const copy = store.saveBackup()
    await waitFor(forMs)
    store.loadBackup(copy)
    operator.publishAgain()
    for (const endpoint of endpoints) operator.registerAgain(endpoint)
    await waitFor(LAPSE_BACK_MS)
    operator.removeUnknown(endpoints)
  }

  async #replaceEndpoint (place: number): Promise<void> {
    const { fleet, bounds } = this.#options
    const leaving = fleet.endpoints[place]!
    if (leaving.drainedAtMs !== null) return
    const joining = await fleet.openEndpoint(place)
    fleet.operator.registerEndpoint(joining)
    fleet.endpoints[place] = joining
    await fleet.operator.drainEndpoint(leaving, bounds.drainMs, async milliseconds => { await waitFor(milliseconds) })
    await waitFor(bounds.drainMs)
    await leaving.kill()
  }

  async #killEndpoint (place: number, downMs: number): Promise<void> {
    const { fleet } = this.#options
    const crashed = fleet.endpoints[place]!
    if (crashed.drainedAtMs !== null) return
    await this.#disturbWhile({ kind: 'endpoints' }, async () => {
      await crashed.kill()
      await waitFor(downMs)
      fleet.operator.removeEndpoint(crashed)
      const joining = await fleet.openEndpoint(place)
      fleet.endpoints[place] = joining
      fleet.operator.registerEndpoint(joining)
    })
  }

  /** Leaves out what would meet a gateway in the middle of another signal. */
  async #withGateway (gateway: SoakGateway, run: () => Promise<void>): Promise<void> {
    if (this.#busy.has(gateway.index)) return
    this.#busy.add(gateway.index)
    try {
      await run()
    } finally {
      this.#busy.delete(gateway.index)
    }
  }

  async #disturbWhile (place: Place, run: () => Promise<void>): Promise<void> {
    const end = this.#options.disturbances.begin(place)
    try {
      await run()
    } finally {
      end()
    }
  }
}

async function disturbProxy (proxy: FaultProxy, how: LinkFault, forMs: number): Promise<void> {
  switch (how) {
    case 'reset': return proxy.abortConnections()
    case 'silence': return proxy.setConnectionsStalled()
    case 'delay':
      proxy.setDelay(DELAY_MS)
      break
    case 'cutForth':
      proxy.setBlockedDirections(['forth'])
      break
    case 'cutBack':
      proxy.setBlockedDirections(['back'])
      break
    case 'cutBoth':
      proxy.setBlockedDirections(['forth', 'back'])
      break
  }
  await waitFor(forMs)
  proxy.setDelay(0)
  proxy.setBlockedDirections([])
}
