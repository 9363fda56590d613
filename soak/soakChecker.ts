import { describeManner } from './callerManner'
import { LimitChecker } from './limitChecker'
import { isLost } from './lossRule'
import { buildAnswer, buildEvent, isIdempotent, parseEvents } from './soakRequests'

import type { CallerOutcome, CallerResult } from './soakCaller'
import type { FaultHistory, FaultScope } from './faultHistory'
import type { LimitedArrival } from './limitChecker'
import type { PlannedSignals } from './lossRule'
import type { SoakEndpoint, SoakRun } from './soakEndpoint'
import type { SentSignal } from './soakGateway'
import type { SoakOperator } from './soakOperator'
import type { SoakRequest } from './soakRequests'

/** Kind of a violated guarantee. */
export type SoakFindingKind =
  | 'wrongAnswer' | 'duplicateRun' | 'ranThoughNotRun' | 'wrongWorkspace' | 'alteredRequest' | 'removedKeyUsed'
  | 'drainedEndpointUsed' | 'staleConfig' | 'configWentBack' | 'noAnswer' | 'lostAnswer' | 'slowStop' | 'endedByItself'
  | 'notRecovered' | 'limitExceeded' | 'mixedVersions'
  /** The soak itself failed, so its run says nothing about the product. */
  | 'soakFailed'

export interface SoakFinding {
  kind: SoakFindingKind
  atMs: number
  message: string
  /** The request that was lost, and the gateway to which it was sent; null for other findings. */
  lost: { requestId: string, gateway: number } | null
}

/** Time bounds that users require, in milliseconds unless named otherwise. */
export interface SoakBounds {
  reconnectMs: number
  configApplyMs: number
  rollbackSlackMs: number
  revocationMs: number
  drainMs: number
  lossSlackMs: number
  stopSeconds: number
}

export interface SoakCheckerOptions {
  bounds: SoakBounds
  operator: SoakOperator
  faultHistory: FaultHistory
  findEndpoint: (id: string) => SoakEndpoint
  handleFinding: (finding: SoakFinding) => void
}

/** A request in flight and the gateway process to which it was sent. */
export interface SentRequest {
  request: SoakRequest
  gateway: number
  epoch: number
  sentAtMs: number
}

const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])
/** Statuses of an unknown route or key. */
const UNKNOWN_ROUTE_OR_KEY_STATUSES = new Set([401, 403, 404])
/** Time for which a finished request is kept, to detect whether it runs again after its end. */
const REQUEST_RETENTION_MS = 60_000
/** Largest delay with which this process may notice an event. */
const DETECTION_MARGIN_MS = 100
/** Time before the end of a request in which signals are named with it. */
const RECENT_SIGNAL_MS = 10_000

/** Checks a soak while it runs, using only what callers and endpoints observed. */
export class SoakChecker {
  readonly #options: SoakCheckerOptions
  readonly #sent = new Map<string, SentRequest>()
  readonly #runs = new Map<string, SoakRun[]>()
  readonly #ends = new Map<string, CallerOutcome>()
  readonly #expired = new Set<string>()
  /** Newest configuration version observed at each gateway process, and when it was first observed. */
  readonly #observedVersions = new Map<string, { version: number, atMs: number }>()
  readonly #signals = new Map<string, PlannedSignals>()
  readonly #limits: LimitChecker

