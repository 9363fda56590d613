import { hashStreamId, parseKeyBucket } from '../policy/streamIds'
import { StreamOrigins } from '../policy/streamOrigins'
import { MAX_LONGEST_MS } from '../protocol/versionRecord'
import { waitFor } from '../store/channels'

import type { Clock } from '../base/clock'
import type { HashedStreamId } from '../policy/streamIds'
import type { OriginKnowledge, StreamOrigin } from '../policy/streamOrigins'
import type { VersionView } from '../policy/versionView'
import type { VersionChoice } from '../policy/versionChoice'
import type { Refusal } from '../protocol/errorBody'
import type { RelayObserver } from './relayObserver'
import type { RelayRequest } from './relayRequest'
import type { ReportedOrigin } from './streamOriginStore'
import type { VersionRegistry } from './versionRegistry'

export interface StreamVersionsOptions {
  clock: Clock
  getRegistry: () => VersionRegistry
  /** Reads the origins of streams that were stored. */
  readStoredOrigins: () => Promise<boolean>
  observer: RelayObserver
  /** Counts a service's endpoints that accept requests, by software version. */
  countReadyVersions: (service: string) => ReadonlyMap<string, number>
}

/** How the version that began a stream is known. */
export type OriginSource = OriginKnowledge | 'onlyVersion' | 'begunAfterMove' | 'noRecord' | 'unread' | 'uncertain'

/** The version that began a stream that a request takes up; null when it is not known. */
interface DecidedOrigin {
  version: string | null
  source: OriginSource
  candidates: ReadonlyArray<string | null>
}

/** Knowledge of streams that began in the own failure domain. */
export const DOMAIN_SOURCES: ReadonlySet<OriginKnowledge> = new Set(['own', 'member'])
/** Milliseconds to wait for an assignment or for the report of another gateway: some exchanges of loads. */
const KNOWLEDGE_WAIT_MS = 700
const KNOWLEDGE_POLL_MS = 25
/** Milliseconds of Retry-After where another gateway may know more. */
const ELSEWHERE_RETRY_MS = 500
/** Milliseconds of Retry-After where endpoints of the version may come back, because new streams still begin there. */
const VERSION_BACK_RETRY_MS = 1000
/** Milliseconds by which a Retry-After exceeds the time that the caller has left, so that it does not return in vain. */
const BEYOND_DEADLINE_MS = 1000

/**
 * Decides which software version of a service's endpoints a stream may use. What two versions write does not fit
 * together: a stream begins at the version to which its id is assigned, and goes on there only.
 */
export class StreamVersions {
  readonly #options: StreamVersionsOptions
  readonly #origins = new StreamOrigins()
  /** Hashed ids of requests; a queued request is looked at many times. */
  readonly #hashes = new WeakMap<RelayRequest, HashedStreamId>()

  constructor (options: StreamVersionsOptions) {
    this.#options = options
  }

