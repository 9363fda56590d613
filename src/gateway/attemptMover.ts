import { shouldMoveQueued } from '../policy/queuedMove'
import { shouldMoveStream } from '../policy/streamMove'

import type { Clock } from '../base/clock'
import type { EndpointTable } from '../policy/endpointTable'
import type { EndpointView } from '../policy/endpointView'
import type { Tier } from '../protocol/tiers'

/** Whether an accepted attempt is queued or running. */
export type AttemptStatus = { kind: 'queued', sinceMs: number } | { kind: 'running' }

/** An attempt that may be moved to another endpoint. */
export interface MovableAttempt {
  endpointName: string
  /** Model or service that the request asks for, as named in the endpoint table. */
  targetName: string
  tier: Tier
  className: string
  betweenTokensTargetMs: number
  /** Whether another endpoint can continue the answer from the text delivered so far. */
  resumable: boolean
  /** Returns whether the attempt is queued or running; null before it was accepted and once it is being moved. */
  getStatus (): AttemptStatus | null
  /** Returns the smoothed milliseconds between the tokens of the attempt. */
  getTokenIntervalMs (): number
  /** Cancels the attempt if its status has not advanced, so that its request is offered again. */
  move (status: 'queued' | 'running'): void
}

export interface AttemptMoverOptions {
  clock: Clock
  table: EndpointTable
  /** Acquires one retry from the class's budget; returns false when none is left. */
  acquireRetry: (className: string) => boolean
}

const CHECK_INTERVAL_MS = 250

/**
 * Moves queued attempts to endpoints that would start them much sooner, and streams from endpoints that
 * became slow to others with free capacity.
 */
export class AttemptMover {
  readonly #options: AttemptMoverOptions
  readonly #attempts = new Set<MovableAttempt>()
  #timer: NodeJS.Timeout | null = null

  constructor (options: AttemptMoverOptions) {
    this.#options = options
  }

  start (): void {
    this.#timer = setInterval(() => this.checkAttempts(), CHECK_INTERVAL_MS)
  }

  stop (): void {
    if (this.#timer) clearInterval(this.#timer)
  }

  add (attempt: MovableAttempt): void {
    this.#attempts.add(attempt)
  }

  remove (attempt: MovableAttempt): void {
    this.#attempts.delete(attempt)
  }

  /** Checks all open attempts once, the most urgent tier first. */
  checkAttempts (): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const byTier = [...this.#attempts].sort((one, other) => one.tier - other.tier)
    for (const attempt of byTier) {
      const status = attempt.getStatus()
      if (status !== null && this.#shouldMove(attempt, status, nowMs)) attempt.move(status.kind)
    }
  }

  #shouldMove (attempt: MovableAttempt, status: AttemptStatus, nowMs: number): boolean {
    const { table, acquireRetry } = this.#options
    const view = table.getView(attempt.endpointName)
    if (view === undefined) return false
    const candidates = table.getViews(attempt.targetName)
    switch (status.kind) {
      case 'queued': return shouldMoveQueued({ view, tier: attempt.tier, waitedMs: nowMs - status.sinceMs }, candidates, nowMs)
      case 'running': return shouldMoveStream(toRunningStream(attempt, view), candidates, nowMs) && acquireRetry(attempt.className)
      default: return status satisfies never
    }
  }
}

function toRunningStream (attempt: MovableAttempt, view: EndpointView) {
  const { tier, resumable, betweenTokensTargetMs } = attempt
  return { view, tier, resumable, betweenTokensTargetMs, tokenIntervalMs: attempt.getTokenIntervalMs() }
}
