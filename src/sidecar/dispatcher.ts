import * as csp from 'js-csp'

import { RequestQueue } from '../policy/requestQueue'
import { createNotRun } from './outcomes'

import type { Clock } from '../base/clock'
import type { AttemptOutcome, EndpointLoad, NotRunReason } from '../protocol/attemptMessages'
import type { ClassDurations } from '../policy/classDurations'
import type { QueueEntry, DequeuedEntry } from '../policy/requestQueue'
import type { Attempt } from './attempt'
import type { EndpointSlots } from './endpointSlots'

const COMMAND_BUFFER = 4096
const MAX_CHECK_INTERVAL_MS = 1000
const INITIAL_RELEASE_INTERVAL_MS = 50
const RUN_TIME_QUANTILE = 0.9
const DEFAULT_RUN_TIME_MS = 1000

type DispatcherCommand =
  | { kind: 'submit', attempt: Attempt }
  | { kind: 'cancel', attemptId: string, onlyQueued: boolean }
  | { kind: 'released', attempt: Attempt, ranForMs: number }
  | { kind: 'checkQueue' }

/** Checks an attempt before it is queued and again before it is started. */
export type AdmissionCheck = (attempt: Attempt) => AttemptOutcome | null

/** Rule by which an attempt was started. A start by `share` may precede a higher tier. */
export type StartRule = DequeuedEntry['by']

export interface DispatcherOptions {
  clock: Clock
  maxQueued: number
  /** Number of requests that may run concurrently now. */
  slots: EndpointSlots
  /** Durations of answers by class; completed runs are recorded in it. */
  durations: ClassDurations
  /** Returns the guaranteed fraction of starts of a class. */
  getShare: (className: string) => number
  /** Returns the outcome that refuses the attempt, or null when it may proceed. */
  checkAdmission: AdmissionCheck
  /** Runs a started attempt to its end; never rejects. */
  run: (attempt: Attempt, rule: StartRule) => Promise<void>
}