  /** Returns the version at which a new stream begins now. */
  findBeginning (request: RelayRequest): VersionChoice {
    const { service, traits, route } = request
    const registry = this.#options.getRegistry()
    const view = registry.getView(service)
    if (view === null) return { kind: 'unknown', reason: 'noAssignment' }
    if (registry.getFreshness().kind !== 'fresh') return { kind: 'unknown', reason: 'assignmentStale' }
    const limitMs = Math.min(MAX_LONGEST_MS, traits.callerTimeoutMs ?? route.timeoutMs)
    if (limitMs > view.getLimitMs(route.name)) {
      registry.requireLimit(service, route.name, limitMs)
      return { kind: 'unknown', reason: 'limitNotCovered' }
    }
    const version = view.getVersion(this.#hashId(request).bucket)
    return version === null ? { kind: 'unknown', reason: 'noAssignment' } : { kind: 'version', version }
  }

  /** Waits until it is known where a request may be sent. Returns the refusal when that stays unknown. */
  async waitForVersion (request: RelayRequest, signal: AbortSignal): Promise<VersionChoice | Refusal> {
    if (!isBound(request)) return { kind: 'any' }
    return request.traits.resumeAfterEventId === null ? await this.#waitForBeginning(request, signal) : await this.#waitForOrigin(request, signal)
  }

  /** Records that an endpoint of `version` brought the first event of a new stream. */
  recordBegun (request: RelayRequest, version: string): void {
    const { service, traits } = request
    if (traits.resumeAfterEventId !== null) return
    const { bucket, key } = this.#hashId(request)
    this.#origins.record({ service, bucket, key, version, source: 'own', learnedAtMs: this.#options.clock.getMonotonicMs() })
  }

  /** Builds the refusal of a take-up of which no endpoint of its version accepts requests; null when there is one. */
  checkVersion (request: RelayRequest, version: string): Refusal | null {
    const { getRegistry, countReadyVersions } = this.#options
    if (countReadyVersions(request.service).has(version)) return null
    const isAssigned = getRegistry().getView(request.service)?.assignment.buckets.some(({ versions }) => versions[0] === version) === true
    return {
      code: 'stream_version_gone',
      message: `No endpoint of version '${version}', which began the stream, accepts requests.`,
      execution: 'not_run',
      retryAfterMs: isAssigned ? VERSION_BACK_RETRY_MS : computeTimeAfterDeadline(request)
    }
  }

  /** Lists the streams to report to other gateways: recent ones, known from `sources`, whose version the assignment does not say for certain. */
  listNews (sources: ReadonlySet<OriginKnowledge>): StreamOrigin[] {
    const registry = this.#options.getRegistry()
    const nowMs = this.#options.clock.getMonotonicMs()
    this.#origins.expire(({ service, learnedAtMs }) => nowMs - learnedAtMs > (registry.getView(service)?.assignment.limits.longestMs ?? MAX_LONGEST_MS))
    return this.#origins.listNews(sources, ({ service, bucket }) => {
      const view = registry.getView(service)
      return view?.isUncertain(bucket) === true ? view.getMovedAtMs(bucket) : null
    }, nowMs)
  }

  /** Lists the streams begun in this failure domain whose version the assignment does not say for certain, the latest last. */
  listUncertain (): StreamOrigin[] {
    const registry = this.#options.getRegistry()
    return this.#origins.listUncertain(({ service, bucket, source }) => DOMAIN_SOURCES.has(source) && registry.getView(service)?.isUncertain(bucket) === true)
  }

  /** Merges streams that another gateway reported or stored. */
  mergeNews (news: readonly ReportedOrigin[], source: Exclude<OriginKnowledge, 'own'>): void {
    const learnedAtMs = this.#options.clock.getMonotonicMs()
    for (const origin of news) {
      const bucket = parseKeyBucket(origin.key)
      if (bucket !== null) this.#origins.record({ ...origin, bucket, source, learnedAtMs })
    }
  }

  /** Reports the remembered streams again after a change of the assignment. */
  recordMove (): void {
    this.#origins.recordMove()
  }

  /** Returns the number of remembered streams, for the state dump. */
  countOrigins (): number {
    return this.#origins.size
  }

  /** Hashes the id of the request's attempt, which it begins a stream under. */
  #hashId (request: RelayRequest): HashedStreamId {
    const hashed = this.#hashes.get(request) ?? hashStreamId(request.traits.requestId)
    this.#hashes.set(request, hashed)
    return hashed
  }

  async #waitForBeginning (request: RelayRequest, signal: AbortSignal): Promise<VersionChoice | Refusal> {
    const { clock } = this.#options
    const untilMs = clock.getMonotonicMs() + KNOWLEDGE_WAIT_MS
    for (;;) {
      const choice = this.findBeginning(request)
      if (choice.kind !== 'unknown' && !this.#isWithoutEndpoints(request.service, choice)) return choice
      if (signal.aborted || clock.getMonotonicMs() >= untilMs) return buildUnknownRefusal(choice.kind === 'unknown' ? choice.reason : 'noEndpoint')
      await waitFor(KNOWLEDGE_POLL_MS)
    }
  }

  /** Returns whether only endpoints of other versions accept requests, so that the assignment is about to change. */
  #isWithoutEndpoints (service: string, choice: VersionChoice): boolean {
    const ready = this.#options.countReadyVersions(service)
    return choice.kind === 'version' && ready.size > 0 && !ready.has(choice.version)
  }

  async #waitForOrigin (request: RelayRequest, signal: AbortSignal): Promise<VersionChoice | Refusal> {
    const { clock, observer, readStoredOrigins } = this.#options
    const registry = this.#options.getRegistry()
    const startedAtMs = clock.getMonotonicMs()
    let hasRead = false
    let hasReadOrigins = false
    let origin = this.#findKnownOrigin(request)
    while (origin === null) {
      // a stream may have begun after the last change that this gateway knows of, but not after a read that starts now
      hasRead ||= await registry.readRecord(request.service)
      let decided = this.#findKnownOrigin(request) ?? this.#decideOrigin(request, hasRead)
      if (decided.source === 'uncertain' && !hasReadOrigins) {
        hasReadOrigins = await readStoredOrigins()
        decided = this.#findKnownOrigin(request) ?? decided
      }
      const isFinal = decided.version !== null || signal.aborted || clock.getMonotonicMs() - startedAtMs >= KNOWLEDGE_WAIT_MS
      if (isFinal) origin = decided
      else await waitFor(KNOWLEDGE_POLL_MS)
    }
    const view = registry.getView(request.service)
    const freshness = registry.getFreshness()
    observer.recordStreamOrigin(request, { ...origin, sequence: view?.assignment.sequence ?? null, recordAgeMs: freshness.kind === 'unconfirmed' ? null : Math.round(freshness.ageMs), waitedMs: Math.round(clock.getMonotonicMs() - startedAtMs) })
    return origin.version === null ? buildOriginRefusal(request, origin.source) : { kind: 'version', version: origin.version }
  }

  /** Finds a stream that this gateway began or that another one reported. */
  #findKnownOrigin ({ service, traits }: RelayRequest): DecidedOrigin | null {
    const origin = traits.resumedRequestId === null ? null : this.#origins.find(service, hashStreamId(traits.resumedRequestId).key)
    return origin === null ? null : { version: origin.version, source: origin.source, candidates: [origin.version] }
  }

  #decideOrigin (request: RelayRequest, hasRead: boolean): DecidedOrigin {
    const view = this.#options.getRegistry().getView(request.service)
    if (view === null) return { version: null, source: 'noRecord', candidates: [] }
    if (!hasRead) return { version: null, source: 'unread', candidates: [] }
    return decideAssignedOrigin(view, request)
  }
}

