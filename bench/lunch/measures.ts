import { BETWEEN_TOKENS_TARGET_MS, PREFILL_UNITS } from './trace'

import type { LogEntry, RequestRecord } from './requestRecord'
import type { SimulationResult } from './simulation'
import type { TraceRequest } from './trace'

/** Measures of one class in one run. */
export interface ClassMeasures {
  name: string
  tier: number
  requests: number
  /** Fractions of the requests, 0 to 1. */
  attainment: number
  completed: number
  shed: number
}

/** Measures of one run. */
export interface RunMeasures {
  classes: ClassMeasures[]
  /** Units generated during the burst for answers completed in time, as a fraction of the engines' capacity. */
  goodput: number
  /** Units generated for undelivered answers, as a fraction of all generated units. */
  wasted: number
  attemptsPerRequest: number
  /** Attempts per request that had at least one. */
  attemptsPerStarted: number
  offersPerRequest: number
  /** 99th percentile of the milliseconds until a request was shed. */
  refusalMs: number
  /** Number of starts of lower tiers that a shed request of a higher tier could have used. */
  lowerTierStarts: number
}

const RECOVERY_WINDOW_MS = 5000
const RECOVERED_ATTAINMENT = 0.95
const LATEST_START_FACTOR = 1.5
const MIN_WAIT_MS = 3500

/** Returns whether a request completed with its first token and its mean token interval within the targets. */
export function isAttained (record: RequestRecord): boolean {
  if (record.end !== 'completed' || record.firstTokenAtMs === undefined || record.endedAtMs === undefined) return false
  const betweenTokensMs = (record.endedAtMs - record.firstTokenAtMs) / Math.max(1, record.request.tokens - 1)
  const firstTokenMs = record.firstTokenAtMs - record.request.atMs
  return firstTokenMs <= record.request.class.firstTokenTargetMs && betweenTokensMs <= BETWEEN_TOKENS_TARGET_MS + 2 / record.request.tokens
}

/** Computes the measures of a run. */
export function computeMeasures (result: SimulationResult): RunMeasures {
  const { records } = result
  const spent = countAll(records, record => record.spentUnits)
  const wasted = countAll(records, computeWastedUnits)
  const refusals = records.filter(record => record.end === 'shed').map(record => (record.endedAtMs ?? 0) - record.request.atMs).sort((a, b) => a - b)
  return {
    classes: computeClasses(records),
    goodput: (result.generatedInBurst - wasted) / result.capacityUnits,
    wasted: wasted / spent,
    attemptsPerRequest: countAll(records, record => record.attempts) / records.length,
    attemptsPerStarted: countAll(records, record => record.attempts) / records.filter(record => record.attempts > 0).length,
    offersPerRequest: countAll(records, record => record.offers) / records.length,
    refusalMs: refusals[Math.floor(0.99 * refusals.length)] ?? 0,
    lowerTierStarts: countLowerTierStarts(result.log)
  }
}

/**
 * Counts the starts of a tier that a request of a higher tier could have used. Such a request was shed before
 * the start, and its latest feasible start had not passed when the lower tier started. Each shed request counts
 * for one start only. Starts by a guaranteed share do not count.
 */
export function countLowerTierStarts (log: LogEntry[]): number {
  const shed: Array<Extract<LogEntry, { kind: 'shed' }>> = []
  let count = 0
  for (const entry of log) {
    if (entry.kind === 'shed') shed.push(entry)
    if (entry.kind !== 'started' || entry.by !== 'tier') continue
    const index = shed.findIndex(({ request }) => request.class.tier < entry.request.class.tier && getLatestStartMs(request) > entry.atMs)
    if (index < 0) continue
    shed.splice(index, 1)
    count += 1
  }
  return count
}

/** Gets the latest feasible start of a request. A request that has not started by then is shed. */
export function getLatestStartMs (request: TraceRequest): number {
  return request.atMs + Math.max(MIN_WAIT_MS, LATEST_START_FACTOR * request.class.firstTokenTargetMs)
}

/** Computes the milliseconds after `atMs` until tiers up to `tiers` attain their targets again, or Infinity. */
export function computeRecoveryMs (records: RequestRecord[], tiers: number, atMs: number, untilMs: number): number {
  for (let fromMs = atMs; fromMs + RECOVERY_WINDOW_MS <= untilMs; fromMs += 500) {
    const window = records.filter(({ request }) => request.class.tier <= tiers && request.atMs >= fromMs && request.atMs < fromMs + RECOVERY_WINDOW_MS)
    if (window.length > 0 && window.filter(isAttained).length / window.length >= RECOVERED_ATTAINMENT) return fromMs - atMs
  }
  return Infinity
}

function computeClasses (records: RequestRecord[]): ClassMeasures[] {
  const names = [...new Set(records.map(record => record.request.class.name))]
  const classes = names.map(name => {
    const own = records.filter(record => record.request.class.name === name)
    const count = (test: (record: RequestRecord) => boolean) => own.filter(test).length / own.length
    return {
      name,
      tier: own[0]?.request.class.tier ?? 0,
      requests: own.length,
      attainment: count(isAttained),
      completed: count(record => record.end === 'completed'),
      shed: count(record => record.end === 'shed')
    }
  })
  return classes.sort((a, b) => a.tier - b.tier)
}

function computeWastedUnits (record: RequestRecord): number {
  return record.end === 'completed' ? Math.max(0, record.spentUnits - record.request.tokens - PREFILL_UNITS) : record.spentUnits
}

function countAll (records: RequestRecord[], compute: (record: RequestRecord) => number): number {
  return records.reduce((total, record) => total + compute(record), 0)
}
