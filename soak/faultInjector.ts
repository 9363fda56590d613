import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as waitFor } from 'node:timers/promises'

import type { DisturbedStop, StopPause } from './disturbedStops'
import type { FaultHistory, FaultScope } from './faultHistory'
import type { FaultProxy } from '../standins/network/faultProxy'
import type { SoakBounds, SoakFindingKind } from './soakChecker'
import type { SoakFleet } from './soakFleet'
import type { SoakGateway } from './soakGateway'
import type { LinkFault, SoakAction, StoreFault } from './soakPlan'

export interface FaultInjectorOptions {
  fleet: SoakFleet
  faultHistory: FaultHistory
  bounds: SoakBounds
  report: (kind: SoakFindingKind, message: string) => void
}

const LINK_DELAY_MS = 150
const MS_PER_SECOND = 1000
/** Time within which endpoints register again after their entries expired during an outage of the store. */
const REREGISTRATION_MS = 1500
const RESTART_SETTLE_MS = 100
/** Time for which a busy process runs. */
const BUSY_MS = 5000
const UNDISTURBED = { signals: [], pause: null }
/** Time within which callers notice that a gateway process exited. */
const DISCONNECT_NOTICE_MS = 150

/** Applies the planned actions to a fleet and records which scopes each fault affects. */
export class FaultInjector {
  readonly #options: FaultInjectorOptions
  readonly #running = new Set<Promise<void>>()
  /** Gateways that are stopping, paused or down. Further stops, kills and pauses of them are skipped. */
  readonly #gatewaysInTransition = new Set<number>()

  constructor (options: FaultInjectorOptions) {
    this.#options = options
  }

