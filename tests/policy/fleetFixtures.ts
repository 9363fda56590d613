import { getLatestStartMs } from '../../bench/lunch/measures'
import { runSimulation } from '../../bench/lunch/simulation'

import type { EngineSpec } from '../../bench/lunch/engine'
import type { LogEntry } from '../../bench/lunch/requestRecord'
import type { FaultPlan, SimulationOptions, SimulationResult } from '../../bench/lunch/simulation'
import type { Deployment, TraceClass } from '../../bench/lunch/trace'

/** One engine is slow, one crashes during the burst and restarts, and one always reports an empty load. */
export const ALL_FAULTS: FaultPlan = {
  slowed: [{ engine: 0, factor: 10, fromMs: 8000, untilMs: 30_000 }],
  crashed: [{ engine: 1, atMs: 15_000, restartAtMs: 25_000 }],
  falselyEmptyEngines: [2]
}

const BURST_MS = 40_000

/** Builds a class with a guaranteed share of 4 % of the starts. */
export function buildClass (name: string, tier: number, demand: number): TraceClass {
  return { name, tier, firstTokenTargetMs: 600 * tier, deadlineMs: 30_000 * tier, share: 0.04, retryRatio: 0.1, demand, medianTokens: 60 }
}

/** Builds a deployment of three gateways and five engines of different speeds, loaded to twice their capacity. */
export function buildDeployment (): Deployment {
  return {
    name: 'test',
    engines: Array.from({ length: 5 }, (_, index): EngineSpec => ({
      name: `engine-${index}`,
      domain: `domain-${index % 2}`,
      slots: 16,
      baseIntervalMs: 20 + 2 * index,
      addedIntervalMs: 1.2
    })),
    gateways: 3,
    latencyMs: 1,
    workspaces: 6,
    classes: [buildClass('panel', 1, 0.3), buildClass('quote', 2, 0.3), buildClass('note', 4, 0.6), buildClass('archive', 6, 0.8)]
  }
}

/** Runs a simulated burst with all faults. The given fields override the defaults. */
export function runFleet (fields: Partial<SimulationOptions> = {}): SimulationResult {
  return runSimulation({ deployment: buildDeployment(), router: 'tanagerwick', faults: ALL_FAULTS, burstMs: BURST_MS, seed: 1, ...fields })
}

/**
 * Lists the log entries that violate the order of tiers. No request may start by its tier while a higher
 * tier is queued. No request may be refused in the last round or displaced while lower tiers are queued;
 * one queued request of each class with a share does not count. No request may be shed before its
 * latest start unless every endpoint that is up has refused or displaced it.
 */
export function listTierViolations (log: LogEntry[]): string[] {
  const refusedBy = new Map<string, Set<string>>()
  return log.flatMap(entry => {
    const refusals = refusedBy.get(entry.request.id) ?? new Set()
    refusedBy.set(entry.request.id, refusals)
    if (entry.kind === 'refused' || entry.kind === 'displaced') refusals.add(entry.endpoint)
    return describeViolation(entry, refusals)
  })
}

function describeViolation (entry: LogEntry, refusals: Set<string>): string[] {
  const { request, atMs } = entry
  const prefix = `${request.id} ${entry.kind} at ${atMs.toFixed(0)} ms`
  switch (entry.kind) {
    case 'refused':
      return entry.isLastRound && entry.queued.lowerTierBeyondShare > 0 ? [`${prefix}: lower requests are queued`] : []
    case 'displaced':
      return entry.reason === 'displaced' && entry.queued.lowerTierBeyondShare > 0 ? [`${prefix}: lower requests are queued`] : []
    case 'started':
      return entry.by === 'tier' && entry.queued.higherTier > 0 ? [`${prefix}: higher requests are queued`] : []
    case 'shed':
      if (atMs >= getLatestStartMs(request)) return []
      return entry.upEndpoints.filter(endpoint => !refusals.has(endpoint)).map(endpoint => `${prefix}: ${endpoint} never refused it`)
  }
}
