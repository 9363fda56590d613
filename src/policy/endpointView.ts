import type { EndpointLoad } from '../protocol/attemptMessages'
import type { Tier } from '../protocol/tiers'

/** State of one endpoint as a gateway knows it: the last load report, combined with the gateway's own observations. */
export interface EndpointView {
  name: string
  domain: string
  /** Last reported load, or null before the first report. */
  load: EndpointLoad | null
  reportedAtMs: number
  /** Requests dispatched by this gateway that the last report does not include yet; element 0 is tier 1. */
  sentSince: number[]
  /** Consecutive failures; 0 after a success. */
  failures: number
  /** Time until which the endpoint is ranked after all others. */
  ejectedUntilMs: number
  /** Whether the endpoint is leaving, according to its own load report or the platform's list. */
  draining: boolean
  /** Whether the platform lists the endpoint as leaving. */
  listedLeaving: boolean
  /** Smoothed milliseconds from start to first token; 0 before the first measurement. */
  firstTokenMs: number
  /** Smoothed milliseconds from start to the end of an answer; 0 before the first measurement. */
  answerMs: number
  /** Most urgent tier that the endpoint recently refused; 0 for none. */
  refusedTier: Tier | 0
  refusedUntilMs: number
}

/** Estimated milliseconds from now until the start and the first token of one more request. */
export interface FirstTokenEstimate {
  waitMs: number
  firstTokenMs: number
}

/**
 * Estimates when one more request of `tier` would start at the endpoint and produce its first token.
 *
 * @example
 * estimateFirstToken(view, 2) // { waitMs: 0, firstTokenMs: 180 }
 */
export function estimateFirstToken (view: EndpointView, tier: Tier): FirstTokenEstimate {
  const waitMs = estimateWaitMs(view, tier)
  return { waitMs, firstTokenMs: waitMs + view.firstTokenMs }
}

/** Computes the endpoint's occupancy, including queued requests and those dispatched since the last report. 1 means that all slots are in use. */
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
