import { mkdirSync } from 'node:fs'
import { setTimeout as waitFor } from 'node:timers/promises'

import { createSeededRandom } from '../standins/shared/seededRandom'
import { PLAIN_MANNER } from './callerManner'
import { FaultHistory } from './faultHistory'
import { FaultInjector } from './faultInjector'
import { buildPatientRequest } from './patientCaller'
import { SoakCaller } from './soakCaller'
import { SoakChecker } from './soakChecker'
import { SoakFleet } from './soakFleet'
import { buildSoakPlan, FINAL_PHASE_MS } from './soakPlan'
import { parseEvents } from './soakRequests'

import type { CallerOutcome } from './soakCaller'
import type { SoakGateway } from './soakGateway'
import type { SoakBounds, SoakFinding } from './soakChecker'
import type { PlannedAction } from './soakPlan'
import type { SoakRequest } from './soakRequests'

export interface SoakOptions {
  seed: number
  durationMs: number
  gateways: number
  endpoints: number
  callers: number
  /** Whether to play disturbed stops alone; false by default. */
  hasStopsAlone?: boolean
  /** Folder for the settings, logs and clocks of the processes. */
  folder: string
  /** Path of the built gateway; `target/gateway.cjs` by default. */
  program?: string
  /** Called with a line for each finding and each action as it happens. */
  report: (line: string) => void
}

export interface SoakSummary {
  findings: SoakFinding[]
  requests: number
  /** Number of requests by outcome. */
  ends: Record<string, number>
  actions: number
}

/** Bounds that the users' current sites require. */
const BOUNDS: SoakBounds = { reconnectMs: 3000, configApplyMs: 2000, rollbackSlackMs: 250, revocationMs: 5000, drainMs: 2000, lossSlackMs: 200, stopSeconds: 8 }
const DEFAULT_PROGRAM = 'target/gateway.cjs'
const MEAN_THINK_TIME_MS = 120
/** Number of patient callers for each other caller. */
const PATIENT_FRACTION = 1 / 2
/** Keeps the random numbers of patient callers apart from all others. */
const PATIENT_SEED_OFFSET = 11_000_000
const PATIENT_SEED_STRIDE = 1000
/** Their large answers pass through the soak's own process, which must not become late. */
const MAX_PATIENT_CALLERS = 24
const READINESS_POLL_MS = 300
const LAG_CHECK_PERIOD_MS = 50
/** Largest delay of the soak's own timers with which its time measurements still count. */
const MAX_LAG_MS = 100
/** Fraction of the requests in the final phase that must be served successfully. */
const MIN_SERVED_FRACTION = 0.9
/** Time without faults after which requests count for the recovery check. */
const RECOVERY_GRACE_MS = 4000
const START_TIMEOUT_MS = 15_000
/** Shortest time left in which a caller takes up a stream. */
const MIN_RESUME_MS = 200

/**
 * Runs one seeded soak. Real gateway processes run behind proxies while callers send requests continuously.
 * A seeded plan injects faults and planned work, and a checker verifies what callers and endpoints observed.
 */
export async function runSoak (options: SoakOptions): Promise<SoakSummary> {
  mkdirSync(options.folder, { recursive: true })
  return await new Soak(options).run()
}

class Soak {
  readonly #options: SoakOptions
  readonly #random: () => number
  readonly #faultHistory = new FaultHistory()
  readonly #fleet: SoakFleet
  readonly #checker: SoakChecker
  readonly #injector: FaultInjector
  readonly #summary: SoakSummary = { findings: [], requests: 0, ends: {}, actions: 0 }
  readonly #recoveryCounts = { asked: 0, served: 0 }
  #startedAtMs = 0
  #isOver = false

