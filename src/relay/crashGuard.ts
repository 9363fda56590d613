import { createHash } from 'node:crypto'

import { CrashAttribution, formatCrashId } from '../policy/crashAttribution'
import { listSharedPartKeys } from '../policy/promptPartKeys'
import { PoisonRegistry } from '../store/poisonRegistry'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { EndpointEntry } from '../policy/directEndpoint'
import type { DirectoryChange } from '../policy/endpointDirectory'
import type { CrashRecord } from '../protocol/crashRecord'
import type { Refusal } from '../protocol/errorBody'
import type { ObjectService } from '../store/objectService'
import type { ExitSign, RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'

export interface CrashGuardOptions {
  clock: Clock
  service: ObjectService
  log: DecisionLog
  observer: RelayObserver
  /** Called when this process has observed a crash, so that it can notify other gateways. */
  handleCrash: () => void
}

/** What had arrived of an answer when its connection broke. */
export interface AnswerProgress {
  /** Status of the answer; null when its head had not arrived. */
  status: number | null
  /** Complete events that had arrived. */
  events: number
  /** Milliseconds between the first and the last of them. */
  streamedMs: number
}

/** Crashes after which a request is refused; the platform's rules require it from the third one on. */
const CRASH_LIMIT = 3
/** Milliseconds for which a crash counts against a request; fixing the fault that crashes the endpoints takes longer. */
const CRASH_RETENTION_MS = 600_000

/** Refuses poison requests at every gateway, by crash records in the object service. */
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

  /** Returns the refusal of a poison request; null when the request may run. */
  check (request: RelayRequest): Refusal | null {
    if (this.#registry.listRecords().length === 0) return null
    if (!this.#registry.isPoisoned(hashRequest(request), CRASH_LIMIT)) return null
    return { code: 'request_crashes_endpoints', message: `Endpoints crashed ${CRASH_LIMIT} times while they ran this request.`, execution: 'not_run', retryAfterMs: CRASH_RETENTION_MS }
  }

  /** Records an attempt whose connection broke after the endpoint may have started to run it. */
  recordBrokenConnection (entry: EndpointEntry, request: RelayRequest, progress: AnswerProgress): void {
    const { clock, observer } = this.#options
    const fingerprint = hashRequest(request)
    const parts = listSharedPartKeys(request.service, request.traits.promptParts)
    observer.recordBrokenAnswer(request, { endpoint: entry.id, crashId: formatCrashId(entry), fingerprint, parts, ...progress })
    this.#attribution.recordBrokenAttempt(entry, fingerprint, clock.getMonotonicMs())
  }

  /** Records that the endpoint's address refuses connections. */
  recordRefusedConnection (entry: EndpointEntry): void {
    this.#recordCrash(entry, 'refusedConnection')
  }

  /** Treats an endpoint that disappears without announcing that it leaves as crashed. */
  recordDirectoryChange (change: DirectoryChange): void {
    if (change.kind === 'gone' && change.entry.state === 'ready' && !change.wasLeaving) this.#recordCrash(change.entry, 'entryGone')
  }

  /** Merges a crash record that another gateway reported. */
  mergeRecord (record: CrashRecord): void {
    const before = this.#registry.getCrashCount(record.fingerprint)
    this.#registry.merge(record)
    const crashes = this.#registry.getCrashCount(record.fingerprint)
    if (crashes > before) this.#options.log.write('notable', { event: 'crashLearned', fingerprint: record.fingerprint, crashes, before, limit: CRASH_LIMIT })
  }

  listRecords (): CrashRecord[] {
    return this.#registry.listRecords()
  }

  #recordCrash (entry: EndpointEntry, sign: ExitSign): void {
    const { clock, observer } = this.#options
    const nowMs = clock.getMonotonicMs()
    const { attempts, lastAtMs } = this.#attribution.countBrokenAttempts(entry, nowMs)
    const crash = this.#attribution.recordExit(entry, nowMs)
    if (crash === null) return
    observer.recordExit(entry.service, { endpoint: entry.id, crashId: crash.crashId, sign, attempts, brokenAgoMs: lastAtMs === null ? null : Math.round(nowMs - lastAtMs) })
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
