import { createMetricsHandler, createStateHandler, METRICS_PATH, STATE_PATH } from '../base/adminRoutes'
import { systemClock } from '../base/clock'
import { createId } from '../base/identifiers'
import { Metrics } from '../base/metrics'
import { Progress } from '../base/progress'
import { StateDump } from '../base/stateDump'
import { MembershipDirectory } from '../membership/membershipDirectory'
import { PoisonRegistry } from '../store/poisonRegistry'
import { Registration } from '../membership/registration'
import { RateLimiter } from '../policy/rateLimiter'
import { RetryBudget } from '../policy/retryBudget'
import { RPC_PATH } from '../protocol/attemptMessages'
import { AnswerMeter, AnswerMetrics } from './answerMeter'
import { AttemptMover } from './attemptMover'
import { CallerServer } from './callerServer'
import { FleetRelay } from './fleetRelay'
import { FleetView } from './fleetView'
import { LoadProber } from './loadProber'
import { RelayTelemetry } from './relayTelemetry'
import { StoreCleanup } from './storeCleanup'

import type { Workspace } from '../config/fleetConfig'
import type { GatewaySettings } from '../config/processSettings'
import type { ProcessDependencies } from '../store/processDependencies'
import type { Admission } from './requestRelay'

const PEER_TIMEOUTS = { firstMessageMs: 400, silenceMs: 3000 }
const DRAIN_TIMEOUT_MS = 600_000
const DEREGISTRATION_TIMEOUT_MS = 2000

/** Runs one gateway: serves callers and relays their requests to sidecars. */
export class GatewayProcess {
  readonly #options: ProcessDependencies<GatewaySettings>
  readonly #epoch = createId('epoch')
  readonly #metrics = new Metrics()
  readonly #dump = new StateDump()
  readonly #view: FleetView
  readonly #mover: AttemptMover
  readonly #prober: LoadProber
  readonly #directory: MembershipDirectory
  readonly #server: CallerServer
  readonly #limiter = new RateLimiter()
  readonly #retryBudget = new RetryBudget()
  readonly #poisonRegistry: PoisonRegistry
  readonly #storeCleanup: StoreCleanup
  #address = ''
  #registration: Registration | null = null

