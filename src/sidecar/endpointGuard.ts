import { PoisonTracker } from '../policy/poisonTracker'
import { createNotRun } from './outcomes'

import type { Clock } from '../base/clock'
import type { Endpoint, FleetConfig } from '../config/fleetConfig'
import type { AttemptOutcome, AttemptTarget, SubmitAttempt } from '../protocol/attemptMessages'
import type { Attempt } from './attempt'

const UNAVAILABLE_RETRY_AFTER_MS = 1000
const CONFINED_RETRY_AFTER_MS = 500
const DEFAULT_CRASH_LIMIT = 3
const POISON_EXPIRY_MS = 3_600_000
const MAX_FINGERPRINTS = 10_000

export interface EndpointGuardOptions {
  clock: Clock
  endpointName: string
  getConfig: () => FleetConfig | null
  isEndpointUp: () => boolean
  /** Returns whether the endpoint is known not to have a model loaded. */
  isModelMissing: (model: string) => boolean
  /** Returns the number of crashes that the fleet has recorded for a fingerprint. */
  getSharedCrashCount: (fingerprint: string) => number
  listRunning: () => Attempt[]
}

/** Refuses attempts that may not run at this endpoint, regardless of the queue. */
export class EndpointGuard {
  readonly #options: EndpointGuardOptions
  readonly #limits = { crashLimit: DEFAULT_CRASH_LIMIT, expiryMs: POISON_EXPIRY_MS, maxFingerprints: MAX_FINGERPRINTS }
  readonly #poisonTracker = new PoisonTracker(this.#limits)

  constructor (options: EndpointGuardOptions) {
    this.#options = options
  }

  /** Returns the outcome that refuses the attempt, or null when it may run here. */
  checkAdmission (attempt: Attempt): AttemptOutcome | null {
    const { getConfig, isEndpointUp } = this.#options
    const config = getConfig()
    if (config === null) return createNotRun('configurationMissing', UNAVAILABLE_RETRY_AFTER_MS)
    if (!this.#isServed(config, attempt.params.target)) return createNotRun('modelNotPlaced', UNAVAILABLE_RETRY_AFTER_MS)
    if (!isEndpointUp()) return createNotRun('endpointUnavailable', UNAVAILABLE_RETRY_AFTER_MS)
    return this.#checkPoison(attempt.params)
  }

  /** Returns the configured number of requests that may run concurrently at the endpoint. */
  getConfiguredSlots (): number {
    const config = this.#options.getConfig()
    return config === null ? 1 : this.#findEndpoint(config)?.slots ?? 1
  }

  /** Adopts the gateway's crash count of a fingerprint, if it is higher than the known one. */
  adoptCrashCount (fingerprint: string, crashCount: number): void {
    this.#poisonTracker.adoptCrashCount(fingerprint, crashCount, this.#getNowMs())
  }

  getCrashCount (fingerprint: string): number {
    return this.#poisonTracker.getCrashCount(fingerprint, this.#getNowMs())
  }

  /** Records a crash of the endpoint; returns the fingerprints that it was attributed to. */
  recordCrash (): string[] {
    return this.#poisonTracker.recordCrash(this.#listRunningFingerprints(), this.#getNowMs())
  }

  /** Sets the fleet's crash limit; keeps the counts. */
  setCrashLimit (crashLimit: number): void {
    this.#limits.crashLimit = crashLimit
  }

  #isServed (config: FleetConfig, target: AttemptTarget): boolean {
    if (!isPlaced(this.#findEndpoint(config), target)) return false
    return target.kind === 'service' || !this.#options.isModelMissing(target.model)
  }

  #checkPoison (params: SubmitAttempt): AttemptOutcome | null {
    const nowMs = this.#getNowMs()
    this.#poisonTracker.adoptCrashCount(params.fingerprint, this.#options.getSharedCrashCount(params.fingerprint), nowMs)
    if (this.#poisonTracker.getVerdict(params.fingerprint, nowMs) === 'refused') return createNotRun('poison', 0)
    if (this.#poisonTracker.canStartAlongside(params.fingerprint, this.#listRunningFingerprints(), nowMs)) return null
    return createNotRun('queueFull', CONFINED_RETRY_AFTER_MS)
  }

  #listRunningFingerprints (): string[] {
    return this.#options.listRunning().filter(attempt => attempt.phase === 'running').map(attempt => attempt.params.fingerprint)
  }

  #findEndpoint (config: FleetConfig): Endpoint | undefined {
    return config.endpoints.get(this.#options.endpointName)
  }

  #getNowMs (): number {
    return this.#options.clock.getMonotonicMs()
  }
}

function isPlaced (endpoint: Endpoint | undefined, target: AttemptTarget): boolean {
  if (endpoint === undefined) return false
  return target.kind === 'chat' ? endpoint.models.includes(target.model) : endpoint.service === target.service
}
