import { BoundedMap } from '../base/boundedMap'
import { Progress } from '../base/progress'
import { readClock } from '../base/clockReading'
import { LimitNotices } from '../policy/limitNotices'
import { SendGrants } from '../policy/sendGrants'
import { SendPermits } from '../policy/sendPermits'

import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { DirectEndpoint, EndpointEntry } from '../policy/directEndpoint'
import type { EndpointDirectory } from '../policy/endpointDirectory'
import type { LimitNotice, NamedLimit } from '../policy/limitNotices'
import type { PeerLoadTable } from '../policy/peerLoadTable'
import type { PeerIdentity } from '../policy/peerTable'
import type { FleetState, GrantDecision } from '../policy/sendGrants'
import type { PermitState } from '../policy/sendPermits'
import type { PermitAnswer, PermitRequest } from '../protocol/permitMessages'
import type { LimitedAnswer } from './endpointSender'
import type { RelayObserver } from './relayObserver'

/** Another gateway, from which permits are requested. */
export interface PermitSource {
  requestPermits (request: PermitRequest, progress: Progress): Promise<Result<PermitAnswer, string>>
}

export interface LimitCoordinatorOptions {
  clock: Clock
  /** Id of this gateway. */
  gateway: string
  directory: EndpointDirectory
  observer: RelayObserver
  /** Load of the peer gateways, with their sends to limited endpoints. */
  getLoads: () => PeerLoadTable
  /** Lists the gateways that may keep the limits of the endpoints in a failure domain, the first choice first. */
  listKeepers: (domain: string) => PeerIdentity[]
  openClient: (keeper: PeerIdentity) => PermitSource
  /** Called when this gateway learned of another limit, so that it can tell its peers. */
  handleChange: () => void
  /** Called when a request for permits was answered, so that the queue of the service can proceed. */
  handleAnswer: (service: string) => void
}

/** Milliseconds within which a keeper answers, also on a busy machine. */
const ASK_TIMEOUT_MS = 200
/** Milliseconds for which a keeper that did not answer is not asked again. */
const UNREACHABLE_MS = 2000
/** Seconds of this gateway's share of a limit that it requests at once, so that not each send needs a call. */
const PREFETCH_SECONDS = 0.1
const MAX_WANTED = 1000
const MAX_UNREADABLE_TEXTS = 256

/**
 * Keeps the limits that endpoints name for all gateways together. One gateway, the keeper, grants the
 * permits for an endpoint; the others request them. A gateway that reaches no keeper grants itself the
 * share of one gateway.
 */
export class LimitCoordinator {
  readonly #options: LimitCoordinatorOptions
  readonly #notices = new LimitNotices()
  readonly #permits: SendPermits
  readonly #grants = new SendGrants()
  readonly #unreachableUntilMs = new Map<string, number>()
  /** Last text of each endpoint that is not a number. */
  readonly #unreadableTexts = new BoundedMap<string, string>(MAX_UNREADABLE_TEXTS)
  #isLeaving = false

  constructor (options: LimitCoordinatorOptions) {
    this.#options = options
    this.#permits = new SendPermits({ clock: options.clock, notices: this.#notices })
  }

  /** Returns the requests per second that an endpoint accepts from all gateways together; null for no limit. */
  getLimit ({ entry }: DirectEndpoint): number | null {
    return this.#notices.getLimit(entry.id, entry.bornAtMs)
  }

  getPermit ({ entry }: DirectEndpoint): PermitState {
    return this.#permits.getState(entry)
  }

  /** Takes a permit for a request that is about to be sent. Does nothing for an endpoint without a limit. */
  takePermit ({ entry }: DirectEndpoint): void {
    this.#permits.take(entry)
  }

  /** Returns the requests that this gateway sent to the endpoint under its limit recently. */
  getRecentSends (entry: EndpointEntry): number {
    return this.#permits.getRecentSends(entry)
  }

  /** Lists what is known about the limits of the endpoints that are there. */
  listNotices (): LimitNotice[] {
    const { directory, clock } = this.#options
    return this.#notices.list(directory.listAll().map(({ entry }) => entry), clock.getMonotonicMs())
  }

