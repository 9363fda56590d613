import { createMetricsHandler, createStateHandler, METRICS_PATH, STATE_PATH } from '../base/adminRoutes'
import { systemClock } from '../base/clock'
import { HttpListener } from '../base/httpListener'
import { createId } from '../base/identifiers'
import { Metrics } from '../base/metrics'
import { Progress } from '../base/progress'
import { StateDump } from '../base/stateDump'
import { Registration } from '../membership/registration'
import { ClaimStore } from '../store/claimStore'
import { PoisonRegistry } from '../store/poisonRegistry'
import { ClassDurations } from '../policy/classDurations'
import { ATTEMPT_RETENTION_MS, RPC_PATH } from '../protocol/attemptMessages'
import { AttemptMonitor } from './attemptMonitor'
import { AttemptRegistry } from './attemptRegistry'
import { AttemptRunner } from './attemptRunner'
import { Dispatcher } from './dispatcher'
import { EndpointGuard } from './endpointGuard'
import { EndpointSlots } from './endpointSlots'
import { EndpointMonitor } from './endpoint/endpointMonitor'
import { EngineClient } from './endpoint/engineClient'
import { ServiceClient } from './endpoint/serviceClient'
import { PlacementController } from './placementController'
import { StoreClaimGate } from './storeClaimGate'
import { SidecarRpc } from './sidecarRpc'

import type { FleetConfig } from '../config/fleetConfig'
import type { SidecarSettings } from '../config/processSettings'
import type { ProcessDependencies } from '../store/processDependencies'
import type { SidecarStamp, SubmitAttempt } from '../protocol/attemptMessages'
import type { Attempt } from './attempt'
import type { EndpointClient } from './endpoint/endpointRun'

const MAX_QUEUED = 1000
const HEARTBEAT_MS = 1000
const DETACHED_TIMEOUT_MS = 3000
const HEALTH_INTERVAL_MS = 500
const HEALTH_TIMEOUT_MS = 1500
const DEREGISTRATION_TIMEOUT_MS = 2000
const CRASH_RECORD_TIMEOUT_MS = 500

/** Runs one sidecar: serves its RPC methods and runs attempts at its endpoint. */
export class SidecarProcess {
  readonly #options: ProcessDependencies<SidecarSettings>
  readonly #epoch = createId('epoch')
  readonly #metrics = new Metrics()
  readonly #dump = new StateDump()
  readonly #registry = new AttemptRegistry({ retentionMs: ATTEMPT_RETENTION_MS })
  readonly #endpointMonitor: EndpointMonitor
  readonly #guard: EndpointGuard
  readonly #slots: EndpointSlots
  readonly #durations = new ClassDurations()
  readonly #dispatcher: Dispatcher
  readonly #attemptMonitor: AttemptMonitor
  readonly #claims: ClaimStore
  readonly #poisonRegistry: PoisonRegistry
  readonly #placementController: PlacementController
  readonly #listener: HttpListener
  readonly #outcomes = this.#metrics.createCounter('attempts_total', 'Attempts by class and how they ended.')
  readonly #starts = this.#metrics.createCounter('starts_total', 'Starts by class and the rule that chose them.')
  #registration: Registration | null = null