/**
 * Manages the queue and the slots of one endpoint. All changes pass through one channel and one CSP
 * process, so that an attempt is started, cancelled or displaced exactly once.
 */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #queue: RequestQueue
  readonly #commands = csp.chan<DispatcherCommand>(csp.buffers.fixed(COMMAND_BUFFER))
  readonly #queued = new Map<string, Attempt>()
  readonly #running = new Set<Attempt>()
  #isDraining = false
  #notifyIdle: (() => void) | null = null

  constructor (options: DispatcherOptions) {
    this.#options = options
    this.#queue = new RequestQueue({
      maxQueued: options.maxQueued,
      initialReleaseIntervalMs: INITIAL_RELEASE_INTERVAL_MS
    })
    csp.spawn(this.#serveCommands())
  }

  /** Submits an attempt; it ends as not run, or runs later. */
  submit (attempt: Attempt): void {
    csp.putAsync(this.#commands, { kind: 'submit', attempt })
  }

  /** Cancels an attempt: removes it from the queue or, unless `onlyQueued` is set, aborts its run. */
  cancel (attemptId: string, options: { onlyQueued: boolean }): void {
    csp.putAsync(this.#commands, { kind: 'cancel', attemptId, onlyQueued: options.onlyQueued })
  }

  /** Re-checks the queue after slots or admission changed. */
  notifyChanged (): void {
    csp.putAsync(this.#commands, { kind: 'checkQueue' })
  }

  /** Refuses queued and new attempts; settles when no attempt is running. */
  async drain (): Promise<void> {
    this.#isDraining = true
    this.notifyChanged()
    if (this.#running.size === 0 && this.#queued.size === 0) return
    await new Promise<void>(resolve => { this.#notifyIdle = resolve })
  }

  countRunning (): number {
    return this.#running.size
  }

  listRunning (): Attempt[] {
    return [...this.#running]
  }

  getLoad (): EndpointLoad {
    const nowMs = this.#options.clock.getMonotonicMs()
    return {
      running: this.#running.size,
      slots: this.#options.slots.getLimit(),
      queuedByTier: this.#queue.countByTier(),
      waitMsByTier: this.#queue.estimateWaitMsByTier(nowMs),
      tokenIntervalMs: this.#options.slots.getTokenIntervalMs(),
      draining: this.#isDraining
    }
  }

  * #serveCommands (): Generator<unknown, void, any> {
    for (;;) {
      const timer = csp.timeout(this.#getTimerMs())
      const result: csp.AltsResult<DispatcherCommand | null> = yield csp.alts([this.#commands, timer], { priority: true })
      const nowMs = this.#options.clock.getMonotonicMs()
      if (result.channel === this.#commands && result.value !== null) this.#handle(result.value, nowMs)
      this.#checkQueue(nowMs)
    }
  }

  #handle (command: DispatcherCommand, nowMs: number): void {
    switch (command.kind) {
      case 'submit': return this.#admit(command.attempt, nowMs)
      case 'cancel': return this.#cancel(command.attemptId, command.onlyQueued)
      case 'released': return this.#release(command.attempt, command.ranForMs, nowMs)
      case 'checkQueue': return
      default: command satisfies never
    }
  }

  #admit (attempt: Attempt, nowMs: number): void {
    const refusal = this.#isDraining ? createNotRun('draining', 0) : this.#options.checkAdmission(attempt)
    if (refusal) return attempt.end(refusal)
    this.#updateSlots(nowMs)
    const decision = this.#queue.offer(this.#createEntry(attempt, nowMs), nowMs)
    switch (decision.kind) {
      case 'refused': return attempt.end(createNotRun(decision.reason, decision.retryAfterMs))
      case 'queued':
        this.#queued.set(attempt.id, attempt)
        for (const entry of decision.displaced) this.#endQueued(entry, 'displaced', nowMs)
        return
      default: decision satisfies never
    }
  }

  #cancel (attemptId: string, onlyQueued: boolean): void {
    if (this.#queue.remove(attemptId)) {
      this.#removeQueued(attemptId)?.end(createNotRun('cancelled', 0))
      return
    }
    if (onlyQueued) return
    for (const attempt of this.#running) {
      if (attempt.id === attemptId) attempt.cancel('the gateway cancelled the attempt')
    }
  }

  #release (attempt: Attempt, ranForMs: number, nowMs: number): void {
    this.#running.delete(attempt)
    if (attempt.outcome?.kind !== 'completed') return
    this.#options.durations.record(attempt.params.className, ranForMs)
    this.#queue.recordRelease({
      tier: attempt.params.tier,
      workspace: attempt.params.workspace,
      ranForMs,
      outputTokens: attempt.chunkCount
    }, nowMs)
  }

  #checkQueue (nowMs: number): void {
    this.#updateSlots(nowMs)
    for (const entry of this.#queue.collectExpired(nowMs)) this.#endQueued(entry, 'cannotMeetDeadline', nowMs)
    if (this.#isDraining) this.#refuseQueued()
    else this.#startQueued(nowMs)
    if (this.#isDraining && this.#running.size === 0) this.#notifyIdle?.()
  }

  #startQueued (nowMs: number): void {
    while (this.#running.size < this.#options.slots.getLimit()) {
      const dequeued = this.#queue.dequeue(nowMs)
      if (dequeued === null) return
      const attempt = this.#removeQueued(dequeued.entry.id)
      if (attempt === undefined) continue
      const refusal = this.#options.checkAdmission(attempt)
      if (refusal) attempt.end(refusal)
      else this.#start(attempt, dequeued.by, nowMs)
      this.#updateSlots(nowMs)
    }
  }

  #start (attempt: Attempt, rule: StartRule, nowMs: number): void {
    this.#running.add(attempt)
    this.#options.run(attempt, rule).finally(() => {
      const ranForMs = this.#options.clock.getMonotonicMs() - nowMs
      csp.putAsync(this.#commands, { kind: 'released', attempt, ranForMs })
    })
  }

  #refuseQueued (): void {
    for (const attempt of this.#queued.values()) {
      this.#queue.remove(attempt.id)
      attempt.end(createNotRun('draining', 0))
    }
    this.#queued.clear()
  }

  #endQueued (entry: QueueEntry, reason: NotRunReason, nowMs: number): void {
    const retryAfterMs = this.#queue.estimateWaitMsByTier(nowMs)[entry.tier - 1] ?? 0
    this.#removeQueued(entry.id)?.end(createNotRun(reason, retryAfterMs))
  }

  #removeQueued (attemptId: string): Attempt | undefined {
    const attempt = this.#queued.get(attemptId)
    this.#queued.delete(attemptId)
    return attempt
  }

  #updateSlots (nowMs: number): void {
    const { slots } = this.#options
    this.#queue.setSlots({ running: this.#running.size, limit: slots.getLimit(), limitByTier: slots.getLimitByTier() }, nowMs)
  }

  #getTimerMs (): number {
    const nextMs = this.#queue.getNextExpiryMs()
    if (nextMs === undefined) return MAX_CHECK_INTERVAL_MS
    return Math.min(MAX_CHECK_INTERVAL_MS, Math.max(1, nextMs - this.#options.clock.getMonotonicMs()))
  }

  /** Computes the latest feasible start. It leaves nine in ten answers of the class enough time to end before the deadline. */
  #computeLatestStartMs (attempt: Attempt, nowMs: number): number {
    const runTimeMs = this.#options.durations.getQuantile(attempt.params.className, RUN_TIME_QUANTILE, DEFAULT_RUN_TIME_MS)
    const deadlineMs = nowMs + attempt.getRemainingMs(nowMs)
    return Math.min(nowMs + attempt.params.startWithinMs, deadlineMs - runTimeMs)
  }

  #createEntry (attempt: Attempt, nowMs: number): QueueEntry {
    const { params } = attempt
    return {
      id: attempt.id,
      tier: params.tier,
      className: params.className,
      workspace: params.workspace,
      enqueuedAtMs: nowMs,
      startByMs: this.#computeLatestStartMs(attempt, nowMs),
      firstTokenDueMs: nowMs + params.firstTokenRemainingMs,
      share: this.#options.getShare(params.className)
    }
  }
}