  constructor (options: ProcessDependencies<GatewaySettings>) {
    this.#options = options
    const { settings, service, config } = options
    this.#view = new FleetView({
      clock: systemClock,
      localDomain: settings.domain,
      fleetSecret: settings.fleetSecret,
      peerTimeouts: PEER_TIMEOUTS,
      random: Math.random
    })
    this.#mover = new AttemptMover({ clock: systemClock, table: this.#view.table, acquireRetry: className => this.#acquireRetry(className) })
    this.#prober = new LoadProber({ clock: systemClock, view: this.#view, onConfigGeneration: (generation, address) => config.notifyGeneration(generation, address) })
    this.#directory = new MembershipDirectory({ service })
    this.#poisonRegistry = new PoisonRegistry({ service, onError: error => this.#reportError(error) })
    this.#storeCleanup = new StoreCleanup({
      service,
      holder: `${settings.id}/${this.#epoch}`,
      getConfig: () => config.getCurrent(),
      crashes: this.#poisonRegistry,
      onError: error => this.#reportError(error)
    })
    this.#directory.watch(() => this.#view.setSidecars(this.#directory.listSidecars()))
    config.watchConfig(current => this.#view.setConfig(current))
    this.#server = this.#createServer()
    this.#registerDumpParts()
  }

  /** Starts serving; returns the `host:port` in use. */
  async start (): Promise<string> {
    const { settings, service } = this.#options
    this.#mover.start()
    this.#prober.start()
    this.#directory.start()
    this.#poisonRegistry.start()
    this.#storeCleanup.start()
    const { host, port } = await this.#server.listen(settings.listen)
    this.#address = `${host}:${port}`
    this.#registration = new Registration({
      service,
      instance: { instanceId: settings.id, epoch: this.#epoch, address: this.#address, domain: settings.domain, endpointName: null }
    })
    this.#registration.start()
    return this.#address
  }

  /** Refuses new requests, waits for those in flight, and deregisters from the fleet. */
  async drain (): Promise<void> {
    const leaving = this.#registration?.stop(new Progress({ title: 'deregistering from the fleet', timeoutMs: DEREGISTRATION_TIMEOUT_MS })).catch(() => {})
    await this.#server.drain(new Progress({ title: 'draining the gateway', timeoutMs: DRAIN_TIMEOUT_MS }))
    await Promise.all([leaving, this.#directory.stop(), this.#poisonRegistry.stop(), this.#storeCleanup.stop()])
    this.#mover.stop()
    this.#prober.stop()
    this.#view.close()
  }

  #createServer (): CallerServer {
    const { config, rpc, logger } = this.#options
    const answerMetrics = new AnswerMetrics(this.#metrics)
    return new CallerServer({
      getConfig: () => config.getCurrent(),
      relay: this.#createRelay(),
      admit: workspace => this.#admit(workspace),
      observe: (request, answer) => new AnswerMeter(request, answer, answerMetrics, systemClock),
      reportError: error => logger.error({ event: 'unexpectedError', message: String(error) }),
      handlers: {
        [RPC_PATH]: (request, response) => rpc.handle(request, response),
        [METRICS_PATH]: createMetricsHandler(this.#metrics),
        [STATE_PATH]: createStateHandler(this.#dump, request => rpc.isAuthorized(request))
      }
    })
  }

  #createRelay (): FleetRelay {
    const { settings, config, logger } = this.#options
    return new FleetRelay({
      clock: systemClock,
      view: this.#view,
      mover: this.#mover,
      observer: new RelayTelemetry({ clock: systemClock, logger, metrics: this.#metrics, recordRequest: serviceClass => this.#retryBudget.recordRequest(serviceClass.name, serviceClass.retryRatio, systemClock.getMonotonicMs()) }),
      getIdentity: () => ({ gatewayId: settings.id, gatewayEpoch: this.#epoch, gatewayAddress: this.#address }),
      getConfigGeneration: () => config.getCurrent()?.generation ?? 0,
      acquireRetry: className => this.#acquireRetry(className),
      onConfigGeneration: (generation, address) => config.notifyGeneration(generation, address),
      isPoisoned: fingerprint => this.#poisonRegistry.isPoisoned(fingerprint, config.getCurrent()?.settings.poisonCrashLimit ?? Infinity),
      getCrashCount: fingerprint => this.#poisonRegistry.getCrashCount(fingerprint),
      adoptCrashCount: (fingerprint, count) => this.#poisonRegistry.mergeCount(fingerprint, count)
    })
  }

  #admit (workspace: Workspace): Admission {
    const decision = this.#limiter.admit(workspace.name, workspace, systemClock.getMonotonicMs())
    if (decision.kind === 'admitted') return { kind: 'admitted', release: () => this.#limiter.release(workspace.name) }
    const isRate = decision.reason === 'rate'
    return {
      kind: 'refused',
      refusal: {
        code: isRate ? 'rate_limited' : 'too_many_concurrent',
        message: `Workspace '${workspace.name}' is over its limit of ${isRate ? 'requests a second' : 'requests at once'}.`,
        execution: 'not_run',
        retryAfterMs: decision.retryAfterMs
      }
    }
  }

  #acquireRetry (className: string): boolean {
    return this.#retryBudget.acquire(className, systemClock.getMonotonicMs())
  }

  #reportError (error: unknown): void {
    this.#options.logger.warn({ event: 'backgroundError', message: String(error).slice(0, 500) })
  }

  #registerDumpParts (): void {
    const { settings, config } = this.#options
    this.#dump.register('configGeneration', () => config.getCurrent()?.generation ?? 0)
    this.#dump.register('configuration', () => config.getState())
    this.#dump.register('metrics', () => this.#metrics.readSummaries())
    this.#dump.register('gateway', () => ({ id: settings.id, epoch: this.#epoch, address: this.#address, inFlight: this.#server.countInFlight() }))
    this.#dump.register('membership', () => this.#directory.getStatus())
    this.#dump.register('crashes', () => this.#poisonRegistry.listRecords())
    this.#dump.register('endpoints', () => this.#view.table.listViews())
  }
}