  constructor (options: ProcessDependencies<SidecarSettings>) {
    this.#options = options
    const { settings, service, config } = options
    this.#endpointMonitor = new EndpointMonitor({
      address: settings.endpointAddress,
      intervalMs: HEALTH_INTERVAL_MS,
      timeoutMs: HEALTH_TIMEOUT_MS,
      onCrash: () => this.#handleCrash(),
      onUp: () => this.#handleUp()
    })
    this.#guard = new EndpointGuard({
      clock: systemClock,
      endpointName: settings.endpointName,
      getConfig: () => config.getCurrent(),
      isEndpointUp: () => this.#endpointMonitor.isUp(),
      isModelMissing: model => this.#placementController.isModelMissing(model),
      getSharedCrashCount: fingerprint => this.#poisonRegistry.getCrashCount(fingerprint),
      listRunning: () => this.#dispatcher.listRunning()
    })
    this.#claims = new ClaimStore({ service })
    this.#poisonRegistry = new PoisonRegistry({ service, onError: error => this.#reportError(error) })
    this.#placementController = new PlacementController({
      service,
      endpointName: settings.endpointName,
      endpointAddress: settings.endpointAddress,
      holder: `${settings.id}/${this.#epoch}`,
      isModelInUse: model => this.#dispatcher.listRunning().some(attempt => attempt.params.target.kind === 'chat' && attempt.params.target.model === model),
      onError: error => this.#reportError(error)
    })
    this.#slots = new EndpointSlots({
      clock: systemClock,
      getConfiguredSlots: () => this.#guard.getConfiguredSlots(),
      countRunning: () => this.#dispatcher.countRunning()
    })
    const runner = this.#createRunner()
    this.#dispatcher = new Dispatcher({
      clock: systemClock,
      maxQueued: MAX_QUEUED,
      slots: this.#slots,
      durations: this.#durations,
      getShare: className => config.getCurrent()?.classes.get(className)?.share ?? 0,
      checkAdmission: attempt => this.#guard.checkAdmission(attempt),
      run: async (attempt, rule) => {
        this.#starts.add({ class: attempt.params.className, rule })
        options.logger.debug({ ...toFields(attempt), event: 'started', rule, tier: attempt.params.tier })
        await runner.run(attempt)
      }
    })
    this.#attemptMonitor = new AttemptMonitor({
      clock: systemClock,
      registry: this.#registry,
      dispatcher: this.#dispatcher,
      heartbeatMs: HEARTBEAT_MS,
      detachedTimeoutMs: DETACHED_TIMEOUT_MS
    })
    this.#listener = this.#createListener()
  }

  /** Starts serving; returns the `host:port` in use. */
  async start (): Promise<string> {
    const { settings, service, config } = this.#options
    config.watchConfig(current => this.#adoptConfig(current))
    this.#poisonRegistry.start()
    this.#placementController.start()
    await this.#endpointMonitor.start()
    this.#attemptMonitor.start()
    const address = await this.#listener.listen(settings.listen)
    this.#registration = new Registration({
      service,
      instance: { instanceId: settings.id, epoch: this.#epoch, address, domain: settings.domain, endpointName: settings.endpointName }
    })
    this.#registration.start()
    return address
  }

  /** Refuses new attempts, waits for running ones, and deregisters from the fleet. */
  async drain (): Promise<void> {
    const leaving = this.#registration?.stop(new Progress({ title: 'deregistering from the fleet', timeoutMs: DEREGISTRATION_TIMEOUT_MS })).catch(() => {})
    await this.#dispatcher.drain()
    await Promise.all([leaving, this.#placementController.stop(), this.#poisonRegistry.stop()])
    this.#attemptMonitor.stop()
    this.#endpointMonitor.stop()
    await this.#claims.stop(new Progress({ title: 'storing the outcomes of claimed requests', timeoutMs: DEREGISTRATION_TIMEOUT_MS }))
    await this.#listener.drain()
  }

  #createRunner (): AttemptRunner {
    const { settings, config } = this.#options
    const clients = { engine: new EngineClient({ address: settings.endpointAddress }), service: new ServiceClient({ address: settings.endpointAddress }) }
    const endpoint: EndpointClient = {
      run: async options => await (options.target.kind === 'chat' ? clients.engine : clients.service).run(options),
      close: () => Object.values(clients).forEach(client => client.close())
    }
    const claims = new StoreClaimGate({ store: this.#claims, clock: systemClock, holder: `${settings.id}/${this.#epoch}` })
    const observer = {
      recordTokenInterval: (milliseconds: number) => this.#slots.recordTokenInterval(milliseconds),
      waitForCrashStored: async (attempt: Attempt) => {
        const progress = new Progress({ title: 'storing a crash record', timeoutMs: CRASH_RECORD_TIMEOUT_MS })
        await this.#poisonRegistry.waitUntilStored(attempt.params.fingerprint, progress).catch(() => {})
      },
      getCrashCount: (attempt: Attempt) => this.#guard.getCrashCount(attempt.params.fingerprint),
      syncCrashCount: async (attempt: Attempt) => {
        const progress = new Progress({ title: 'reading a crash record', timeoutMs: CRASH_RECORD_TIMEOUT_MS })
        await this.#poisonRegistry.readStored(attempt.params.fingerprint, progress)
      },
      checkAdmission: (attempt: Attempt) => this.#guard.checkAdmission(attempt)
    }
    this.#dump.register('configGeneration', () => config.getCurrent()?.generation ?? 0)
    this.#dump.register('configuration', () => config.getState())
    this.#dump.register('metrics', () => this.#metrics.readSummaries())
    return new AttemptRunner({ clock: systemClock, endpoint, monitor: this.#endpointMonitor, claims, observer, durations: this.#durations })
  }

  #createListener (): HttpListener {
    const { rpc, settings } = this.#options
    const methods = new SidecarRpc({
      clock: systemClock,
      registry: this.#registry,
      dispatcher: this.#dispatcher,
      getStamp: () => this.#getStamp(),
      onSubmit: params => this.#handleSubmit(params),
      onEnd: attempt => this.#handleEnd(attempt)
    })
    methods.registerMethods(rpc)
    this.#dump.register('sidecar', () => ({ id: settings.id, epoch: this.#epoch, endpoint: settings.endpointName, isUp: this.#endpointMonitor.isUp(), bootId: this.#endpointMonitor.bootId }))
    this.#dump.register('load', () => this.#dispatcher.getLoad())
    this.#dump.register('attempts', () => this.#registry.listOpen().map(attempt => ({ ...toFields(attempt), phase: attempt.phase, tier: attempt.params.tier, chunkCount: attempt.chunkCount })))
    this.#dump.register('claims', () => this.#claims.getStatus())
    this.#dump.register('placement', () => this.#placementController.getStatus())
    this.#dump.register('crashes', () => this.#poisonRegistry.listRecords())
    return new HttpListener({
      handlers: {
        [RPC_PATH]: (request, response) => rpc.handle(request, response),
        [METRICS_PATH]: createMetricsHandler(this.#metrics),
        [STATE_PATH]: createStateHandler(this.#dump, request => rpc.isAuthorized(request))
      }
    })
  }

  #getStamp (): SidecarStamp {
    return {
      sidecarId: this.#options.settings.id,
      sidecarEpoch: this.#epoch,
      configGeneration: this.#options.config.getCurrent()?.generation ?? 0,
      load: this.#dispatcher.getLoad()
    }
  }

  #handleSubmit (params: SubmitAttempt): void {
    this.#options.config.notifyGeneration(params.configGeneration, params.gatewayAddress)
    this.#guard.adoptCrashCount(params.fingerprint, params.crashCount)
  }

  #handleEnd (attempt: Attempt): void {
    const { outcome, params } = attempt
    if (outcome === null) return
    this.#registry.markEnded(attempt, systemClock.getMonotonicMs())
    const reason = 'reason' in outcome ? outcome.reason : ''
    this.#outcomes.add({ class: params.className, outcome: outcome.kind, reason })
    this.#options.logger.info({ ...toFields(attempt), event: 'ended', outcome: outcome.kind, reason, chunks: attempt.chunkCount, tier: params.tier })
  }

  #adoptConfig (config: FleetConfig): void {
    this.#guard.setCrashLimit(config.settings.poisonCrashLimit)
    this.#placementController.setConfig(config)
  }

  /** Handles an endpoint that is up again. A restarted endpoint has lost its loaded models. */
  #handleUp (): void {
    this.#placementController.reset()
    this.#dispatcher.notifyChanged()
  }

  #reportError (error: unknown): void {
    this.#options.logger.warn({ event: 'backgroundError', message: String(error).slice(0, 500) })
  }

  #handleCrash (): void {
    const suspects = this.#guard.recordCrash()
    const { endpointName } = this.#options.settings
    const crashId = `${endpointName}/${this.#endpointMonitor.bootId}`
    for (const fingerprint of suspects) this.#poisonRegistry.record({ fingerprint, endpointName, crashId })
    this.#options.logger.warn({ event: 'endpointCrashed', endpoint: endpointName, running: this.#dispatcher.listRunning().length, blamed: suspects.length })
  }
}

function toFields (attempt: Attempt): { requestId: string, attemptId: string, workspace: string, className: string } {
  const { requestId, attemptId, workspace, className } = attempt.params
  return { requestId, attemptId, workspace, className }
}