  constructor (options: SoakCheckerOptions) {
    this.#options = options
    this.#limits = new LimitChecker({
      faultHistory: options.faultHistory,
      reconnectMs: options.bounds.reconnectMs,
      findGateway: requestId => this.#sent.get(requestId)?.gateway ?? null,
      report: message => this.#report('limitExceeded', message)
    })
  }

  handleSent (sent: SentRequest): void {
    this.#sent.set(sent.request.requestId, sent)
  }

  handleArrival (arrival: LimitedArrival): void {
    this.#limits.handleArrival(arrival)
  }

  handleSignal ({ signal, atMs, ...process }: SentSignal): void {
    const signals = this.#getSignals(process)
    this.#signals.set(toProcessKey(process), {
      stoppedAtMs: signals.stoppedAtMs ?? (signal === 'SIGTERM' ? atMs : null),
      reloadedAtMs: signal === 'SIGHUP' ? atMs : signals.reloadedAtMs,
      all: [...signals.all, { signal, atMs }]
    })
  }

  handleRun (run: SoakRun): void {
    const sent = this.#sent.get(run.requestId)
    if (sent === undefined && this.#expired.has(run.requestId)) return
    if (sent === undefined) return this.#report('alteredRequest', `${run.endpointId} ran '${run.requestId}', which no caller sent`)
    const runs = [...this.#runs.get(run.requestId) ?? [], run]
    this.#runs.set(run.requestId, runs)
    this.#checkRequest(run, sent)
    if (runs.length > 1 && !isIdempotent(sent.request)) this.#report('duplicateRun', `${describeSent(sent)} ran at ${runs.map(each => each.endpointId).join(' and ')}`)
    this.#checkNotRun(sent)
    this.#checkRemoved(sent)
    this.#checkDrained(run, sent)
    if (sent.request.routeVersion !== null) this.#recordObservedVersion(sent, sent.request.routeVersion, run.startedAtMs)
  }

  handleResult (result: CallerResult): void {
    const { requestId } = result.request
    this.#ends.set(requestId, result.end)
    if (result.end.kind === 'answered' || result.end.kind === 'broken') this.#checkVersions(result, result.end.body)
    switch (result.end.kind) {
      case 'answered':
        this.#checkAnswer(result, result.end)
        this.#checkNotRun(result)
        this.#checkUnknownStatus(result, result.end.status)
        break
      case 'broken':
        this.#checkBroken(result, result.end)
        break
      case 'unanswered':
        if (this.#isUndisturbed([toScope(result)], result)) this.#report('noAnswer', `${describeSent(result)} was still unanswered ${Math.round(result.endedAtMs - result.sentAtMs)} ms after it was sent`)
        break
      case 'left': break
    }
    setTimeout(() => this.#dropRequest(requestId), REQUEST_RETENTION_MS).unref()
  }

  report (kind: SoakFindingKind, message: string): void {
    this.#report(kind, message)
  }

  #checkRequest (run: SoakRun, { request }: SentRequest): void {
    if (run.method !== request.method || run.target !== request.target || run.body !== request.body) this.#report('alteredRequest', `${run.requestId} reached ${run.endpointId} altered, as ${run.method} ${run.target}`)
    if (run.workspace !== request.workspace) this.#report('wrongWorkspace', `${run.requestId} of workspace '${request.workspace}' reached ${run.endpointId} as workspace '${run.workspace}'`)
    if (run.hasKey) this.#report('wrongWorkspace', `${run.endpointId} received the API key of ${run.requestId}`)
  }

  #checkNotRun (sent: SentRequest): void {
    const end = this.#ends.get(sent.request.requestId)
    if (end?.kind !== 'answered' || !NOT_RUN_STATUSES.has(end.status) || isIdempotent(sent.request)) return
    const [run] = this.#runs.get(sent.request.requestId) ?? []
    if (run !== undefined) this.#report('ranThoughNotRun', `${describeSent(sent)} was answered ${end.status} but ran at ${run.endpointId}`)
  }

  /** Checks that a removed key is refused by every gateway and a removed route by every undisturbed one. */
  #checkRemoved (sent: SentRequest): void {
    const { operator, bounds } = this.#options
    const { request, sentAtMs } = sent
    const keyRemovedAtMs = request.keyVersion === null ? null : operator.getRemovedAtMs(request.keyVersion)
    if (keyRemovedAtMs !== null && sentAtMs > keyRemovedAtMs + bounds.revocationMs) {
      this.#report('removedKeyUsed', `${describeSent(sent)} ran ${Math.round(sentAtMs - keyRemovedAtMs)} ms after its key was removed`)
    }
    if (request.routeVersion === null) return
    const routeRemovedAtMs = operator.getRemovedAtMs(request.routeVersion)
    const isLate = routeRemovedAtMs !== null && sentAtMs > routeRemovedAtMs + bounds.configApplyMs + DETECTION_MARGIN_MS
    if (isLate && this.#isUndisturbed([toScope(sent), { kind: 'store' }], sent)) this.#report('staleConfig', `${describeSent(sent)} ran ${Math.round(sentAtMs - routeRemovedAtMs)} ms after its route was removed`)
    const seen = this.#getObservedVersion(sent)
    if (seen !== null && seen.version >= request.routeVersion + 2) this.#report('configWentBack', `${describeSent(sent)} ran by version ${request.routeVersion} after version ${seen.version} was observed there`)
  }

  #checkDrained (run: SoakRun, sent: SentRequest): void {
    const { findEndpoint, bounds } = this.#options
    const { drainStartedAtMs } = findEndpoint(run.endpointId)
    const isLate = drainStartedAtMs !== null && sent.sentAtMs > drainStartedAtMs + bounds.drainMs + DETECTION_MARGIN_MS
    if (isLate && this.#isUndisturbed([toScope(sent), { kind: 'store' }, { kind: 'endpoints' }], sent)) {
      this.#report('drainedEndpointUsed', `${describeSent(sent)} reached ${run.endpointId} ${Math.round(run.startedAtMs - drainStartedAtMs)} ms after it started to drain`)
    }
  }

  #checkAnswer (result: CallerResult, end: Extract<CallerOutcome, { kind: 'answered' }>): void {
    const { request } = result
    if (end.status >= 300) return
    const expected = request.kind === 'stream' ? buildEvents(request, end.body) : buildAnswer(request.requestId, request.target, request.body)
    if (!end.isSigned || end.body !== expected) this.#report('wrongAnswer', `${describeSent(result)} received the ${end.isSigned ? '' : 'unsigned '}answer '${end.body.slice(0, 60)}'`)
    if (request.routeVersion !== null) this.#recordObservedVersion(result, request.routeVersion, result.endedAtMs)
  }

  /** Checks that a stream, over all the attempts of its caller, holds events of one software version. */
  #checkVersions (result: CallerResult, body: string): void {
    const { resumed } = result.request
    const versions = new Set([...resumed === null ? [] : [resumed.version], ...parseEvents(body).map(({ version }) => version)])
    if (versions.size > 1) this.#report('mixedVersions', `${describeSent(result)} received events of ${[...versions].join(' and ')}${resumed === null ? '' : `, after ${resumed.originId}`}`)
  }

  /** Checks that no current route or key was answered as unknown. */
  #checkUnknownStatus (result: CallerResult, status: number): void {
    if (!UNKNOWN_ROUTE_OR_KEY_STATUSES.has(status)) return
    const { operator, bounds } = this.#options
    const { request, sentAtMs } = result
    const newest = Math.max(request.keyVersion ?? 0, request.routeVersion ?? 0)
    const oldest = Math.min(request.keyVersion ?? Infinity, request.routeVersion ?? Infinity)
    if (Number.isFinite(oldest) && operator.getRemovedAtMs(oldest) !== null) return
    const isDue = newest === 0 || sentAtMs > operator.getAcknowledgedAtMs(newest) + bounds.configApplyMs + DETECTION_MARGIN_MS
    if (newest === 0 || (isDue && this.#isUndisturbed([toScope(result), { kind: 'store' }], result))) this.#report('staleConfig', `${describeSent(result)} was answered ${status}, although version ${newest} allows it`)
    const seen = this.#getObservedVersion(result)
    if (seen !== null && newest > 0 && seen.version >= newest) this.#report('configWentBack', `${describeSent(result)} was answered ${status} after version ${seen.version} was observed there`)
  }

  /**
   * Checks a request whose connection broke. A caller must never receive malformed HTTP, and neither planned work
   * nor a pause of the gateway's process may lose a request.
   */
  #checkBroken (result: CallerResult, { message, lastByteSentAtMs }: Extract<CallerOutcome, { kind: 'broken' }>): void {
    if (message.startsWith('Parse Error')) this.#report('wrongAnswer', `${describeSent(result)} received malformed HTTP: ${message}`)
    const { bounds, faultHistory } = this.#options
    const { request, sentAtMs, endedAtMs, gateway } = result
    const { requestId, deadlineMs } = request
    const runs = this.#runs.get(requestId) ?? []
    const signals = this.#getSignals(result)
    const fromMs = sentAtMs - bounds.reconnectMs
    const hasPause = !faultHistory.isUndisturbedButForPauses([{ kind: 'pause', index: gateway }], fromMs, endedAtMs)
    if (!isLost({ sentAtMs, lastByteSentAtMs, endedAtMs, deadlineMs, runs, hasPause, signals }, bounds)) return
    const scopes: FaultScope[] = [toScope(result), { kind: 'endpoints' }]
    // an impairment of the store alone excuses nothing for requests that are no streams
    if (request.kind === 'stream') scopes.push({ kind: 'store' })
    if (!faultHistory.isUndisturbedButForPauses(scopes, fromMs, endedAtMs)) return
    const run = runs.at(-1)
    const where = run === undefined ? 'ran nowhere' : `ran at ${run.endpointId}`
    this.#report('lostAnswer', `${describeSent(result)} ${describeBodyForm(request)}, ${where}, but its caller's connection broke (${message}); ${describeTimes(result, lastByteSentAtMs, signals)}`, { requestId, gateway })
  }

  #getSignals (process: Pick<SentRequest, 'gateway' | 'epoch'>): PlannedSignals {
    return this.#signals.get(toProcessKey(process)) ?? { stoppedAtMs: null, reloadedAtMs: null, all: [] }
  }

  #recordObservedVersion (sent: SentRequest, version: number, atMs: number): void {
    const key = toProcessKey(sent)
    const known = this.#observedVersions.get(key)
    if (known === undefined || version > known.version) this.#observedVersions.set(key, { version, atMs })
  }

  /** Gets the newest version that was observed at least `rollbackSlackMs` before a request was sent. */
  #getObservedVersion (sent: SentRequest): { version: number } | null {
    const seen = this.#observedVersions.get(toProcessKey(sent))
    return seen !== undefined && sent.sentAtMs > seen.atMs + this.#options.bounds.rollbackSlackMs ? seen : null
  }

  #isUndisturbed (scopes: readonly FaultScope[], { sentAtMs }: SentRequest, untilMs = performance.now()): boolean {
    return this.#options.faultHistory.isUndisturbed(scopes, sentAtMs - this.#options.bounds.reconnectMs, untilMs)
  }

  #dropRequest (requestId: string): void {
    this.#expired.add(requestId)
    this.#sent.delete(requestId)
    this.#runs.delete(requestId)
    this.#ends.delete(requestId)
  }

  #report (kind: SoakFindingKind, message: string, lost: SoakFinding['lost'] = null): void {
    this.#options.handleFinding({ kind, message, lost, atMs: performance.now() })
  }
}

