import yargs from 'yargs'

import { computeMeasures, computeRecoveryMs } from './measures'
import { runSimulation } from './simulation'
import { DEPLOYMENTS } from './trace'

import type { RunMeasures } from './measures'
import type { FaultPlan, SimulationResult } from './simulation'
import type { Deployment } from './trace'

const BURST_MS = 120_000
const CRASH_AT_MS = 40_000
const RESTART_AT_MS = 70_000
const ATTAINMENT_GOAL = 0.95
const GOODPUT_GOAL = 0.9
const WASTED_GOAL = 0.02

/** One engine is ten times slower for most of the burst, one crashes and restarts, and one always reports itself empty. */
const LUNCH_FAULTS: FaultPlan = {
  slowed: [{ engine: 0, factor: 10, fromMs: 20_000, untilMs: 100_000 }],
  crashed: [{ engine: 1, atMs: CRASH_AT_MS, restartAtMs: RESTART_AT_MS }],
  falselyEmptyEngines: [2]
}

const options = yargs(process.argv.slice(2))
  .options({
    seed: { type: 'number', default: 1, describe: 'Seed of the trace' },
    seeds: { type: 'number', default: 1, describe: 'Number of consecutive seeds; more than one prints means and ranges of tanagerwick alone' }
  })
  .strict()
  .parseSync()

const missed: string[] = []
console.log(`lunch burst: ${BURST_MS / 1000} s at twice capacity, seed ${options.seed}`)
for (const deployment of DEPLOYMENTS) {
  if (options.seeds > 1) runSeeds(deployment)
  else runDeployment(deployment)
}
for (const goal of missed) console.log(`MISSED ${goal}`)
process.exitCode = missed.length === 0 ? 0 : 1

function runDeployment (deployment: Deployment): void {
  for (const router of ['tanagerwick', 'naive'] as const) {
    const result = runSimulation({ deployment, router, faults: LUNCH_FAULTS, burstMs: BURST_MS, seed: options.seed })
    const measures = computeMeasures(result)
    printRun(deployment, router, measures, result)
    if (router === 'tanagerwick') checkGoals(deployment, measures)
  }
  printHalfFailed(deployment)
}

function runSeeds (deployment: Deployment): void {
  const runs = Array.from({ length: options.seeds }, (_, index) => {
    return computeMeasures(runSimulation({ deployment, router: 'tanagerwick', faults: LUNCH_FAULTS, burstMs: BURST_MS, seed: options.seed + index }))
  })
  const describe = (select: (run: RunMeasures) => number) => {
    const values = runs.map(select)
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length
    return `${formatPercent(mean)} (${formatPercent(Math.min(...values))} to ${formatPercent(Math.max(...values))})`
  }
  console.log(`\n${deployment.name}, ${options.seeds} seeds: goodput ${describe(run => run.goodput)}, wasted ${describe(run => run.wasted)}`)
  const lowerTierStarts = runs.reduce((sum, run) => sum + run.lowerTierStarts, 0)
  const requests = runs.reduce((sum, run) => sum + run.classes.reduce((count, cls) => count + cls.requests, 0), 0)
  console.log(`  starts that a shed request of a higher tier could have had: ${lowerTierStarts}, of ${requests} requests`)
  deployment.classes.forEach((cls, index) => console.log(`  attainment of ${cls.name}: ${describe(run => run.classes[index]?.attainment ?? 0)}`))
}

function printRun (deployment: Deployment, router: string, measures: RunMeasures, result: SimulationResult): void {
  const recoveryMs = computeRecoveryMs(result.records, countFittingTiers(deployment), CRASH_AT_MS, BURST_MS)
  console.log(`\n${deployment.name}, ${router}: goodput ${formatPercent(measures.goodput)}, wasted ${formatPercent(measures.wasted)}, ` +
    `attempts/request ${measures.attemptsPerRequest.toFixed(2)}, offers/request ${measures.offersPerRequest.toFixed(2)}, ` +
    `99th refusal ${measures.refusalMs.toFixed(0)} ms, recovery after crash ${(recoveryMs / 1000).toFixed(1)} s`)
  console.table(measures.classes.map(cls => ({
    class: cls.name,
    tier: cls.tier,
    requests: cls.requests,
    attainment: formatPercent(cls.attainment),
    completed: formatPercent(cls.completed),
    shed: formatPercent(cls.shed)
  })))
}

function printHalfFailed (deployment: Deployment): void {
  const half = deployment.engines.slice(0, deployment.engines.length / 2)
  const faults: FaultPlan = { slowed: [], crashed: half.map((_, engine) => ({ engine, atMs: CRASH_AT_MS, restartAtMs: 2 * BURST_MS })), falselyEmptyEngines: [] }
  for (const router of ['tanagerwick', 'naive'] as const) {
    const measures = computeMeasures(runSimulation({ deployment, router, faults, burstMs: BURST_MS, seed: options.seed }))
    console.log(`${deployment.name}, ${router}, half the engines gone: attempts/request ${measures.attemptsPerRequest.toFixed(2)}, ` +
      `attempts/started request ${measures.attemptsPerStarted.toFixed(2)}, ` +
      `offers/request ${measures.offersPerRequest.toFixed(2)}, goodput ${formatPercent(measures.goodput)}, wasted ${formatPercent(measures.wasted)}`)
  }
}

function checkGoals (deployment: Deployment, measures: RunMeasures): void {
  if (deployment.name === 'Wonsowicz') {
    const fitting = measures.classes.filter(cls => cls.tier <= countFittingTiers(deployment))
    for (const cls of fitting) if (cls.attainment < ATTAINMENT_GOAL) missed.push(`Wonsowicz attainment of ${cls.name}: ${formatPercent(cls.attainment)}, goal 95%`)
    return
  }
  if (measures.goodput < GOODPUT_GOAL) missed.push(`Spunform goodput: ${formatPercent(measures.goodput)}, goal 90%`)
  if (measures.wasted >= WASTED_GOAL) missed.push(`Spunform wasted work: ${formatPercent(measures.wasted)}, goal below 2%`)
}

/** Finds the lowest tier whose demand, added to that of all higher tiers, fits the engines left under the faults. */
function countFittingTiers (deployment: Deployment): number {
  const lost = LUNCH_FAULTS.slowed.length + LUNCH_FAULTS.crashed.length
  const left = (deployment.engines.length - lost) / deployment.engines.length
  let demand = 0
  let tiers = 0
  for (const cls of deployment.classes) {
    demand += cls.demand
    if (demand <= left) tiers = cls.tier
  }
  return tiers
}

function formatPercent (fraction: number): string {
  return `${(100 * fraction).toFixed(1)}%`
}
