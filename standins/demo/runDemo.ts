import { writeFileSync } from 'node:fs'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import { compileFleetConfig } from '../../src/config/compileFleetConfig'
import { formatFindings } from '../../src/config/finding'
import { loadFleetFolder } from '../../src/config/loadFleetFolder'
import { DecisionCollector } from '../checker/decisionCollector'
import { checkRun } from '../checker/invariantChecker'
import { buildBurstPlan } from '../player/burstPlan'
import { isAnswered } from '../player/callerRecord'
import { CLASS_PROFILES } from '../player/deploymentProfiles'
import { LoadPlayer } from '../player/loadPlayer'
import { createSeededRandom } from '../shared/seededRandom'
import { computeClassRows, formatClassTable } from './classReport'
import { applyDemoFaults } from './demoFaults'
import { FleetProcesses, computeMaxTokensPerSecond } from './fleetProcesses'

import type { FleetConfig } from '../../src/config/fleetConfig'
import type { Finding } from '../checker/invariantChecker'
import type { RunRecord } from '../checker/runRecord'
import type { CallerRecord } from '../player/callerRecord'
import type { Deployment } from '../player/deploymentProfiles'
import type { PlannedRequest } from '../player/plannedRequest'
import type { DemoFault } from './demoFaults'

const GATEWAY_COUNT = 3
const READY_TIMEOUT_MS = 15_000
const PROBE_MAX_TOKENS = 8
const READY_POLL_MS = 250
const MAX_RETRIES = 2
const IDLE_TIMEOUT_MS = 150_000
const MAX_REFUSAL_MS = 1000
const MAX_CLOCK_SKEW_MS = 5
const MIN_STARVATION_REQUESTS = 20
const MAX_PRINTED_FINDINGS = 20
const FAILURE_DOMAINS: Record<Deployment, string[]> = {
  wonsowicz: ['pl-central-a', 'pl-central-b', 'pl-central-c'],
  spunform: ['qld-se-a', 'qld-se-b', 'qld-se-c', 'qld-se-d']
}

export interface DemoOptions {
  deployment: Deployment
  seed: number
  durationMs: number
  /** Requested tokens, as a multiple of what the engines can generate during the burst. */
  overload: number
  /** Faults injected during the burst. */
  faults: readonly DemoFault[]
  /** Folder for the process logs and the record of the run. Without it, neither is written. */
  logFolder?: string
}

/** Runs a lunch burst against a fleet of processes; returns whether every invariant held and every process drained. */
export async function runDemo (options: DemoOptions): Promise<boolean> {
  const folder = `examples/${options.deployment}`
  const config = loadConfig(folder)
  const decisions = new DecisionCollector()
  const fleet = new FleetProcesses({
    config,
    folder,
    domains: FAILURE_DOMAINS[options.deployment],
    gatewayCount: GATEWAY_COUNT,
    logFolder: options.logFolder,
    handleLog: fields => decisions.record(fields)
  })
  try {
    await fleet.start()
    print(`${options.deployment}: ${fleet.countProcesses()} processes on ${config.endpoints.size} endpoints, seed ${options.seed}`)
    const probes = await waitForReady(fleet, config, options)
    const callers = await playBurst(fleet, config, options)
    const records = await fleet.readRecords()
    const calls = await fleet.readPlatformCalls()
    const drainFailures = await fleet.drain()
    const record: RunRecord = { config, callers: [...probes, ...callers], ...records, startDecisions: decisions.starts, refusalDecisions: decisions.getRefusals() }
    print(formatClassTable(computeClassRows({ ...record, callers }, config, options.durationMs)))
    print(`platform calls: ${Object.entries(calls).map(([kind, count]) => `${kind} ${count}`).join(', ')}`)
    if (options.logFolder !== undefined) writeRecord(record, options.logFolder)
    return reportFindings(record, drainFailures, options.faults.length > 0)
  } finally {
    fleet.kill()
  }
}

function loadConfig (folder: string): FleetConfig {
  const tree = loadFleetFolder(folder)
  if (tree.isErr) throw new Error(formatFindings(tree.error))
  return compileFleetConfig(tree.value, 1)
}

