import { createRandom } from './random'

import type { EngineSpec } from './engine'

/** A request class and its demand in the lunch burst. */
export interface TraceClass {
  name: string
  tier: number
  firstTokenTargetMs: number
  deadlineMs: number
  share: number
  retryRatio: number
  /** Demand as a fraction of the engines' capacity. */
  demand: number
  medianTokens: number
}

/** A deployment: its engines, gateways and request classes. */
export interface Deployment {
  name: string
  engines: EngineSpec[]
  gateways: number
  latencyMs: number
  classes: TraceClass[]
  workspaces: number
}

/** One request of the trace. No router may read the length of its answer (`tokens`) in advance. */
export interface TraceRequest {
  id: string
  atMs: number
  gateway: number
  class: TraceClass
  workspace: string
  tokens: number
}

export const BETWEEN_TOKENS_TARGET_MS = 53
export const PREFILL_UNITS = 4
export const MAX_TOKENS = 1200
const LENGTH_SIGMA = 0.9

const WONSOWICZ: Deployment = {
  name: 'Wonsowicz',
  engines: buildEngines(8, 3),
  gateways: 3,
  latencyMs: 1,
  workspaces: 10,
  classes: [
    { name: 'panel', tier: 1, firstTokenTargetMs: 710, deadlineMs: 90_000, share: 0.05, retryRatio: 0.2, demand: 0.2, medianTokens: 100 },
    { name: 'brief', tier: 2, firstTokenTargetMs: 1500, deadlineMs: 120_000, share: 0.05, retryRatio: 0.2, demand: 0.25, medianTokens: 150 },
    { name: 'note', tier: 3, firstTokenTargetMs: 3000, deadlineMs: 120_000, share: 0.05, retryRatio: 0.1, demand: 0.2, medianTokens: 250 },
    { name: 'lineage', tier: 4, firstTokenTargetMs: 5000, deadlineMs: 120_000, share: 0.03, retryRatio: 0.1, demand: 0.55, medianTokens: 150 },
    { name: 'archive', tier: 6, firstTokenTargetMs: 20_000, deadlineMs: 240_000, share: 0.02, retryRatio: 0.05, demand: 0.8, medianTokens: 150 }
  ]
}

const SPUNFORM: Deployment = {
  name: 'Spunform',
  engines: buildEngines(6, 4),
  gateways: 2,
  latencyMs: 0.5,
  workspaces: 10,
  classes: [
    { name: 'quote', tier: 1, firstTokenTargetMs: 710, deadlineMs: 90_000, share: 0.05, retryRatio: 0.2, demand: 0.4, medianTokens: 150 },
    { name: 'drawing', tier: 2, firstTokenTargetMs: 1500, deadlineMs: 90_000, share: 0.05, retryRatio: 0.2, demand: 0.3, medianTokens: 100 },
    { name: 'question', tier: 3, firstTokenTargetMs: 1500, deadlineMs: 60_000, share: 0.05, retryRatio: 0.1, demand: 0.6, medianTokens: 50 },
    { name: 'history', tier: 5, firstTokenTargetMs: 10_000, deadlineMs: 180_000, share: 0.02, retryRatio: 0.05, demand: 0.7, medianTokens: 200 }
  ]
}

export const DEPLOYMENTS: Deployment[] = [WONSOWICZ, SPUNFORM]

/** Generates the requests of a burst of `durationMs`. The total demand is the sum of the classes' demands. */
export function generateTrace (deployment: Deployment, capacityPerSecond: number, durationMs: number, seed: number): TraceRequest[] {
  const random = createRandom(seed)
  const requests = deployment.classes.flatMap(cls => generateClass(deployment, cls, capacityPerSecond, durationMs, random))
  return requests.sort((a, b) => a.atMs - b.atMs)
}

function generateClass (deployment: Deployment, cls: TraceClass, capacityPerSecond: number, durationMs: number, random: () => number): TraceRequest[] {
  const meanUnits = PREFILL_UNITS + cls.medianTokens * Math.exp(LENGTH_SIGMA ** 2 / 2)
  const meanGapMs = 1000 * meanUnits / (cls.demand * capacityPerSecond)
  const requests: TraceRequest[] = []
  for (let atMs = -meanGapMs * Math.log(1 - random()); atMs < durationMs; atMs -= meanGapMs * Math.log(1 - random())) {
    requests.push({
      id: `${cls.name}-${requests.length}`,
      atMs,
      gateway: Math.floor(random() * deployment.gateways),
      class: cls,
      workspace: `workspace-${Math.floor(deployment.workspaces * random() ** 2)}`,
      tokens: Math.max(1, Math.min(MAX_TOKENS, Math.round(cls.medianTokens * Math.exp(LENGTH_SIGMA * sampleNormal(random)))))
    })
  }
  return requests
}

function buildEngines (count: number, domains: number): EngineSpec[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `engine-${index}`,
    domain: `domain-${index % domains}`,
    slots: 24,
    baseIntervalMs: 20 * (1 + 0.1 * (index % 4)),
    addedIntervalMs: 1 + 0.1 * (index % 4)
  }))
}

function sampleNormal (random: () => number): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
