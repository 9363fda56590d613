import { createHash } from 'node:crypto'

import { readClock } from '../base/clockReading'
import { TimeLimit } from '../base/timeLimit'
import { CrashAttribution, formatCrashId, parseCrashedEndpoint } from '../policy/crashAttribution'
import { CrashEvidence, EVIDENCE_SETTLE_MS, hasRequestWith } from '../policy/crashEvidence'
import { formatPartFingerprint, listSharedPartKeys, parsePartFingerprint } from '../policy/promptPartKeys'
import { isBegunStream } from '../policy/streamProgress'
import { PoisonRegistry } from '../store/poisonRegistry'
import { ExitProber } from './exitProber'

import type { Clock } from '../base/clock'
import type { DecisionLog } from '../base/decisionLog'
import type { AttributedCrash, CrashedEndpoint } from '../policy/crashAttribution'
import type { CrashReport, HeldParts, PartHold, AnsweredPart } from '../policy/crashEvidence'
import type { EndpointEntry } from '../policy/directEndpoint'
import type { DirectoryChange } from '../policy/endpointDirectory'
import type { StreamProgress } from '../policy/streamProgress'
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
  /** Called when nothing listens at the address of an endpoint, one of whose connections broke. */
  handleRefused: (entry: EndpointEntry) => void
  /** Called when this process has observed a crash, so that it can notify other gateways. */
  handleCrash: () => void
  /** Called when further requests must not be sent, so that those that wait are refused. */
  handleHold: () => void
}

/** What had arrived of an answer when its connection broke. */
export interface AnswerProgress extends StreamProgress {
  /** Status of the answer; null when its head had not arrived. */
  status: number | null
}

/** Prompt parts that are held, as recorded for all gateways. */
interface RecordedHold {
  fingerprint: string
  parts: string[]
  record: CrashRecord
}

/** Crashes after which a request is refused; the platform's rules require it from the third one on. */
const CRASH_LIMIT = 3
/** Milliseconds for which a crash counts against a request; fixing the fault that crashes the endpoints takes longer. */
const CRASH_RETENTION_MS = 600_000
const MAX_LOGGED_REQUESTS = 8
const MAX_LOGGED_PARTS = 8
const MAX_DUMPED_SUSPECTS = 20

/**
 * Refuses, at every gateway, requests that crash endpoints and requests whose prompts have a part that
 * does. Crashes are known to all gateways through their reports to each other, and what is refused also through
 * the object service.
 */
export class CrashGuard {
  readonly #options: CrashGuardOptions
  readonly #registry: PoisonRegistry
  readonly #attribution: CrashAttribution
  readonly #evidence = new CrashEvidence()
  readonly #prober: ExitProber
  readonly #fingerprints = new WeakMap<RelayRequest, string>()
  readonly #partKeys = new WeakMap<RelayRequest, readonly string[]>()
  #holds: RecordedHold[] = []
  #decisionLimit: TimeLimit | undefined