  constructor (options: SoakOptions) {
    this.#options = options
    this.#random = createSeededRandom(options.seed + 1)
    const { gateways, endpoints, folder, program = DEFAULT_PROGRAM } = options
    this.#fleet = new SoakFleet({
      gateways,
      endpoints,
      folder,
      program,
      bounds: BOUNDS,
      handleRun: run => this.#checker.handleRun(run),
      handleArrival: arrival => this.#checker.handleArrival(arrival),
      handleUnexpectedExit: message => this.#checker.report('endedByItself', message),
      handleSignal: sent => this.#checker.handleSignal(sent)
    })
    this.#checker = new SoakChecker({
      bounds: BOUNDS,
      operator: this.#fleet.operator,
      faultHistory: this.#faultHistory,
      findEndpoint: id => this.#fleet.findEndpoint(id),
      handleFinding: finding => this.#addFinding(finding)
    })
    this.#injector = new FaultInjector({
      fleet: this.#fleet,
      faultHistory: this.#faultHistory,
      bounds: BOUNDS,
      report: (kind, message) => this.#checker.report(kind, message)
    })
  }

  async run (): Promise<SoakSummary> {
    const { durationMs, callers } = this.#options
    try {
      await this.#fleet.open()
      await this.#waitUntilReady()
      this.#startedAtMs = performance.now()
      const watching = [this.#watchReadiness(), this.#watchEventLoopLag()]
      const calling = Array.from({ length: callers }, async (_, index) => await this.#runCaller(index))
      const patient = Array.from({ length: Math.min(MAX_PATIENT_CALLERS, Math.ceil(callers * PATIENT_FRACTION)) }, async (_, index) => await this.#runPatientCaller(index))
      await this.#playPlan(buildSoakPlan(this.#options))
      await this.#injector.waitForAll()
      await waitFor(Math.max(FINAL_PHASE_MS, durationMs - this.#getElapsedMs()))
      this.#isOver = true
      await Promise.all([...calling, ...patient, ...watching])
      this.#checkRecovery()
      this.#reportLogLines()
    } finally {
      this.#isOver = true
      await this.#fleet.close()
    }
    return this.#summary
  }

  async #waitUntilReady (): Promise<void> {
    const untilMs = performance.now() + START_TIMEOUT_MS
    while (!this.#fleet.gateways.every(gateway => gateway.isReady)) {
      if (performance.now() > untilMs) throw new Error(`not all gateways became ready within ${START_TIMEOUT_MS} ms; see their logs in ${this.#options.folder}`)
      await Promise.all(this.#fleet.gateways.map(async gateway => await gateway.updateReadiness()))
      await waitFor(LAG_CHECK_PERIOD_MS)
    }
  }

  async #playPlan (plan: PlannedAction[]): Promise<void> {
    for (const { atMs, action } of plan) {
      const remainingMs = atMs - this.#getElapsedMs()
      if (remainingMs > 0) await waitFor(remainingMs)
      this.#options.report(`${this.#formatTime()} ${JSON.stringify(action)}`)
      this.#summary.actions += 1
      this.#injector.start(action)
    }
  }

  async #runCaller (index: number): Promise<void> {
    const caller = new SoakCaller()
    for (let count = 0; !this.#isOver; count++) {
      await waitFor(this.#random() * 2 * MEAN_THINK_TIME_MS)
      const gateway = this.#chooseGateway(index)
      if (gateway === null) continue
      await this.#sendRequest(caller, index, gateway, this.#buildRequest(`s${this.#options.seed}-c${index}-${count}`))
    }
    caller.close()
  }

  /** Runs a caller that uses one gateway alone, ready or not, until its process is gone. */
  async #runPatientCaller (index: number): Promise<void> {
    const { seed, durationMs } = this.#options
    const random = createSeededRandom(PATIENT_SEED_OFFSET + PATIENT_SEED_STRIDE * seed + index)
    const caller = new SoakCaller()
    const gateway = this.#fleet.gateways[index % this.#fleet.gateways.length]!
    for (let count = 0; !this.#isOver; count++) {
      await waitFor(random() * 2 * MEAN_THINK_TIME_MS)
      const canBeLong = this.#getElapsedMs() < durationMs - FINAL_PHASE_MS
      const request = buildPatientRequest({ requestId: `s${seed}-p${index}-${count}`, canBeLong, ...this.#fleet.operator.chooseKey(random) }, random)
      if (gateway.isRunning) await this.#sendRequest(caller, index, gateway, request)
    }
    caller.close()
  }

  /** Takes up a stream that broke off, at any gateway, while its caller still has time. */
  async #resumeStream (caller: SoakCaller, index: number, request: SoakRequest, body: string, remainingMs: number): Promise<void> {
    const last = parseEvents(body).at(-1)
    const gateway = this.#chooseGateway(index + 1)
    if (request.kind !== 'stream' || remainingMs < MIN_RESUME_MS || last === undefined || last.id >= request.events || gateway === null || this.#isOver) return
    const resumed = { originId: request.resumed?.originId ?? request.requestId, lastEventId: last.id, version: last.version }
    await this.#sendRequest(caller, index, gateway, { ...request, requestId: `${request.requestId}-r`, deadlineMs: Math.round(remainingMs), disconnectAfterMs: null, resumed })
  }

  async #sendRequest (caller: SoakCaller, index: number, gateway: SoakGateway, request: SoakRequest): Promise<void> {
    const sent = { request, gateway: gateway.index, epoch: gateway.epoch, sentAtMs: performance.now() }
    const isInRecoveryPhase = this.#isOver || this.#isRecoveryPhase(sent.sentAtMs)
    this.#checker.handleSent(sent)
    const end = await caller.send(request.manner.isDirect ? gateway.callersAddress : gateway.callerProxy.address, request)
    this.#checker.handleResult({ ...sent, endedAtMs: performance.now(), end })
    const name = describeOutcome(end)
    this.#summary.requests += 1
    this.#summary.ends[name] = (this.#summary.ends[name] ?? 0) + 1
    if (end.kind === 'broken') await this.#resumeStream(caller, index, request, end.body, request.deadlineMs - (performance.now() - sent.sentAtMs))
    if (!isInRecoveryPhase || request.manner !== PLAIN_MANNER || request.resumed !== null || request.disconnectAfterMs !== null || request.routeVersion !== null || request.keyVersion !== null) return
    this.#recoveryCounts.asked += 1
    if (end.kind === 'answered' && end.status < 300) this.#recoveryCounts.served += 1
  }

  /** Returns whether a moment lies in the final phase, with no fault during the grace period before it. */
  #isRecoveryPhase (atMs: number): boolean {
    const scopes = [{ kind: 'store' } as const, { kind: 'endpoints' } as const, { kind: 'limits' } as const, ...this.#fleet.gateways.map(({ index }) => ({ kind: 'gateway', index } as const))]
    const isFinalPhase = this.#summary.actions > 0 && atMs - this.#startedAtMs > this.#options.durationMs - FINAL_PHASE_MS
    return isFinalPhase && this.#faultHistory.isUndisturbed(scopes, atMs - RECOVERY_GRACE_MS, atMs)
  }

  /** Chooses a gateway. A caller keeps its own gateway while that is ready, and uses it half of the time while it runs unready. */
  #chooseGateway (index: number): SoakGateway | null {
    const { gateways } = this.#fleet
    const own = gateways[index % gateways.length]!
    if (own.isRunning && (own.isReady || this.#random() < 0.5)) return own
    const ready = gateways.filter(gateway => gateway.isReady)
    return ready[Math.floor(this.#random() * ready.length)] ?? null
  }

  #buildRequest (requestId: string): SoakRequest {
    const { operator } = this.#fleet
    const random = this.#random
    const draw = random()
    const events = 2 + Math.floor(random() * 20)
    const { key, workspace } = operator.chooseKey(random)
    const common = { requestId, key, workspace, keyVersion: null, routeVersion: null, events: 0, body: '', method: 'GET' as const, resumed: null, deadlineMs: 1000 + Math.floor(random() * 1500), disconnectAfterMs: random() < 0.05 ? random() * 300 : null, manner: PLAIN_MANNER }
    if (draw < 0.3) return { ...common, kind: 'stream', target: `/stream/x?events=${events}`, events, method: 'POST', body: `prompt of ${requestId}`, deadlineMs: 3000 }
    if (draw < 0.55) return { ...common, kind: 'once', target: '/once/x', method: 'POST', body: `order ${requestId}` }
    if (draw < 0.75) return { ...common, kind: 'read', target: '/read/x' }
    const version = Math.max(1, operator.current - Math.floor(random() * 4))
    if (draw < 0.9) return { ...common, kind: 'versioned', target: `/v${version}/x`, routeVersion: version }
    return { ...common, kind: 'read', target: '/read/x', key: `key-v${version}`, workspace: operator.versionedWorkspace, keyVersion: version }
  }

  async #watchReadiness (): Promise<void> {
    while (!this.#isOver) {
      await Promise.all(this.#fleet.gateways.map(async gateway => await gateway.updateReadiness()))
      await waitFor(READINESS_POLL_MS)
    }
  }

  async #watchEventLoopLag (): Promise<void> {
    while (!this.#isOver) {
      const fromMs = performance.now()
      await waitFor(LAG_CHECK_PERIOD_MS)
      const untilMs = performance.now()
      if (untilMs - fromMs > LAG_CHECK_PERIOD_MS + MAX_LAG_MS) {
        this.#faultHistory.recordStall(fromMs, untilMs)
        this.#options.report(`${this.#formatTime()} the soak's own event loop stalled for ${Math.round(untilMs - fromMs)} ms`)
      }
    }
  }

  #checkRecovery (): void {
    const { asked, served } = this.#recoveryCounts
    if (asked > 0 && served < MIN_SERVED_FRACTION * asked) this.#checker.report('notRecovered', `only ${served} of ${asked} requests were served after all faults had ended`)
    if (asked === 0) this.#checker.report('notRecovered', 'no request was sent after all faults had ended')
  }

  #addFinding (finding: SoakFinding): void {
    this.#summary.findings.push(finding)
    this.#options.report(`${this.#formatTime()} FINDING ${finding.kind}: ${finding.message}`)
  }

  /** Reports what the logs of the gateways say of the requests that were lost. */
  #reportLogLines (): void {
    for (const { lost } of this.#summary.findings) {
      if (lost === null) continue
      this.#options.report(`log of gateway ${lost.gateway} about ${lost.requestId}: ${this.#fleet.gateways[lost.gateway]!.readNotWholeLine(lost.requestId) ?? 'no line replyNotWhole'}`)
    }
  }

  #getElapsedMs (): number {
    return performance.now() - this.#startedAtMs
  }

  #formatTime (): string {
    return `${(this.#getElapsedMs() / 1000).toFixed(2).padStart(8)} s`
  }
}

function describeOutcome (end: CallerOutcome): string {
  switch (end.kind) {
    case 'answered': return `answered ${end.status}`
    case 'broken': return `broken: ${end.message}`
    case 'left':
    case 'unanswered': return end.kind
  }
}
