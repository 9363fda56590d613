import type { EndpointLoad } from '../protocol/attemptMessages'
import type { Tier } from '../protocol/tiers'

/** What a gateway knows of one endpoint: its last report, corrected and completed by what the gateway saw itself. */
export interface EndpointView {
  name: string
  domain: string
  /** Last reported load, or null before the first report. */
  load: EndpointLoad | null
  reportedAtMs: number
  /** Requests this gateway sent that the last report does not count yet; element 0 is tier 1. */
  sentSince: number[]
  /** Failures in a row; 0 after a success. */
  failures: number
  /** Time until which the endpoint is offered requests only after all others. */
  ejectedUntilMs: number
  /** Whether it is leaving, by its own word or the platform's list. */
  draining: boolean
  /** Whether the platform lists it as leaving. */
  listedLeaving: boolean
  /** Measured milliseconds from start to first token, smoothed; 0 before the first. */
  firstTokenMs: number
  /** Measured milliseconds from start to the end of an answer, smoothed; 0 before the first. */
  answerMs: number
  /** Most urgent tier refused lately, or 0 for none. */
  refusedTier: Tier | 0
  refusedUntilMs: number
}

/** Milliseconds from now until the start and the first token of one more request. */
export interface FirstTokenEstimate {
  waitMs: number
  firstTokenMs: number
}

/**
 * Estimates when one more request of `tier` would start and give its first token at the endpoint.
 *
 * @example
 * estimateFirstToken(view, 2) // { waitMs: 0, firstTokenMs: 180 }
 */
export function estimateFirstToken (view: EndpointView, tier: Tier): FirstTokenEstimate {
  const waitMs = estimateWaitMs(view, tier)
  return { waitMs, firstTokenMs: waitMs + view.firstTokenMs }
}

/** Computes how full the endpoint is, counting what was sent since the report; 1 is all slots taken. */
export function computeOccupancy (view: EndpointView): number {
  const sent = countUpToTier(view.sentSince, view.sentSince.length)
  if (view.load === null) return sent
  const queued = countUpToTier(view.load.queuedByTier, view.load.queuedByTier.length)
  return (view.load.running + queued + sent) / view.load.slots
}

function estimateWaitMs (view: EndpointView, tier: Tier): number {
  const { load } = view
  if (load === null) return 0
  const reported = load.running + countUpToTier(load.queuedByTier, tier) + 1 - load.slots
  const corrected = reported + countUpToTier(view.sentSince, tier)
  const reportedWaitMs = load.waitMsByTier[tier - 1] ?? 0
  if (corrected <= 0) return reportedWaitMs
  const intervalMs = reported > 0 ? reportedWaitMs / reported : view.answerMs / load.slots
  return reportedWaitMs + intervalMs * (corrected - Math.max(0, reported))
}

function countUpToTier (byTier: number[], tier: Tier): number {
  let sum = 0
  for (let index = 0; index < tier; index++) sum += byTier[index] ?? 0
  return sum
}
