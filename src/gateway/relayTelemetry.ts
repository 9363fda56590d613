import type { Logger } from 'tslog'
import type { Clock } from '../base/clock'
import type { Counter, Metrics } from '../base/metrics'
import type { ServiceClass } from '../config/fleetConfig'
import type { NotRunReason } from '../protocol/attemptMessages'
import type { CallerRequest } from './callerRequest'
import type { RelayObserver } from './relayObserver'

export interface RelayTelemetryOptions {
  clock: Clock
  logger: Logger<unknown>
  metrics: Metrics
  /** Called at the first offer of each request. */
  recordRequest: (serviceClass: ServiceClass) => void
}

/** Records the progress of callers' requests in the log and the metrics. Never logs a prompt or a key. */
export class RelayTelemetry implements RelayObserver {
  readonly #options: RelayTelemetryOptions
  readonly #offers: Counter
  readonly #retries: Counter
  readonly #refusals: Counter
  readonly #lostStreams: Counter

  constructor (options: RelayTelemetryOptions) {
    this.#options = options
    const { metrics } = options
    this.#offers = metrics.createCounter('offers_total', 'Offers of a request to a sidecar, by class.')
    this.#retries = metrics.createCounter('retries_total', 'Attempts after one that had started, by class.')
    this.#refusals = metrics.createCounter('refusals_total', 'Requests refused or failed, by class and code.')
    this.#lostStreams = metrics.createCounter('lost_streams_total', 'Streams from sidecars that broke or went silent, by class.')
  }

  recordOffer (request: CallerRequest, attemptId: string, endpointName: string): void {
    this.#offers.add(toLabels(request))
    if (attemptId.endsWith('.1')) this.#options.recordRequest(request.serviceClass)
    this.#options.logger.debug({ ...toFields(request, attemptId), event: 'offered', endpoint: endpointName })
  }

  recordNotRun (request: CallerRequest, attemptId: string, reason: NotRunReason | 'unreachable'): void {
    this.#options.logger.debug({ ...toFields(request, attemptId), event: 'notRun', reason })
  }

  recordRetry (request: CallerRequest, attemptId: string, reason: string): void {
    this.#retries.add(toLabels(request))
    this.#options.logger.info({ ...toFields(request, attemptId), event: 'retried', reason })
  }

  recordStreamLost (request: CallerRequest, attemptId: string, message: string): void {
    this.#lostStreams.add(toLabels(request))
    this.#options.logger.warn({ ...toFields(request, attemptId), event: 'streamLost', message })
  }

  recordRefusal (request: CallerRequest, code: string): void {
    const waitedMs = this.#options.clock.getMonotonicMs() - request.arrivedAtMs
    this.#refusals.add({ ...toLabels(request), code })
    this.#options.logger.info({ ...toFields(request), event: 'refused', code, tier: request.serviceClass.tier, waitedMs: Math.round(waitedMs) })
  }
}

function toLabels (request: CallerRequest): { class: string } {
  return { class: request.serviceClass.name }
}

function toFields (request: CallerRequest, attemptId?: string): Record<string, string> {
  const fields = { requestId: request.requestId, workspace: request.workspace.name, className: request.serviceClass.name }
  return attemptId === undefined ? fields : { ...fields, attemptId }
}
