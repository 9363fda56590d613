import { shouldMoveQueued } from '../policy/queuedMove'
import { shouldMoveStream } from '../policy/slowStream'

import type { Clock } from '../base/clock'
import type { EndpointTable } from '../policy/endpointTable'
import type { EndpointView } from '../policy/endpointView'
import type { Tier } from '../protocol/serviceLevels'

/** Whether an accepted attempt waits or runs. */
export type Standing = { kind: 'queued', sinceMs: number } | { kind: 'running' }

/** An attempt that may be better off at another endpoint. */
export interface MovableAttempt {
  endpointName: string
  /** Model or service that the request asks for, as the table of endpoints names it. */
  targetName: string
  tier: Tier
  className: string
  betweenTokensTargetMs: number
  /** Whether the answer can go on elsewhere from the text delivered so far. */
  resumable: boolean
  /** Where the attempt stands; null before it was accepted and once it is being moved. */
  getStanding (): Standing | null
  /** Smoothed milliseconds between the tokens of the attempt. */
  getTokenIntervalMs (): number
  /** Cancels the attempt if it still stands as it did, so that its request is offered anew. */
  move (standing: 'queued' | 'running'): void
}

export interface AttemptMoverOptions {
  clock: Clock
  table: EndpointTable
  /** Takes one retry from the class's budget; false when none is left. */
  takeRetry: (className: string) => boolean
}

const CHECK_INTERVAL_MS = 250

/** Moves attempts from endpoints that keep them waiting, or became slow, to others with room. */
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

  /** Looks once through the open attempts, the most urgent first. */
  checkAttempts (): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    const byTier = [...this.#attempts].sort((one, other) => one.tier - other.tier)
    for (const attempt of byTier) {
      const standing = attempt.getStanding()
      if (standing !== null && this.#shouldMove(attempt, standing, nowMs)) attempt.move(standing.kind)
    }
  }

  #shouldMove (attempt: MovableAttempt, standing: Standing, nowMs: number): boolean {
    const { table, takeRetry } = this.#options
    const view = table.getView(attempt.endpointName)
    if (view === undefined) return false
    const others = table.getViews(attempt.targetName)
    switch (standing.kind) {
      case 'queued': return shouldMoveQueued({ view, tier: attempt.tier, waitedMs: nowMs - standing.sinceMs }, others, nowMs)
      case 'running': return shouldMoveStream(toStream(attempt, view), others, nowMs) && takeRetry(attempt.className)
      default: return standing satisfies never
    }
  }
}

function toStream (attempt: MovableAttempt, view: EndpointView) {
  const { tier, resumable, betweenTokensTargetMs } = attempt
  return { view, tier, resumable, betweenTokensTargetMs, tokenIntervalMs: attempt.getTokenIntervalMs() }
}
