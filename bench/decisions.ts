import { DEFAULT_RANKING_OPTIONS, rankEndpoints } from '../src/policy/endpointRanking'
import { EndpointTable } from '../src/policy/endpointTable'
import { RequestQueue } from '../src/policy/requestQueue'
import { createRandom } from './lunch/random'

import type { EndpointLoad } from '../src/protocol/attemptMessages'
import type { QueueEntry } from '../src/policy/requestQueue'

interface FleetSize {
  models: number
  runners: number
  workspaces: number
  queued: number
}

interface SizeCosts {
  size: FleetSize
  /** Microseconds per operation. */
  rank: number
  queue: number
}

const SIZES: FleetSize[] = [
  { models: 6, runners: 14, workspaces: 130, queued: 125 },
  { models: 15, runners: 100, workspaces: 1300, queued: 500 },
  { models: 35, runners: 600, workspaces: 13_000, queued: 2000 }
]
const TIERS = 6
const ROUNDS = 5
const OPERATIONS = 20_000
/** Largest growth of a cost from the first size to the last: logarithmic in the queued entries, doubled for processor cache misses. */
const MAX_GROWTH = 2 * Math.log2(2000) / Math.log2(125)

const costs = SIZES.map(measureSize)
console.table(costs.map(({ size, rank, queue }) => ({ ...size, tiers: TIERS, 'rank us': rank.toFixed(2), 'offer and take us': queue.toFixed(2) })))
process.exitCode = checkGrowth('rank', 'all runners with one model') && checkGrowth('queue', 'offer and take') ? 0 : 1

function measureSize (size: FleetSize): SizeCosts {
  return { size, rank: measureBest(() => measureRank(size)), queue: measureBest(() => measureQueue(size)) }
}

/** Measures the endpoint choice in its worst case, where every runner serves the same models. */
function measureRank (size: FleetSize): number {
  const random = createRandom(1)
  const table = new EndpointTable()
  const targets = Array.from({ length: size.models }, (_, index) => `model-${index}`)
  table.setPlacements(Array.from({ length: size.runners }, (_, index) => ({ name: `runner-${index}`, domain: `domain-${index % 7}`, targets })))
  for (let index = 0; index < size.runners; index++) table.recordLoad(`runner-${index}`, buildLoad(random), 0)
  const startedAt = performance.now()
  for (let index = 0; index < OPERATIONS; index++) {
    const target = targets[index % size.models] as string
    const affinity = table.findAffinityEndpoints(target, `prefix-${index % 1000}`)
    rankEndpoints({ tier: 1 + index % TIERS, betweenTokensTargetMs: 53, affinity }, table.getViews(target), index / 100, random, DEFAULT_RANKING_OPTIONS).next()
  }
  return 1000 * (performance.now() - startedAt) / OPERATIONS
}

/** Measures the queue at a constant length: a start and a release follow each offer. */
function measureQueue (size: FleetSize): number {
  const random = createRandom(2)
  const queue = new RequestQueue({ maxQueued: 2 * size.queued, initialReleaseIntervalMs: 1 })
  queue.setSlots({ running: 16, limit: 16 }, 0)
  for (let index = 0; index < size.queued; index++) queue.offer(buildEntry(index, size, random), 0)
  const startedAt = performance.now()
  for (let index = 0; index < OPERATIONS; index++) {
    queue.setSlots({ running: 16, limit: 16 }, index)
    queue.offer(buildEntry(size.queued + index, size, random), index)
    const dequeued = queue.dequeue(index)
    if (dequeued !== null) queue.recordRelease({ tier: dequeued.entry.tier, workspace: dequeued.entry.workspace, ranForMs: 16, outputTokens: 100 }, index)
  }
  const microseconds = 1000 * (performance.now() - startedAt) / OPERATIONS
  if (queue.size < 0.9 * size.queued) throw new Error(`the queue shrank to ${queue.size} entries; its cost must be measured at ${size.queued}`)
  return microseconds
}

function measureBest (measure: () => number): number {
  return Math.min(...Array.from({ length: ROUNDS }, measure))
}

function buildEntry (index: number, size: FleetSize, random: () => number): QueueEntry {
  const tier = 1 + Math.floor(random() * TIERS)
  return {
    id: `entry-${index}`,
    tier,
    className: `class-${tier}`,
    workspace: `workspace-${Math.floor(random() * size.workspaces)}`,
    enqueuedAtMs: index,
    startByMs: index + 1e7,
    firstTokenDueMs: index + 1000,
    share: 0.02
  }
}

function buildLoad (random: () => number): EndpointLoad {
  const waitMs = 300 * random()
  return {
    running: Math.floor(24 * random()),
    slots: 24,
    queuedByTier: [0, 0, 1, 1, 2, 3],
    waitMsByTier: [0, 0, waitMs, 2 * waitMs, 4 * waitMs, 8 * waitMs],
    tokenIntervalMs: 30 + 20 * random(),
    draining: false
  }
}

function checkGrowth (name: 'rank' | 'queue', title: string): boolean {
  const growth = (costs.at(-1)?.[name] ?? Infinity) / (costs[0]?.[name] ?? 1)
  console.log(`${title}: grew ${growth.toFixed(2)} times from the smallest to the largest size, bound ${MAX_GROWTH.toFixed(2)}`)
  return growth <= MAX_GROWTH
}