/** Returns whether a request may be sent to endpoints of one version only. */
export function isBound ({ route, traits }: Pick<RelayRequest, 'route' | 'traits'>): boolean {
  return route.kind === 'stream' && (route.isResumable || traits.resumeAfterEventId !== null)
}

function decideAssignedOrigin (view: VersionView, { traits, route, arrivedAtMs }: RelayRequest): DecidedOrigin {
  const { resumedRequestId, callerTimeoutMs } = traits
  if (resumedRequestId === null) {
    const version = view.findOnlyVersion()
    return version === null ? { version: null, source: 'uncertain', candidates: [] } : { version, source: 'onlyVersion', candidates: [version] }
  }
  const origin = view.findOrigin(hashStreamId(resumedRequestId).bucket, view.computeEarliestBegin({ route: route.name, arrivedAtMs, callerTimeoutMs }))
  switch (origin.kind) {
    case 'certain': return { version: origin.version, source: origin.rule, candidates: [origin.version] }
    case 'uncertain': return { version: null, source: 'uncertain', candidates: origin.candidates }
  }
}

/** Builds the refusal of a new stream whose version is not known. */
export function buildUnknownRefusal (reason: string): Refusal {
  return { code: 'stream_version_unknown', message: `It is not known at which version the stream may begin (${reason}).`, execution: 'not_run', retryAfterMs: ELSEWHERE_RETRY_MS }
}

function buildOriginRefusal (request: RelayRequest, source: OriginSource): Refusal {
  const retryAfterMs = source === 'uncertain' ? computeTimeAfterDeadline(request) : ELSEWHERE_RETRY_MS
  return { code: 'stream_version_unknown', message: `It is not known at which version the stream began (${source}).`, execution: 'not_run', retryAfterMs }
}

/** Computes a time at which the caller no longer waits. */
function computeTimeAfterDeadline ({ traits, route }: RelayRequest): number {
  return (traits.callerTimeoutMs ?? route.timeoutMs) + BEYOND_DEADLINE_MS
}