  constructor (options: CrashGuardOptions) {
    const { clock, service, log } = options
    this.#options = options
    this.#registry = new PoisonRegistry({
      service,
      clock,
      retentionMs: CRASH_RETENTION_MS,
      onError: error => log.writeError(error),
      handleChange: () => this.#updateHolds()
    })
    this.#attribution = new CrashAttribution(fingerprint => this.#registry.getCrashCount(fingerprint) > 0)
    this.#prober = new ExitProber({
      clock,
      handleRefused: entry => {
        options.handleRefused(entry)
        this.#recordExit(entry, 'refusedConnection')
      }
    })
  }

  start (): void {
    this.#registry.start()
  }

  async stop (): Promise<void> {
    this.#decisionLimit?.cancel()
    this.#prober.close()
    await this.#registry.stop()
  }

  /** Returns the refusal of a request that crashes endpoints; null when the request may run. */
  check (request: RelayRequest): Refusal | null {
    if (this.#registry.isEmpty) return null
    const hold = this.#findHold(request)
    if (hold !== null) {
      const retryAfterMs = Math.max(1, hold.record.atMs + CRASH_RETENTION_MS - this.#options.clock.getWallMs())
      return { code: 'request_crashes_endpoints', message: 'Endpoints crash when they answer prompts with a part of this one.', execution: 'not_run', retryAfterMs }
    }
    if (!this.#registry.isPoisoned(this.#getFingerprint(request), CRASH_LIMIT)) return null
    return { code: 'request_crashes_endpoints', message: `Endpoints crashed ${CRASH_LIMIT} times while they ran this request.`, execution: 'not_run', retryAfterMs: CRASH_RETENTION_MS }
  }

  /** Returns whether the request, whose answer broke, may be what has crashed endpoints before. */
  isRisky (request: RelayRequest): boolean {
    return this.#evidence.isRisky(this.#getPartKeys(request))
  }

  /** Records an attempt whose connection broke after the endpoint may have started to run it. */
  recordBrokenConnection (entry: EndpointEntry, request: RelayRequest, progress: AnswerProgress): void {
    const parts = this.#getPartKeys(request).slice(0, MAX_LOGGED_PARTS)
    this.#options.observer.recordBrokenAnswer(request, { endpoint: entry.id, crashId: formatCrashId(entry), fingerprint: this.#getFingerprint(request), parts, ...progress })
    this.recordConnectionEnd(entry, request, progress)
  }

  /** Records an attempt whose connection ended, because of which the endpoint may have ended too. */
  recordConnectionEnd (entry: EndpointEntry, request: RelayRequest, progress: StreamProgress): void {
    const parts = isBegunStream(progress) ? [] : this.#getPartKeys(request)
    const crash = this.#attribution.recordBrokenAttempt(entry, { fingerprint: this.#getFingerprint(request), parts }, this.#options.clock.getMonotonicMs())
    if (crash === null) this.#prober.probe(entry)
    else this.#recordCrash(crash)
  }

  /** Records that an endpoint began to answer the request at a time, and went on. */
  recordBegunAnswer (request: RelayRequest, begunAtMs: number): void {
    this.#mergeAnswered(this.#getPartKeys(request).map(part => ({ part, atMs: begunAtMs })), 'own')
  }

  /** Records that the endpoint's address refuses connections. */
  recordRefusedConnection (entry: EndpointEntry): void {
    this.#recordExit(entry, 'refusedConnection')
  }

  /** Treats an endpoint that disappears without announcing that it leaves, or that another one has replaced, as crashed. */
  recordDirectoryChange (change: DirectoryChange): void {
    const { kind, entry } = change
    switch (kind) {
      case 'gone':
        if (entry.state === 'ready' && !change.wasLeaving) this.#recordExit(entry, 'entryGone')
        break
      case 'joined':
      case 'restarted':
        for (const replaced of this.#attribution.findReplaced(entry)) this.#recordExit({ ...replaced, service: entry.service }, 'replaced')
        break
      case 'draining':
      case 'readyAgain':
      case 'lapsed':
    }
  }

  /** Merges a crash record that another gateway reported. */
  mergeRecord (record: CrashRecord): void {
    const before = this.#registry.getCrashCount(record.fingerprint)
    this.#registry.merge(record)
    const crashes = this.#registry.getCrashCount(record.fingerprint)
    if (crashes > before) this.#options.log.write('notable', { event: 'crashLearned', fingerprint: record.fingerprint, crashes, before, limit: CRASH_LIMIT })
  }

  /** Lists the records, those of prompt parts last. */
  listRecords (): CrashRecord[] {
    const isOfParts = ({ fingerprint }: CrashRecord) => Number(parsePartFingerprint(fingerprint) !== null)
    return this.#registry.listRecords().sort((one, other) => isOfParts(one) - isOfParts(other))
  }

  /** Lists the fingerprints of the prompt parts that are held. */
  listHolds (): Array<{ fingerprint: string, crashes: number, atMs: number }> {
    return this.#holds.filter(hold => this.#isInForce(hold)).map(({ fingerprint, record }) => ({ fingerprint, crashes: record.crashes.length, atMs: record.atMs }))
  }

  /** Lists the prompt parts that most of the known crashes have in common, for the state dump. */
  listSuspects (): ReturnType<CrashEvidence['listSuspects']> {
    return this.#evidence.listSuspects(MAX_DUMPED_SUSPECTS)
  }

  /** Ends a hold for all gateways, as an operator decided. Returns false when there is no such hold. */
  removeHold (fingerprint: string): boolean {
    if (!this.#holds.some(hold => hold.fingerprint === fingerprint)) return false
    this.#registry.clear(fingerprint)
    return true
  }

  /** Lists what this gateway recently learned about crashes under prompt parts. */
  listNews (): { crashes: CrashReport[], answered: AnsweredPart[] } {
    return this.#evidence.listNews(this.#options.clock.getMonotonicMs())
  }

  /** Merges what another gateway has learned about crashes under prompt parts. */
  mergeNews ({ crashes, answered }: { crashes: readonly CrashReport[], answered: readonly AnsweredPart[] }): void {
    const added = crashes.filter(crash => this.#recordEvidence(crash, 'peer'))
    this.#mergeAnswered(answered, 'peer')
    if (added.length > 0) this.#scheduleDecision()
  }

  #recordExit (endpoint: CrashedEndpoint & { service: string }, sign: ExitSign): void {
    const { clock, observer } = this.#options
    const nowMs = clock.getMonotonicMs()
    const { attempts, lastAtMs } = this.#attribution.countBrokenAttempts(endpoint, nowMs)
    const crash = this.#attribution.recordExit(endpoint, nowMs)
    if (crash === null) return
    observer.recordExit(endpoint.service, { endpoint: endpoint.id, crashId: crash.crashId, sign, attempts, brokenAgoMs: lastAtMs === null ? null : Math.round(nowMs - lastAtMs) })
    this.#recordCrash(crash)
  }

  #recordCrash ({ crashId, endpointId, atMs, fingerprints, requests }: AttributedCrash): void {
    if (this.#recordEvidence({ crashId, atMs, requests }, 'own')) this.#scheduleDecision()
    const isExplained = this.#holds.some(hold => hasRequestWith(requests, hold.parts))
    for (const fingerprint of isExplained ? [] : fingerprints) {
      this.#registry.record({ fingerprint, endpointName: endpointId, crashId })
      this.#options.log.write('notable', { event: 'crashBlamed', fingerprint, endpoint: endpointId, crashId, crashes: this.#registry.getCrashCount(fingerprint), limit: CRASH_LIMIT })
    }
    this.#options.handleCrash()
  }

  #recordEvidence (crash: CrashReport, source: 'own' | 'peer'): boolean {
    const { clock, log } = this.#options
    const nowMs = clock.getMonotonicMs()
    const isNew = this.#evidence.recordCrash(crash, nowMs)
    if (isNew) log.write('notable', { event: 'partsSuspected', crashId: crash.crashId, requests: crash.requests.slice(0, MAX_LOGGED_REQUESTS).map(parts => parts.slice(0, MAX_LOGGED_PARTS)), ageMs: Math.round(nowMs - crash.atMs), source })
    return isNew
  }

  #mergeAnswered (reports: readonly AnsweredPart[], source: 'own' | 'peer'): void {
    const { clock, log } = this.#options
    const now = readClock(clock)
    for (const report of reports) {
      const ageMs = now.monotonicMs - report.atMs
      if (this.#evidence.recordAnswered(report, now.monotonicMs)) log.write('notable', { event: 'partCleared', part: report.part, ageMs: Math.round(ageMs), source })
      for (const hold of this.#holds) if (hold.parts.includes(report.part) && now.wallMs - ageMs > hold.record.atMs) this.#removePart(hold, report.part)
    }
  }

  /** Ends a hold of which one part was answered; what is left of it stays held. */
  #removePart ({ fingerprint, parts, record }: RecordedHold, answeredPart: string): void {
    const rest = parts.filter(part => part !== answeredPart)
    if (rest.length > 0) this.#registry.recordAll(formatPartFingerprint(rest), record.crashes)
    this.#registry.clear(fingerprint)
  }

  #scheduleDecision (): void {
    this.#decisionLimit ??= new TimeLimit(this.#options.clock, EVIDENCE_SETTLE_MS, () => this.#decideHolds())
  }

  #decideHolds (): void {
    this.#decisionLimit = undefined
    const nowMs = this.#options.clock.getMonotonicMs()
    for (const hold of this.#evidence.findHolds(this.#listHeld(), nowMs)) this.#recordHold(hold)
    for (const { fingerprint } of this.#evidence.findSuperseded(this.#listHeld())) this.#registry.clear(fingerprint)
    if (this.#evidence.hasUnsettled(nowMs)) this.#scheduleDecision()
  }

  #listHeld (): Array<HeldParts & { fingerprint: string }> {
    return this.#holds.map(({ fingerprint, parts, record }) => ({
      fingerprint,
      parts,
      sinceMs: this.#toMonotonicMs(record.atMs),
      crashIds: record.crashes.map(crash => crash.crashId)
    }))
  }

  #recordHold ({ parts, crashIds, atMs }: PartHold): void {
    const { log, clock } = this.#options
    log.write('notable', { event: 'promptPartHeld', parts, crashes: crashIds.length, crashIds, lastCrashAgoMs: Math.round(clock.getMonotonicMs() - atMs), forMs: CRASH_RETENTION_MS })
    this.#registry.recordAll(formatPartFingerprint(parts), crashIds.map(crashId => ({ crashId, endpointName: parseCrashedEndpoint(crashId) })))
  }

  /** Brings the holds in line with the records, whoever changed them. */
  #updateHolds (): void {
    const { log } = this.#options
    const before = new Set(this.#holds.map(({ fingerprint }) => fingerprint))
    const records = this.#registry.listRecords().flatMap(record => {
      const parts = parsePartFingerprint(record.fingerprint)
      return parts === null ? [] : [{ fingerprint: record.fingerprint, parts, record }]
    })
    this.#holds = records.filter(({ record }) => record.crashes.length > 0)
    for (const { fingerprint, parts, record: { clearedAtMs, crashes } } of records) {
      const isHeld = crashes.length > 0
      if (isHeld !== before.has(fingerprint)) log.write('notable', { event: isHeld ? 'promptPartHoldBegun' : 'promptPartHoldEnded', fingerprint, crashes: crashes.length })
      if (isHeld || clearedAtMs === undefined) continue
      for (const part of parts) if (!this.#isHeld(part)) this.#evidence.recordLifted(part, this.#toMonotonicMs(clearedAtMs))
    }
    if (this.#holds.some(({ fingerprint }) => !before.has(fingerprint))) this.#options.handleHold()
  }

  #isHeld (part: string): boolean {
    return this.#holds.some(hold => hold.parts.includes(part))
  }

  #findHold (request: RelayRequest): RecordedHold | null {
    if (this.#holds.length === 0) return null
    const parts = this.#getPartKeys(request)
    return this.#holds.find(hold => this.#isInForce(hold) && hasRequestWith([parts], hold.parts)) ?? null
  }

  #isInForce ({ fingerprint }: RecordedHold): boolean {
    return this.#registry.getRecord(fingerprint) !== null
  }

  // a request is checked and recorded several times on its way; its body may be large
  #getFingerprint (request: RelayRequest): string {
    const fingerprint = this.#fingerprints.get(request) ?? hashRequest(request)
    this.#fingerprints.set(request, fingerprint)
    return fingerprint
  }

  #getPartKeys (request: RelayRequest): readonly string[] {
    const parts = this.#partKeys.get(request) ?? listSharedPartKeys(request.service, request.traits.promptParts)
    this.#partKeys.set(request, parts)
    return parts
  }

  #toMonotonicMs (wallMs: number): number {
    const now = readClock(this.#options.clock)
    return now.monotonicMs - (now.wallMs - wallMs)
  }
}

function hashRequest ({ workspace, traits, body }: RelayRequest): string {
  return createHash('sha256').update(JSON.stringify([workspace, traits.method, traits.host, traits.target])).update(body).digest('hex')
}
