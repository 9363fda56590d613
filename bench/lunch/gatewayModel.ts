import { DEFAULT_RANKING_OPTIONS } from '../../src/policy/endpointRanking'
import { EndpointTable } from '../../src/policy/endpointTable'
import { OfferPlan } from '../../src/policy/offerPlan'
import { shouldMoveQueued } from '../../src/policy/queuedMove'
import { RetryBudget } from '../../src/policy/retryBudget'
import { shouldMoveStream } from '../../src/policy/streamMove'
import { finishRecord } from './requestRecord'
import { BETWEEN_TOKENS_TARGET_MS } from './trace'

import type { EndpointView } from '../../src/policy/endpointView'
import type { PlannedOffer } from '../../src/policy/offerPlan'
import type { EndpointLoad } from '../../src/protocol/attemptMessages'
import type { EventQueue } from './eventQueue'
import type { LogEntry, RequestRecord } from './requestRecord'
import type { SidecarAttempt, SidecarModel } from './sidecarModel'

/** Connections of a gateway model. */
export interface GatewayConnections {
  sidecars: Map<string, SidecarModel>
  /** Returns the load that a sidecar currently reports. It may be outdated or false. */
  readLoad: (name: string) => EndpointLoad
  latencyMs: number
  random: () => number
  log: LogEntry[]
}

interface PendingRequest {
  record: RequestRecord
  plan: OfferPlan
  current: { name: string, id: string, acceptedAtMs: number | undefined, running: boolean } | undefined
  stopTimer: () => void
}

const TARGET = 'model'

/** A gateway on the virtual clock. It uses the product's endpoint choice, move decisions and retry budget. */
export class GatewayModel {
  readonly table = new EndpointTable()
  readonly #budget = new RetryBudget()
  readonly #pending = new Set<PendingRequest>()
  readonly #events: EventQueue
  readonly #connections: GatewayConnections
  #attempts = 0

  constructor (events: EventQueue, connections: GatewayConnections) {
    this.#events = events
    this.#connections = connections
    const placements = [...connections.sidecars.values()].map(sidecar => ({ name: sidecar.engine.spec.name, domain: sidecar.engine.spec.domain, targets: [TARGET] }))
    this.table.setPlacements(placements)
  }

