import { createHash } from 'node:crypto'

import { CrashAttribution } from '../policy/crashAttribution'
import { PoisonRegistry } from '../store/poisonRegistry'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { EndpointEntry } from '../policy/directEndpoint'
import type { DirectoryChange } from '../policy/endpointDirectory'
import type { CrashRecord } from '../protocol/crashRecord'
import type { Refusal } from '../protocol/errorBody'
import type { ObjectService } from '../store/objectService'
import type { RelayRequest } from './relayRequest'

export interface CrashGuardOptions {
  clock: Clock
  service: ObjectService
  log: DecisionLog
  /** Told that this process has seen a crash, so that others may be told. */
  handleCrash: () => void
}

/** Endpoints that one request may crash before it is refused; the platform's rule names the third. */
const CRASH_LIMIT = 3
/** Time for which a crash is held against a request: what makes it crash endpoints is mended in longer times. */
const CRASH_RETENTION_MS = 600_000

/** Refuses requests under which endpoints crash, at every gateway, by records in the store. */
export class CrashGuard {
  readonly #options: CrashGuardOptions
  readonly #registry: PoisonRegistry
  readonly #attribution: CrashAttribution

  constructor (options: CrashGuardOptions) {
    const { clock, service, log } = options
    this.#options = options
    this.#registry = new PoisonRegistry({
      service,
      clock,
      retentionMs: CRASH_RETENTION_MS,
      onError: error => log.writeError(error)
    })
    this.#attribution = new CrashAttribution(fingerprint => this.#registry.getCrashCount(fingerprint) > 0)
  }

  start (): void {
    this.#registry.start()
  }

  async stop (): Promise<void> {
    await this.#registry.stop()
  }

  /** Tells why a request is refused; null when it may run. */
  check (request: RelayRequest): Refusal | null {
    if (this.#registry.listRecords().length === 0) return null
    if (!this.#registry.isPoisoned(hashRequest(request), CRASH_LIMIT)) return null
    return { code: 'request_crashes_endpoints', message: `Endpoints crashed ${CRASH_LIMIT} times while they ran this request.`, execution: 'not_run', retryAfterMs: CRASH_RETENTION_MS }
  }

  /** Records a send whose connection broke after the endpoint may have begun to run it. */
  recordBrokenConnection (entry: EndpointEntry, request: RelayRequest): void {
    this.#attribution.recordBrokenAttempt(entry, hashRequest(request), this.#options.clock.getMonotonicMs())
  }

  /** Records that the endpoint's address refuses connections. */
  recordRefusedConnection (entry: EndpointEntry): void {
    this.#recordCrash(entry)
  }

  /** Takes an endpoint that goes without having said that it leaves for crashed. */
  recordDirectoryChange (change: DirectoryChange): void {
    if (change.kind === 'gone' && change.entry.state === 'ready' && !change.wasLeaving) this.#recordCrash(change.entry)
  }

  /** Takes in a record that another gateway told. */
  mergeRecord (record: CrashRecord): void {
    const before = this.#registry.getCrashCount(record.fingerprint)
    this.#registry.merge(record)
    const crashes = this.#registry.getCrashCount(record.fingerprint)
    if (crashes > before) this.#options.log.write('notable', { event: 'crashLearned', fingerprint: record.fingerprint, crashes, before, limit: CRASH_LIMIT })
  }

  listRecords (): CrashRecord[] {
    return this.#registry.listRecords()
  }

  #recordCrash (entry: EndpointEntry): void {
    const crash = this.#attribution.recordExit(entry, this.#options.clock.getMonotonicMs())
    if (crash === null) return
    for (const fingerprint of crash.fingerprints) {
      this.#registry.record({ fingerprint, endpointName: crash.endpointId, crashId: crash.crashId })
      this.#options.log.write('notable', { event: 'crashBlamed', fingerprint, endpoint: crash.endpointId, crashId: crash.crashId, crashes: this.#registry.getCrashCount(fingerprint), limit: CRASH_LIMIT })
    }
    this.#options.handleCrash()
  }
}

function hashRequest ({ workspace, traits, body }: RelayRequest): string {
  return createHash('sha256').update(JSON.stringify([workspace, traits.method, traits.host, traits.target])).update(body).digest('hex')
}
