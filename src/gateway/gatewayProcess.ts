import { createMetricsHandler, createStateHandler, METRICS_PATH, STATE_PATH } from '../base/adminRoutes'
import { systemClock } from '../base/clock'
import { createId } from '../base/identifiers'
import { Metrics } from '../base/metrics'
import { Progress } from '../base/progress'
import { StateDump } from '../base/stateDump'
import { MembershipDirectory } from '../platform/membershipDirectory'
import { Registration } from '../platform/registration'
import { PoisonTracker } from '../policy/poisonTracker'
import { RateLimiter } from '../policy/rateLimiter'
import { RetryBudget } from '../policy/retryBudget'
import { RPC_PATH } from '../protocol/attemptMessages'
import { AnswerMeter, AnswerMetrics } from './answerMeter'
import { CallerServer } from './callerServer'
import { FleetRelay } from './fleetRelay'
import { FleetView } from './fleetView'
import { RelayLog } from './relayLog'

import type { Logger } from 'tslog'
import type { ConfigSource } from '../config/configSource'
import type { FleetConfig, Workspace } from '../config/fleetConfig'
import type { GatewaySettings } from '../config/processSettings'
import type { ObjectService } from '../platform/objectService'
import type { RpcServer } from '../protocol/rpcServer'
import type { Admission } from './requestRelay'

const PATIENCE = { firstMessageMs: 400, silenceMs: 3000 }
const DRAIN_TIMEOUT_MS = 600_000
const LEAVE_TIMEOUT_MS = 2000
const POISON_EXPIRY_MS = 3_600_000
const MAX_FINGERPRINTS = 10_000
const DEFAULT_CRASH_LIMIT = 3

export interface GatewayProcessOptions {
  settings: GatewaySettings
  service: ObjectService
  config: ConfigSource
  rpc: RpcServer
  logger: Logger<unknown>
}

/** One gateway: everything between its callers and the sidecars. */
export class GatewayProcess {
  readonly #options: GatewayProcessOptions
  readonly #epoch = createId('epoch')
  readonly #metrics = new Metrics()
  readonly #dump = new StateDump()
  readonly #view: FleetView
  readonly #directory: MembershipDirectory
  readonly #server: CallerServer
  readonly #limiter = new RateLimiter()
  readonly #budget = new RetryBudget()
  readonly #poisonLimits = { crashLimit: DEFAULT_CRASH_LIMIT, expiryMs: POISON_EXPIRY_MS, maxFingerprints: MAX_FINGERPRINTS }
  readonly #poison = new PoisonTracker(this.#poisonLimits)
  #address = ''
  #registration: Registration | null = null

  constructor (options: GatewayProcessOptions) {
    this.#options = options
    const { settings, service, config } = options
    this.#view = new FleetView({
      clock: systemClock,
      localDomain: settings.domain,
      fleetSecret: settings.fleetSecret,
      patience: PATIENCE,
      random: Math.random
    })
    this.#directory = new MembershipDirectory({ service })
    this.#directory.watch(() => this.#view.setSidecars(this.#directory.listSidecars()))
    config.watchConfig(current => this.#adoptConfig(current))
    this.#server = this.#createServer()
    this.#registerDumps()
  }

  /** Starts to serve; returns the `host:port` in use. */
  async start (): Promise<string> {
    const { settings, service } = this.#options
    this.#directory.start()
    const { host, port } = await this.#server.listen(settings.listen)
    this.#address = `${host}:${port}`
    this.#registration = new Registration({
      service,
      instance: { instanceId: settings.id, epoch: this.#epoch, address: this.#address, domain: settings.domain, endpointName: null }
    })
    this.#registration.start()
    return this.#address
  }

  /** Refuses new requests, lets those in flight finish, and leaves the fleet. */
  async drain (): Promise<void> {
    const leaving = this.#registration?.stop(new Progress({ title: 'leaving the fleet', timeoutMs: LEAVE_TIMEOUT_MS })).catch(() => {})
    await this.#server.drain(new Progress({ title: 'draining the gateway', timeoutMs: DRAIN_TIMEOUT_MS }))
    await leaving
    await this.#directory.stop()
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
      observer: new RelayLog({ logger, metrics: this.#metrics, recordRequest: serviceClass => this.#budget.recordRequest(serviceClass.name, serviceClass.retryRatio, systemClock.getMonotonicMs()) }),
      getIdentity: () => ({ gatewayId: settings.id, gatewayEpoch: this.#epoch, gatewayAddress: this.#address }),
      getConfigGeneration: () => config.getCurrent()?.generation ?? 0,
      takeRetry: className => this.#budget.acquire(className, systemClock.getMonotonicMs()),
      onGeneration: (generation, address) => config.notifyGeneration(generation, address),
      getCrashCount: fingerprint => this.#poison.getCrashCount(fingerprint, systemClock.getMonotonicMs()),
      adoptCrashCount: (fingerprint, count) => this.#poison.adoptCrashCount(fingerprint, count, systemClock.getMonotonicMs())
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

  #adoptConfig (config: FleetConfig): void {
    this.#poisonLimits.crashLimit = config.settings.poisonCrashLimit
    this.#view.setConfig(config)
  }

  #registerDumps (): void {
    const { settings, config } = this.#options
    this.#dump.register('configGeneration', () => config.getCurrent()?.generation ?? 0)
    this.#dump.register('gateway', () => ({ id: settings.id, epoch: this.#epoch, address: this.#address, inFlight: this.#server.countInFlight() }))
    this.#dump.register('membership', () => this.#directory.getStatus())
    this.#dump.register('endpoints', () => this.#view.table.listViews())
  }
}
