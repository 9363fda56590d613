import { ClassDurations } from '../../src/policy/classDurations'
import { RequestQueue } from '../../src/policy/requestQueue'
import { SlotLimiter } from '../../src/policy/slotLimiter'
import { addSpentUnits } from './requestRecord'
import { BETWEEN_TOKENS_TARGET_MS, PREFILL_UNITS } from './trace'

import type { QueueEntry } from '../../src/policy/requestQueue'
import type { EndpointLoad } from '../../src/protocol/attemptMessages'
import type { Engine, EngineRun } from './engine'
import type { EventQueue } from './eventQueue'
import type { LogEntry, QueuedCounts, RequestRecord } from './requestRecord'
import type { TraceClass } from './trace'

/** One attempt at a sidecar. The callbacks report its progress and outcome to the gateway. */
export interface SidecarAttempt {
  id: string
  record: RequestRecord
  /** Tokens still to generate, after those delivered by earlier attempts. */
  tokens: number
  /** Milliseconds until its latest feasible start. */
  startWithinMs: number
  firstTokenWithinMs: number
  onAccepted: () => void
  onNotRun: (reason: string, retryAfterMs: number) => void
  onStarted: () => void
  onFirstToken: () => void
  onEnd: (end: 'completed' | 'crashed' | 'slow', generatedTokens: number) => void
}

const RESERVED_FRACTION = 0.15
const RUN_DURATION_QUANTILE = 0.9
const INITIAL_RUN_DURATION_MS = 10_000
const MIN_RETRY_AFTER_MS = 100

/** A sidecar on the virtual clock. It puts the product's queue and slot limiter before a modelled engine. */
export class SidecarModel {
  readonly engine: Engine
  readonly queue: RequestQueue
  readonly #events: EventQueue
  readonly #log: LogEntry[]
  readonly #limiter: SlotLimiter
  readonly #attempts = new Map<string, SidecarAttempt>()
  readonly #runs = new Map<string, EngineRun>()
  readonly #durations = new ClassDurations()

  constructor (events: EventQueue, engine: Engine, log: LogEntry[]) {
    this.#events = events
    this.#log = log
    this.engine = engine
    this.queue = new RequestQueue({ maxQueued: 500, initialReleaseIntervalMs: 400 })
    this.#limiter = new SlotLimiter({ slots: engine.spec.slots, targetIntervalMs: BETWEEN_TOKENS_TARGET_MS, reservedTier: 3, reservedFraction: RESERVED_FRACTION })
  }