/** Builds the expected events of a stream, with the versions of those that were received. */
function buildEvents (request: SoakRequest, body: string): string {
  const first = 1 + (request.resumed?.lastEventId ?? 0)
  const received = parseEvents(body)
  return Array.from({ length: request.events + 1 - first }, (_, position) => buildEvent(request.requestId, first + position, received[position]?.version ?? '')).join('')
}

function toScope ({ gateway }: SentRequest): FaultScope {
  return { kind: 'gateway', index: gateway }
}

function toProcessKey ({ gateway, epoch }: Pick<SentRequest, 'gateway' | 'epoch'>): string {
  return `${gateway}.${epoch}`
}

function describeSent ({ request, gateway, epoch }: SentRequest): string {
  return `${request.requestId} (${request.kind} ${request.target}) by gateway ${gateway}, process ${epoch},`
}

function describeBodyForm ({ method, manner }: SoakRequest): string {
  return method === 'POST' ? describeManner(manner) : 'no body'
}

/** Describes when a request was sent and ended, counted from the signals to its process where there were any. */
function describeTimes ({ sentAtMs, endedAtMs }: CallerResult, lastByteSentAtMs: number | null, { stoppedAtMs, reloadedAtMs, all }: PlannedSignals): string {
  const describeFrom = (originMs: number, origin: string): string => {
    const [sent, lastByte, ended] = [sentAtMs, lastByteSentAtMs, endedAtMs].map(atMs => atMs === null ? 'never' : `${((atMs - originMs) / 1000).toFixed(3)} s`)
    return `from ${origin}: sent ${sent}, last byte ${lastByte}, ended ${ended}`
  }
  const recent = all.filter(({ atMs }) => endedAtMs - atMs < RECENT_SIGNAL_MS)
  const times = [
    ...stoppedAtMs === null ? [] : [describeFrom(stoppedAtMs, 'SIGTERM')],
    ...reloadedAtMs === null ? [] : [describeFrom(reloadedAtMs, 'SIGHUP')],
    ...recent.length === 0 ? [] : [`before the end: ${recent.map(({ signal, atMs }) => `${signal} ${((endedAtMs - atMs) / 1000).toFixed(3)} s`).join(', ')}`]
  ]
  return times.length > 0 ? times.join('; ') : describeFrom(sentAtMs, 'its start')
}