  /** Records what an answer says about the endpoint's limit. */
  recordAnswer (limit: NamedLimit, { endpoint, request, sentAtMs }: LimitedAnswer): void {
    const { clock, observer, handleChange } = this.#options
    const { id, bornAtMs } = endpoint.entry
    const { requestId } = request.traits
    const before = this.getLimit(endpoint)
    if (limit.kind === 'unreadable') {
      // one line for each text, not for each answer
      if (this.#unreadableTexts.get(id) !== limit.text) observer.recordUnreadableLimit(requestId, id, limit.text, before)
      this.#unreadableTexts.set(id, limit.text)
      return
    }
    const notice = this.#notices.recordAnswer({ id, bornAtMs, limit, sentAtMs, nowMs: clock.getMonotonicMs() })
    if (notice === null) return
    observer.recordLimit(notice, { requestId, before, source: 'answer' })
    handleChange()
  }

  /** Merges the limit that another gateway reported. */
  mergeNotice (notice: LimitNotice): void {
    const { clock, observer, handleChange } = this.#options
    const before = this.#notices.getLimit(notice.id, notice.bornAtMs)
    if (!this.#notices.merge(notice, clock.getMonotonicMs())) return
    observer.recordLimit(notice, { requestId: undefined, before, source: 'peer' })
    handleChange()
  }

  /**
   * Requests permits for an endpoint in the background, unless a request is under way or was denied.
   *
   * @param waiting requests that wait for the endpoint's service
   */
  requestPermits (endpoint: DirectEndpoint, waiting: number): void {
    const { entry } = endpoint
    const notice = this.#notices.get(entry.id, entry.bornAtMs)
    if (notice === null || notice.requestsPerSecond === null || !this.#permits.startAsking(entry)) return
    const prefetched = PREFETCH_SECONDS * notice.requestsPerSecond / this.#getFleetSize()
    const wanted = Math.min(MAX_WANTED, Math.max(1, waiting, Math.ceil(prefetched)))
    const limit = { id: entry.id, bornAtMs: entry.bornAtMs, version: notice.version, requestsPerSecond: notice.requestsPerSecond }
    this.#requestFromKeepers(entry, { gateway: this.#options.gateway, domain: entry.domain, limit, wanted }).catch(error => this.#handleError(entry, error))
  }

  /** Answers another gateway's request for permits. */
  answerRequest (request: PermitRequest): PermitAnswer {
    if (this.#isLeaving) return { kind: 'leaving' }
    this.mergeNotice(request.limit)
    return this.#decide(request, this.#findKeeper(request.domain)?.id === this.#options.gateway ? this.#options.getLoads().gatewayCount : 'askers')
  }

  /** Stops granting permits to other gateways, so that they choose another keeper. */
  startLeaving (): void {
    this.#isLeaving = true
  }

  async #requestFromKeepers (entry: EndpointEntry, request: PermitRequest): Promise<void> {
    const { clock, observer, handleAnswer } = this.#options
    const askedAt = readClock(clock)
    const { keeper, decision } = await this.#findDecision(request)
    this.#permits.recordAnswer(entry, decision, askedAt)
    observer.recordPermitAnswer(request, decision, { service: entry.service, keeper, elapsedMs: clock.getMonotonicMs() - askedAt.monotonicMs })
    handleAnswer(entry.service)
  }

  /** Ends a request for permits that failed unexpectedly, so that the next one can start. */
  #handleError (entry: EndpointEntry, error: unknown): void {
    const { clock, observer } = this.#options
    observer.recordError(error)
    this.#permits.recordAnswer(entry, { kind: 'denied', retryAfterMs: UNREACHABLE_MS }, readClock(clock))
  }

  /** Asks the keepers in order. Decides here for the gateways that it sees when it is the first of them, and for itself alone when none answers. */
  async #findDecision (request: PermitRequest): Promise<{ keeper: string, decision: GrantDecision }> {
    const { gateway, getLoads } = this.#options
    for (let keeper = this.#findKeeper(request.domain); keeper !== null; keeper = this.#findKeeper(request.domain)) {
      if (keeper.id === gateway) return { keeper: gateway, decision: this.#decide(request, getLoads().gatewayCount) }
      const answer = await this.#callKeeper(keeper, request)
      if (answer !== null) return { keeper: keeper.id, decision: answer }
    }
    return { keeper: gateway, decision: this.#decide(request, 1) }
  }

  /** Finds the keeper of the limits in a failure domain: the first choice that answered when it was last asked. */
  #findKeeper (domain: string): PeerIdentity | null {
    const { gateway, listKeepers } = this.#options
    return listKeepers(domain).find(keeper => keeper.id === gateway ? !this.#isLeaving : !this.#isUnreachable(keeper)) ?? null
  }

  /** Asks one keeper. Returns null when it does not answer or is leaving. */
  async #callKeeper (keeper: PeerIdentity, request: PermitRequest): Promise<GrantDecision | null> {
    const { clock, openClient, observer } = this.#options
    const progress = new Progress({ title: 'requesting send permits', timeoutMs: ASK_TIMEOUT_MS, signal: new AbortController().signal, clock })
    const answer = await openClient(keeper).requestPermits(request, progress)
    if (answer.isOk && answer.value.kind !== 'leaving') return answer.value
    this.#unreachableUntilMs.set(keeper.id, clock.getMonotonicMs() + UNREACHABLE_MS)
    observer.recordKeeperLost(request.limit.id, keeper.id, answer.isOk ? 'leaving' : answer.error)
    return null
  }

  /** Decides on permits, as the keeper for a number of gateways, or in its place for those that ask. */
  #decide (request: PermitRequest, keptFor: FleetState['keptFor']): GrantDecision {
    const { clock, getLoads, observer } = this.#options
    const { gateway, limit: { id, bornAtMs }, wanted } = request
    const nowMs = clock.getMonotonicMs()
    const loads = getLoads()
    const requestsPerSecond = this.#notices.getLimit(id, bornAtMs) ?? request.limit.requestsPerSecond
    const recentSends = loads.getPeerLoad(id).permittedSends + this.#permits.getRecentSends({ id, bornAtMs })
    const fleet = { recentSends, gateways: this.#getFleetSize(), keptFor }
    const decision = this.#grants.decide({ gateway, endpointId: id, bornAtMs, requestsPerSecond, wanted }, fleet, nowMs)
    observer.recordPermitDecision(request, decision, fleet)
    return decision
  }

  #isUnreachable ({ id }: PeerIdentity): boolean {
    const untilMs = this.#unreachableUntilMs.get(id)
    if (untilMs === undefined) return false
    if (this.#options.clock.getMonotonicMs() < untilMs) return true
    this.#unreachableUntilMs.delete(id)
    return false
  }

  #getFleetSize (): number {
    return this.#options.getLoads().getFleetSize(this.#options.clock.getMonotonicMs())
  }
}