  getLoad (): EndpointLoad {
    return {
      running: this.#runs.size,
      slots: this.#limiter.getLimit(),
      queuedByTier: this.queue.countByTier(),
      waitMsByTier: this.queue.estimateWaitMsByTier(this.#events.getNowMs()),
      tokenIntervalMs: this.#limiter.getTokenIntervalMs(),
      draining: false
    }
  }

  /** Records the engine's token interval and starts queued attempts while slots are free. */
  update (): void {
    const nowMs = this.#events.getNowMs()
    if (this.#runs.size > 0) this.#limiter.recordTokenInterval(this.engine.getIntervalMs(), this.#runs.size, nowMs)
    this.#startNext()
  }

  offer (attempt: SidecarAttempt): void {
    const nowMs = this.#events.getNowMs()
    const { request } = attempt.record
    if (!this.engine.isUp()) return attempt.onNotRun('endpointUnavailable', MIN_RETRY_AFTER_MS)
    this.#setSlots()
    const decision = this.queue.offer(this.#buildEntry(attempt), nowMs)
    if (decision.kind === 'refused') {
      const isLastRound = attempt.startWithinMs > attempt.firstTokenWithinMs
      this.#log.push({ kind: 'refused', atMs: nowMs, endpoint: this.engine.spec.name, request, isLastRound, queued: this.#countQueued(request.class.tier) })
      return attempt.onNotRun(decision.reason, decision.retryAfterMs)
    }
    this.#attempts.set(attempt.id, attempt)
    for (const entry of decision.displaced) this.#refuseQueued(entry, 'displaced')
    attempt.onAccepted()
    this.#startNext()
  }

  /** Cancels a queued or running attempt. */
  cancel (id: string): void {
    const attempt = this.#attempts.get(id)
    if (attempt === undefined) return
    this.#attempts.delete(id)
    if (this.queue.remove(id) === undefined) this.#stopRun(id, attempt)
    this.#startNext()
  }

  /** Returns a queued attempt to its gateway, which offers it to another endpoint. */
  release (id: string): void {
    const attempt = this.#attempts.get(id)
    if (attempt === undefined || this.queue.remove(id) === undefined) return
    this.#attempts.delete(id)
    this.#recordDisplaced(attempt, 'released')
    attempt.onNotRun('displaced', MIN_RETRY_AFTER_MS)
  }

  /** Stops a run that its gateway moves to another endpoint, and reports the number of generated tokens. */
  stopMovedRun (id: string): void {
    const attempt = this.#attempts.get(id)
    const run = this.#runs.get(id)
    if (attempt === undefined || run === undefined) return
    const generated = this.engine.countTokens(run)
    this.#attempts.delete(id)
    this.#stopRun(id, attempt)
    attempt.onEnd('slow', generated)
    this.#startNext()
  }

  /** Ends all queued attempts after a crash of the endpoint. The engine ends the running ones itself. */
  handleCrash (): void {
    for (const attempt of [...this.#attempts.values()]) {
      if (this.queue.remove(attempt.id) === undefined) continue
      this.#attempts.delete(attempt.id)
      attempt.onNotRun('endpointUnavailable', MIN_RETRY_AFTER_MS)
    }
  }

  #buildEntry (attempt: SidecarAttempt): QueueEntry {
    const { request } = attempt.record
    const runMs = this.#durations.getQuantile(request.class.name, RUN_DURATION_QUANTILE, INITIAL_RUN_DURATION_MS)
    const deadlineMs = request.atMs + request.class.deadlineMs
    return {
      id: attempt.id,
      tier: request.class.tier,
      className: request.class.name,
      workspace: request.workspace,
      enqueuedAtMs: this.#events.getNowMs(),
      startByMs: Math.min(this.#events.getNowMs() + attempt.startWithinMs, deadlineMs - runMs),
      firstTokenDueMs: this.#events.getNowMs() + attempt.firstTokenWithinMs,
      share: request.class.share
    }
  }

  #setSlots (): void {
    const counts = { running: this.#runs.size, limit: this.#limiter.getLimit(), limitByTier: this.#limiter.getLimitByTier() }
    this.queue.setSlots(counts, this.#events.getNowMs())
  }

  #startNext (): void {
    const nowMs = this.#events.getNowMs()
    for (const entry of this.queue.collectExpired(nowMs)) this.#refuseQueued(entry, 'cannotMeetDeadline')
    while (this.engine.isUp()) {
      this.#setSlots()
      if (this.#runs.size >= this.#limiter.getLimit()) return
      const dequeued = this.queue.dequeue(nowMs)
      if (dequeued === null) return
      const attempt = this.#attempts.get(dequeued.entry.id) as SidecarAttempt
      this.#log.push({ kind: 'started', atMs: nowMs, endpoint: this.engine.spec.name, request: attempt.record.request, by: dequeued.by, queued: this.#countQueued(dequeued.entry.tier) })
      this.#start(attempt)
    }
  }

  #start (attempt: SidecarAttempt): void {
    const startedAtMs = this.#events.getNowMs()
    const run: EngineRun = {
      prefillUnits: PREFILL_UNITS,
      tokens: attempt.tokens,
      onFirstToken: attempt.onFirstToken,
      onEnd: end => {
        const generated = this.engine.countTokens(run)
        addSpentUnits(attempt.record, this.engine, run)
        this.#runs.delete(attempt.id)
        this.#attempts.delete(attempt.id)
        if (end === 'completed') this.#recordRelease(attempt, startedAtMs)
        attempt.onEnd(end, generated)
        this.#startNext()
      }
    }
    this.#runs.set(attempt.id, run)
    attempt.record.attempts += 1
    attempt.onStarted()
    this.engine.start(run)
  }

  #recordRelease (attempt: SidecarAttempt, startedAtMs: number): void {
    const { request } = attempt.record
    const ranForMs = this.#events.getNowMs() - startedAtMs
    this.#durations.record(request.class.name, ranForMs)
    this.queue.recordRelease({ tier: request.class.tier, workspace: request.workspace, ranForMs, outputTokens: attempt.tokens }, this.#events.getNowMs())
  }

  #refuseQueued (entry: QueueEntry, reason: 'displaced' | 'cannotMeetDeadline'): void {
    const attempt = this.#attempts.get(entry.id) as SidecarAttempt
    this.#attempts.delete(entry.id)
    this.#recordDisplaced(attempt, reason)
    attempt.onNotRun(reason, MIN_RETRY_AFTER_MS)
  }

  #recordDisplaced (attempt: SidecarAttempt, reason: 'displaced' | 'cannotMeetDeadline' | 'released'): void {
    const { request } = attempt.record
    this.#log.push({ kind: 'displaced', atMs: this.#events.getNowMs(), endpoint: this.engine.spec.name, request, reason, queued: this.#countQueued(request.class.tier) })
  }

  /** Counts queued requests by the attempts of this model, independently of the queue under test. */
  #countQueued (tier: number): QueuedCounts {
    const byClass = new Map<TraceClass, number>()
    for (const { id, record } of this.#attempts.values()) {
      if (!this.#runs.has(id)) byClass.set(record.request.class, (byClass.get(record.request.class) ?? 0) + 1)
    }
    const counts = { higherTier: 0, lowerTierBeyondShare: 0 }
    for (const [cls, count] of byClass) {
      if (cls.tier < tier) counts.higherTier += count
      if (cls.tier > tier) counts.lowerTierBeyondShare += cls.share > 0 ? count - 1 : count
    }
    return counts
  }

  #stopRun (id: string, attempt: SidecarAttempt): void {
    const run = this.#runs.get(id)
    if (run === undefined) return
    this.#runs.delete(id)
    addSpentUnits(attempt.record, this.engine, run)
    this.engine.cancel(run)
  }
}
