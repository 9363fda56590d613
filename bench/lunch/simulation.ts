import { NaiveRouter } from '../naive/naiveRouter'
import { Engine } from './engine'
import { EventQueue } from './eventQueue'
import { createRandom } from './random'
import { TanagerwickRouter } from './tanagerwickRouter'
import { BETWEEN_TOKENS_TARGET_MS, generateTrace } from './trace'

import type { LogEntry, RequestRecord, Router } from './requestRecord'
import type { Deployment } from './trace'

/** Faults injected during a run. */
export interface FaultPlan {
  /** Slowed engines, each with its factor and its period. */
  slowed: Array<{ engine: number, factor: number, fromMs: number, untilMs: number }>
  crashed: Array<{ engine: number, atMs: number, restartAtMs: number }>
  falselyEmptyEngines: number[]
}

export interface SimulationOptions {
  deployment: Deployment
  router: 'tanagerwick' | 'naive'
  faults: FaultPlan
  burstMs: number
  seed: number
}

/** Result of a run. */
export interface SimulationResult {
  records: RequestRecord[]
  log: LogEntry[]
  /** Units that the engines could have generated during the burst. */
  capacityUnits: number
  /** Units that the engines generated during the burst. */
  generatedInBurst: number
  router: Router
}

const DRAIN_MS = 300_000
const REPORT_LAG_MS = 500
const CAPACITY_STEP_MS = 100

/**
 * Simulates one lunch burst on a virtual clock.
 *
 * @example
 * runSimulation({ deployment: DEPLOYMENTS[0], router: 'naive', faults: LUNCH_FAULTS, burstMs: 120_000, seed: 1 })
 */
export function runSimulation (options: SimulationOptions): SimulationResult {
  const events = new EventQueue()
  const { deployment, burstMs, seed } = options
  const engines = deployment.engines.map(spec => new Engine(events, spec))
  const healthyCapacity = engines.reduce((sum, engine) => sum + engine.computeCapacity(BETWEEN_TOKENS_TARGET_MS), 0)
  const trace = generateTrace(deployment, healthyCapacity, burstMs, seed)
  const router = buildRouter(options, events, engines)
  const records = trace.map((request): RequestRecord => ({ request, offers: 0, attempts: 0, deliveredTokens: 0, spentUnits: 0 }))
  for (const record of records) events.schedule(record.request.atMs, () => router.submit(record))
  scheduleFaults(events, engines, options.faults, router)
  let capacityUnits = 0
  events.scheduleEvery(CAPACITY_STEP_MS, burstMs - CAPACITY_STEP_MS, () => {
    for (const engine of engines) capacityUnits += engine.computeCapacity(BETWEEN_TOKENS_TARGET_MS) * CAPACITY_STEP_MS / 1000
  })
  let generatedInBurst = 0
  events.schedule(burstMs, () => { generatedInBurst = engines.reduce((sum, engine) => sum + engine.countGenerated(), 0) })
  events.runAll()
  return { records, log: router.log, capacityUnits, generatedInBurst, router }
}

function buildRouter (options: SimulationOptions, events: EventQueue, engines: Engine[]): Router {
  if (options.router === 'naive') return new NaiveRouter(events, engines, options.deployment)
  return new TanagerwickRouter(events, engines, options.deployment, {
    random: createRandom(options.seed + 1),
    untilMs: options.burstMs + DRAIN_MS,
    reportLagMs: REPORT_LAG_MS,
    falselyEmptyEndpoints: options.faults.falselyEmptyEngines.map(index => `engine-${index}`)
  })
}

function scheduleFaults (events: EventQueue, engines: Engine[], faults: FaultPlan, router: Router): void {
  for (const { engine, factor, fromMs, untilMs } of faults.slowed) {
    events.schedule(fromMs, () => engines[engine]?.setSlowFactor(factor))
    events.schedule(untilMs, () => engines[engine]?.setSlowFactor(1))
  }
  for (const { engine, atMs, restartAtMs } of faults.crashed) {
    events.schedule(atMs, () => {
      engines[engine]?.fail()
      router.handleEngineChange(engines[engine] as Engine)
    })
    events.schedule(restartAtMs, () => engines[engine]?.reset())
  }
}