/** Waits until every gateway answers every class; returns the records of the probe requests. */
async function waitForReady (fleet: FleetProcesses, config: FleetConfig, options: DemoOptions): Promise<CallerRecord[]> {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS
  const records: CallerRecord[] = []
  for (let round = 0; ; round++) {
    const probes = buildProbes(config, options, round)
    const player = createPlayer(fleet, options, 0)
    const played = await player.play(probes)
    records.push(...played)
    const unanswered = played.filter(record => !isAnswered(record))
    if (unanswered.length === 0) return records
    if (Date.now() > deadlineMs) throw new Error(`some classes were still unanswered after ${READY_TIMEOUT_MS} ms; last failed probe: ${JSON.stringify(unanswered[0])}`)
    await sleep(READY_POLL_MS)
  }
}

function buildProbes (config: FleetConfig, options: DemoOptions, round: number): PlannedRequest[] {
  return CLASS_PROFILES[options.deployment].flatMap(({ className, call }, kind) => {
    const profile = { className, weight: 1, call: call.kind === 'chat' ? { ...call, maxTokens: PROBE_MAX_TOKENS } : call }
    const random = createSeededRandom(kind)
    return Array.from({ length: GATEWAY_COUNT }, (_, gateway) => {
      const [request] = buildBurstPlan({ config, profiles: [profile], random, durationMs: 0, tokens: 0, gatewayCount: GATEWAY_COUNT, idPrefix: `probe-${round}-${kind}-${gateway}`, minRequests: 1 })
      return { ...request!, gateway }
    })
  })
}

async function playBurst (fleet: FleetProcesses, config: FleetConfig, options: DemoOptions): Promise<CallerRecord[]> {
  const capacity = computeMaxTokensPerSecond(config)
  const plan = buildBurstPlan({
    config,
    profiles: CLASS_PROFILES[options.deployment],
    random: createSeededRandom(options.seed),
    durationMs: options.durationMs,
    tokens: options.overload * capacity * options.durationMs / 1000,
    gatewayCount: GATEWAY_COUNT
  })
  print(`burst of ${plan.length} requests in ${options.durationMs / 1000} s; the engines generate at most ${Math.round(capacity)} tokens/s`)
  const player = createPlayer(fleet, options, MAX_RETRIES)
  const startMs = Date.now()
  const timer = setInterval(() => printProgress(player, startMs), 2000)
  const faults = applyDemoFaults(options.faults, fleet, config, options.durationMs)
  const records = await player.play(plan)
  await faults
  clearInterval(timer)
  printProgress(player, startMs)
  return records
}

function createPlayer (fleet: FleetProcesses, options: DemoOptions, maxRetries: number): LoadPlayer {
  return new LoadPlayer({ gateways: fleet.gateways, silenceMs: IDLE_TIMEOUT_MS, random: createSeededRandom(options.seed + 1), maxRetries, lastRetryMs: options.durationMs })
}

function printProgress (player: LoadPlayer, startMs: number): void {
  const { sent, answered, refused, waiting } = player.getCounts()
  print(`${Math.round((Date.now() - startMs) / 1000)} s: sent ${sent}, answered ${answered}, refused ${refused}, in flight ${waiting}`)
}

function reportFindings (record: RunRecord, drainFailures: string[], hadFaults: boolean): boolean {
  const findings = checkRun(record, { maxRefusalMs: MAX_REFUSAL_MS, maxClockSkewMs: MAX_CLOCK_SKEW_MS, hadFaults, minStarvationRequests: MIN_STARVATION_REQUESTS })
  for (const [kind, count] of countKinds(findings)) print(`violated: ${kind}, ${count} times`)
  for (const finding of findings.slice(0, MAX_PRINTED_FINDINGS)) print(`  ${finding.kind} ${finding.requestId}: ${finding.message}`)
  for (const fault of drainFailures) print(`drain: ${fault}`)
  const isPassed = findings.length === 0 && drainFailures.length === 0
  print(isPassed ? 'no invariant was violated; every process drained and exited with code 0' : `${findings.length} findings, ${drainFailures.length} processes failed to drain`)
  return isPassed
}

function writeRecord (record: RunRecord, folder: string): void {
  const text = JSON.stringify(record, (_, value) => value instanceof Map ? Object.fromEntries(value) : value)
  writeFileSync(path.join(folder, 'record.json'), text)
}

function countKinds (findings: Finding[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { kind } of findings) counts.set(kind, (counts.get(kind) ?? 0) + 1)
  return counts
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}