  /** Starts an action without waiting for its end. */
  start (action: SoakAction): void {
    const run = this.#apply(action).catch((error: Error) => this.#options.report('soakFailed', `action '${action.kind}' of the soak failed: ${error.stack ?? error.message}`))
    this.#running.add(run)
    run.finally(() => this.#running.delete(run)).catch(() => {})
  }

  /** Waits until all started actions have ended. */
  async waitForAll (): Promise<void> {
    while (this.#running.size > 0) await Promise.all(this.#running)
  }

  async #apply (action: SoakAction): Promise<void> {
    const { fleet } = this.#options
    switch (action.kind) {
      case 'stopGateway': return await this.#stopGateway(fleet.gateways[action.gateway]!)
      case 'disturbStops':
        await Promise.all([
          ...action.stops.map(async stop => {
            await waitFor(stop.afterMs)
            await this.#stopGateway(fleet.gateways[stop.gateway]!, stop)
          }),
          ...Array.from({ length: action.busyProcesses }, runBusyProcess)
        ])
        return
      case 'pauseBriefly': return await this.#pauseGateway(fleet.gateways[action.gateway]!, action.forMs)
      case 'stopAllInTurn':
        for (const gateway of fleet.gateways) await this.#stopGateway(gateway)
        return
      case 'reloadSettings':
        fleet.gateways[action.gateway]!.writeSettings()
        // until the Node.js runtime has started, SIGHUP terminates the process
        if (action.hasSignal && fleet.gateways[action.gateway]!.isUp) fleet.gateways[action.gateway]!.sendSignal('SIGHUP')
        return
      case 'changeConfig':
        for (let change = 0; change < action.count; change++) {
          fleet.operator.publishNext()
          await waitFor(action.gapMs)
        }
        return
      case 'replaceEndpoint': return await this.#replaceEndpoint(action.endpoint)
      case 'releaseVersion':
        fleet.advanceVersion()
        await Promise.all(Array.from({ length: action.count }, async (_, position) => {
          await waitFor(position * action.gapMs)
          await this.#replaceEndpoint(position)
        }))
        return
      case 'writeOddEntry':
        fleet.operator.writeOddEntry(action.entry)
        return
      case 'limitEndpoint': return await this.#recordFaultDuring({ kind: 'limits' }, async () => {
        const endpoint = fleet.endpoints[action.endpoint]!
        endpoint.limit = action.requestsPerSecond
        await waitFor(action.forMs)
        endpoint.limit = null
      })
      case 'killGateway': return await this.#killGateway(fleet.gateways[action.gateway]!, action.downMs)
      case 'killAll':
        await Promise.all(fleet.gateways.map(async gateway => await this.#killGateway(gateway, action.downMs)))
        return
      case 'pauseGateway': return await this.#pauseGateway(fleet.gateways[action.gateway]!, action.forMs)
      case 'shiftClock': return await this.#setClock(fleet.gateways[action.gateway]!, action.byMs, action.forMs)
      case 'disturbLink': return await this.#applyLinkFault(action)
      case 'disturbStore': return await this.#applyStoreFault(action.how, action.forMs)
      case 'crashEndpoint': return await this.#killEndpoint(action.endpoint, action.downMs)
      case 'disturbEndpoint': return await this.#recordFaultDuring({ kind: 'endpoints' }, async () => {
        const endpoint = fleet.endpoints[action.endpoint]!
        endpoint.fault = action.how
        await waitFor(action.forMs)
        endpoint.fault = 'none'
      })
    }
  }

  async #stopGateway (gateway: SoakGateway, { signals, pause }: Pick<DisturbedStop, 'signals' | 'pause'> = UNDISTURBED): Promise<void> {
    const { bounds, report, faultHistory } = this.#options
    await this.#withGateway(gateway, async () => {
      const leadMs = Math.max(0, ...signals.map(({ afterMs }) => -afterMs), pause?.from === 'signal' ? -pause.afterMs : 0)
      const { epoch } = gateway
      const beside = signals.map(async ({ signal, afterMs }) => {
        await waitFor(leadMs + afterMs)
        // until the Node.js runtime has started, signals terminate the process
        if (gateway.epoch === epoch && gateway.isUp) gateway.sendSignal(signal)
      })
      if (pause?.from === 'signal') beside.push(this.#pauseProcess(gateway, pause, leadMs))
      await waitFor(leadMs)
      const startedAtMs = performance.now()
      const stopMs = bounds.stopSeconds * MS_PER_SECOND
      gateway.sendSignal('SIGTERM')
      const hasExited = await gateway.waitForExit(stopMs)
      const scope: FaultScope = { kind: 'gateway', index: gateway.index }
      if (!hasExited) {
        if (faultHistory.isUndisturbed([scope], startedAtMs - bounds.reconnectMs, performance.now())) report('slowStop', `gateway ${gateway.index} is still running ${stopMs} ms after SIGTERM`)
        gateway.sendSignal('SIGKILL')
        await gateway.waitForExit(stopMs)
      }
      // callers must notice the connections that the exit broke before the fault interval begins;
      // the checker then counts them as broken by planned work
      await waitFor(DISCONNECT_NOTICE_MS)
      await this.#recordFaultDuring(scope, async () => {
        gateway.start()
        await waitFor(RESTART_SETTLE_MS)
      })
      if (pause?.from === 'restart') beside.push(this.#pauseProcess(gateway, pause, 0))
      await Promise.all(beside)
    })
  }

  async #killGateway (gateway: SoakGateway, downMs: number): Promise<void> {
    await this.#withGateway(gateway, async () => {
      await this.#recordFaultDuring({ kind: 'gateway', index: gateway.index }, async () => {
        gateway.sendSignal('SIGKILL')
        await gateway.waitForExit(5000)
        await waitFor(downMs)
        gateway.start()
        await waitFor(RESTART_SETTLE_MS)
      })
    })
  }

  async #pauseGateway (gateway: SoakGateway, forMs: number): Promise<void> {
    await this.#withGateway(gateway, async () => {
      await this.#pauseProcess(gateway, { afterMs: 0, forMs }, 0)
    })
  }

  /** Pauses the current process of a gateway, if it still runs by then. */
  async #pauseProcess (gateway: SoakGateway, { afterMs, forMs }: Pick<StopPause, 'afterMs' | 'forMs'>, leadMs: number): Promise<void> {
    const { epoch } = gateway
    await waitFor(leadMs + afterMs)
    if (gateway.epoch !== epoch || !gateway.isRunning) return
    await this.#recordFaultDuring({ kind: 'pause', index: gateway.index }, async () => {
      gateway.sendSignal('SIGSTOP')
      await waitFor(forMs)
      if (gateway.epoch === epoch) gateway.sendSignal('SIGCONT')
    })
  }

  async #setClock (gateway: SoakGateway, byMs: number, forMs: number | null): Promise<void> {
    await this.#recordFaultDuring({ kind: 'gateway', index: gateway.index }, async () => {
      gateway.setClockOffset(byMs)
      if (forMs === null) return
      await waitFor(forMs)
      gateway.setClockOffset(0)
    })
  }

  async #applyLinkFault (action: Extract<SoakAction, { kind: 'disturbLink' }>): Promise<void> {
    const { fleet } = this.#options
    const { link, index, how, forMs } = action
    switch (link) {
      case 'callers': return await this.#recordFaultDuring({ kind: 'gateway', index }, async () => await applyLinkFault(fleet.gateways[index]!.callerProxy, how, forMs))
      case 'store': return await this.#recordFaultDuring({ kind: 'gateway', index }, async () => await applyLinkFault(fleet.gateways[index]!.storeProxy, how, forMs))
      case 'endpoint': return await this.#recordFaultDuring({ kind: 'endpoints' }, async () => await applyLinkFault(fleet.endpoints[index]!.proxy, how, forMs))
    }
  }

  async #applyStoreFault (how: StoreFault, forMs: number): Promise<void> {
    const { store } = this.#options.fleet
    await this.#recordFaultDuring({ kind: 'store' }, async () => {
      switch (how) {
        case 'forget':
          store.dropHistory()
          return
        case 'lapse': return await this.#expireEntries(forMs)
        case 'restore': return await this.#loadOlderBackup(forMs)
        default:
          store.fault = how
          await waitFor(forMs)
          store.fault = 'none'
      }
    })
  }

  /** Makes the store unresponsive and expires the entries of endpoints. The endpoints register again when the store is back. */
  async #expireEntries (forMs: number): Promise<void> {
    const { store, operator, endpoints } = this.#options.fleet
    const expired = endpoints.filter(endpoint => endpoint.drainStartedAtMs === null)
    store.fault = 'silent'
    for (const endpoint of expired) operator.removeEndpoint(endpoint)
    await waitFor(forMs)
    store.fault = 'none'
    await waitFor(REREGISTRATION_MS)
    for (const endpoint of expired) if (endpoint.drainStartedAtMs === null && endpoints.includes(endpoint)) operator.registerEndpoint(endpoint)
  }

  /**
   * Restores the store from an older backup. The operator and the endpoints then repeat their latest writes,
   * and entries of endpoints that no longer exist expire.
   */
  async #loadOlderBackup (forMs: number): Promise<void> {
    const { store, operator, endpoints } = this.#options.fleet
    const backup = store.saveBackup()
    await waitFor(forMs)
    store.loadBackup(backup)
    operator.publishAgain()
    for (const endpoint of endpoints) operator.registerAgain(endpoint)
    await waitFor(REREGISTRATION_MS)
    operator.removeStaleEntries(endpoints)
  }

  async #replaceEndpoint (position: number): Promise<void> {
    const { fleet, bounds } = this.#options
    const drained = fleet.endpoints[position]!
    if (drained.drainStartedAtMs !== null) return
    const replacement = await fleet.openEndpoint(position)
    fleet.operator.registerEndpoint(replacement)
    fleet.endpoints[position] = replacement
    await fleet.operator.drainEndpoint(drained, bounds.drainMs, async milliseconds => { await waitFor(milliseconds) })
    await waitFor(bounds.drainMs)
    await drained.kill()
  }

  async #killEndpoint (position: number, downMs: number): Promise<void> {
    const { fleet } = this.#options
    const crashed = fleet.endpoints[position]!
    if (crashed.drainStartedAtMs !== null) return
    await this.#recordFaultDuring({ kind: 'endpoints' }, async () => {
      await crashed.kill()
      await waitFor(downMs)
      fleet.operator.removeEndpoint(crashed)
      const replacement = await fleet.openEndpoint(position)
      fleet.endpoints[position] = replacement
      fleet.operator.registerEndpoint(replacement)
    })
  }

  /** Runs an action on a gateway, or skips it while another action on that gateway is in progress. */
  async #withGateway (gateway: SoakGateway, run: () => Promise<void>): Promise<void> {
    if (this.#gatewaysInTransition.has(gateway.index)) return
    this.#gatewaysInTransition.add(gateway.index)
    try {
      await run()
    } finally {
      this.#gatewaysInTransition.delete(gateway.index)
    }
  }

  async #recordFaultDuring (scope: FaultScope, run: () => Promise<void>): Promise<void> {
    const end = this.#options.faultHistory.begin(scope)
    try {
      await run()
    } finally {
      end()
    }
  }
}

/** Runs a process that keeps a processor busy for some seconds. */
async function runBusyProcess (): Promise<void> {
  const child = spawn(process.execPath, ['-e', `const untilMs = Date.now() + ${BUSY_MS}; while (Date.now() < untilMs);`], { stdio: 'ignore' })
  await once(child, 'close')
}

async function applyLinkFault (proxy: FaultProxy, how: LinkFault, forMs: number): Promise<void> {
  switch (how) {
    case 'reset': return proxy.abortConnections()
    case 'silence': return proxy.setConnectionsStalled()
    case 'delay':
      proxy.setDelay(LINK_DELAY_MS)
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