  submit (record: RequestRecord): void {
    const { request } = record
    this.#budget.recordRequest(request.class.name, request.class.retryRatio, this.#events.getNowMs())
    const pending: PendingRequest = { record, plan: this.#buildPlan(record), current: undefined, stopTimer: () => {} }
    pending.stopTimer = this.#events.schedule(request.class.deadlineMs, () => this.#expire(pending))
    this.#pending.add(pending)
    this.#offerNext(pending)
  }

  /** Moves streams off slow engines and queued requests to endpoints with a shorter wait, the most urgent tier first. */
  update (): void {
    const nowMs = this.#events.getNowMs()
    for (const pending of this.#pending) if (pending.record.end !== undefined) this.#pending.delete(pending)
    const byTier = [...this.#pending].sort((a, b) => a.record.request.class.tier - b.record.request.class.tier)
    for (const pending of byTier) {
      if (pending.current?.running) this.#moveStreamIfSlow(pending, nowMs)
      else this.#moveQueuedIfSooner(pending, nowMs)
    }
  }

  /** Releases a queued request when another endpoint would start it much sooner. */
  #moveQueuedIfSooner (pending: PendingRequest, nowMs: number): void {
    const { current, record } = pending
    if (current?.acceptedAtMs === undefined) return
    const waiting = { view: this.table.getView(current.name) as EndpointView, tier: record.request.class.tier, waitedMs: nowMs - current.acceptedAtMs }
    if (!shouldMoveQueued(waiting, this.table.getViews(TARGET), nowMs)) return
    current.acceptedAtMs = undefined
    this.#events.schedule(this.#connections.latencyMs, () => this.#connections.sidecars.get(current.name)?.release(current.id))
  }

  #moveStreamIfSlow (pending: PendingRequest, nowMs: number): void {
    const { current, record } = pending
    if (current === undefined || !current.running) return
    const { tier, name } = record.request.class
    const view = this.table.getView(current.name) as EndpointView
    const tokenIntervalMs = this.#connections.readLoad(current.name).tokenIntervalMs
    const stream = { view, tier, resumable: true, tokenIntervalMs, betweenTokensTargetMs: BETWEEN_TOKENS_TARGET_MS }
    if (!shouldMoveStream(stream, this.table.getViews(TARGET), nowMs) || !this.#budget.acquire(name, nowMs)) return
    current.running = false
    this.#events.schedule(this.#connections.latencyMs, () => this.#connections.sidecars.get(current.name)?.stopMovedRun(current.id))
  }

  #buildPlan ({ request }: RequestRecord): OfferPlan {
    const choice = { tier: request.class.tier, betweenTokensTargetMs: BETWEEN_TOKENS_TARGET_MS, affinity: [] }
    const times = { arrivedAtMs: request.atMs, firstTokenDueMs: request.atMs + request.class.firstTokenTargetMs, deadlineMs: request.atMs + request.class.deadlineMs }
    return new OfferPlan(choice, times, this.table.getViews(TARGET), this.#connections.random, DEFAULT_RANKING_OPTIONS)
  }

  #offerNext (pending: PendingRequest): void {
    if (pending.record.end !== undefined) return
    const offer = pending.plan.selectNext(this.#events.getNowMs())
    if (offer === null) return this.#shed(pending)
    const { name } = offer.view
    const sidecar = this.#connections.sidecars.get(name) as SidecarModel
    const attempt = this.#buildAttempt(pending, offer)
    pending.current = { name, id: attempt.id, acceptedAtMs: undefined, running: false }
    pending.record.offers += 1
    this.table.recordDispatch(name, pending.record.request.class.tier)
    this.#events.schedule(this.#connections.latencyMs, () => sidecar.offer(attempt))
  }

  #buildAttempt (pending: PendingRequest, offer: PlannedOffer): SidecarAttempt {
    const { record } = pending
    const { name } = offer.view
    const { tier } = record.request.class
    let accepted = false
    let startedAtMs = 0
    let firstTokenAtMs = 0
    return {
      id: `${record.request.id}/${this.#attempts++}`,
      record,
      tokens: record.request.tokens - record.deliveredTokens,
      startWithinMs: offer.startWithinMs,
      firstTokenWithinMs: offer.firstTokenWithinMs,
      onAccepted: () => {
        accepted = true
        if (pending.current !== undefined) pending.current.acceptedAtMs = this.#events.getNowMs()
        this.#receive(() => this.table.recordFirstReport(name, tier, this.#connections.readLoad(name), this.#events.getNowMs()))
      },
      onNotRun: (reason, retryAfterMs) => this.#receive(() => {
        if (!accepted) this.table.recordFirstReport(name, tier, reason === 'endpointUnavailable' ? null : this.#connections.readLoad(name), this.#events.getNowMs())
        this.#handleNotRun(pending, offer, reason, retryAfterMs)
      }),
      onStarted: () => {
        startedAtMs = this.#events.getNowMs()
        if (pending.current !== undefined) pending.current.running = true
      },
      onFirstToken: () => {
        firstTokenAtMs = this.#events.getNowMs()
        this.table.recordFirstToken(name, firstTokenAtMs - startedAtMs)
        record.firstTokenAtMs ??= firstTokenAtMs + this.#connections.latencyMs
      },
      onEnd: (end, generated) => this.#receive(() => {
        record.deliveredTokens += generated
        if (end === 'completed') return this.#complete(pending, name, startedAtMs)
        if (end === 'crashed') return this.#retry(pending, name)
        pending.plan.recordEndpointLost(this.#events.getNowMs())
        this.#offerNext(pending)
      })
    }
  }

  #handleNotRun (pending: PendingRequest, offer: PlannedOffer, reason: string, retryAfterMs: number): void {
    const nowMs = this.#events.getNowMs()
    const { name } = offer.view
    if (reason === 'endpointUnavailable') this.table.recordFailure(name, nowMs)
    else this.table.recordRefusal(name, pending.record.request.class.tier, retryAfterMs, nowMs)
    if (reason === 'cannotMeetDeadline') pending.plan.recordRefusal(offer, retryAfterMs, nowMs)
    if (reason === 'displaced') pending.plan.recordDisplacement(nowMs)
    this.#offerNext(pending)
  }

  #complete (pending: PendingRequest, name: string, startedAtMs: number): void {
    pending.stopTimer()
    this.table.recordAnswer(name, this.#events.getNowMs() - startedAtMs)
    this.table.recordLoad(name, this.#connections.readLoad(name), this.#events.getNowMs())
    finishRecord(pending.record, 'completed', this.#events.getNowMs())
  }

  /** Continues after the delivered tokens at another endpoint, if the retry budget of the class allows it. */
  #retry (pending: PendingRequest, name: string): void {
    this.table.recordFailure(name, this.#events.getNowMs())
    if (!this.#budget.acquire(pending.record.request.class.name, this.#events.getNowMs())) {
      pending.stopTimer()
      return finishRecord(pending.record, 'failed', this.#events.getNowMs())
    }
    pending.plan.recordEndpointLost(this.#events.getNowMs())
    this.#offerNext(pending)
  }

  #shed (pending: PendingRequest): void {
    const { record } = pending
    pending.stopTimer()
    const nowMs = this.#events.getNowMs()
    const up = [...this.#connections.sidecars.values()].filter(sidecar => sidecar.engine.isUp())
    this.#connections.log.push({ kind: 'shed', atMs: nowMs, request: record.request, upEndpoints: up.map(sidecar => sidecar.engine.spec.name) })
    finishRecord(record, 'shed', nowMs)
  }

  #expire (pending: PendingRequest): void {
    const { current, record } = pending
    finishRecord(record, 'late', this.#events.getNowMs())
    if (current === undefined) return
    this.#events.schedule(this.#connections.latencyMs, () => this.#connections.sidecars.get(current.name)?.cancel(current.id))
  }

  #receive (run: () => void): void {
    this.#events.schedule(this.#connections.latencyMs, run)
  }
}
