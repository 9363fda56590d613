import { generateAnswer } from '../engine/generateAnswer'
import { isAnswered } from '../player/callerRecord'
import { hashPlannedRequest } from '../player/plannedRequest'

import type { FleetConfig, ServiceClass } from '../../src/config/fleetConfig'
import type { RunRecord } from '../checker/runRecord'
import type { CallerRecord } from '../player/callerRecord'

const MS_PER_SECOND = 1000

/** Results of one class. Fractions range from 0 to 1 and are null if there is nothing to count. */
export interface ClassRow {
  className: string
  tier: number
  requests: number
  /** Requests whose caller received the complete and exact answer. */
  complete: number
  /** Fraction of requests whose first token arrived within the target, counted from the first send; only requests whose caller sees the first token count. */
  firstTokenAttainment: number | null
  /** Fraction of inter-token times within the target. */
  betweenTokensAttainment: number | null
  /** Complete answers per second that ended within the deadline of their own send. */
  goodputPerSecond: number
  /** Sends that ended without an answer. */
  refusals: number
  /** Fraction of generated tokens that belong to no complete answer. */
  wastedTokens: number | null
  /** Executions of a non-idempotent request after its first. */
  duplicates: number
}

/** Computes one row per class, sorted by tier. */
export function computeClassRows (record: RunRecord, config: FleetConfig, durationMs: number): ClassRow[] {
  const tokens = countTokensByDigest(record)
  const executions = countExecutionsByDigest(record)
  const classes = [...config.classes.values()].sort((left, right) => left.tier - right.tier)
  return classes.flatMap(serviceClass => {
    const callers = record.callers.filter(caller => caller.request.className === serviceClass.name)
    return callers.length === 0 ? [] : [computeRow(serviceClass, callers, tokens, executions, durationMs)]
  })
}

/** Formats the rows as a plain-text table. */
export function formatClassTable (rows: ClassRow[]): string {
  const header = ['class', 'tier', 'requests', 'complete', '1st token', 'between', 'goodput/s', 'refusals', 'wasted', 'duplicates']
  const lines = rows.map(row => [
    row.className, String(row.tier), String(row.requests), String(row.complete), formatPercent(row.firstTokenAttainment),
    formatPercent(row.betweenTokensAttainment), row.goodputPerSecond.toFixed(1), String(row.refusals), formatPercent(row.wastedTokens), String(row.duplicates)
  ])
  const widths = header.map((title, column) => Math.max(title.length, ...lines.map(line => line[column]!.length)))
  const formatLine = (cells: string[]) => cells.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ')
  return [header, ...lines].map(formatLine).join('\n')
}

function computeRow (serviceClass: ServiceClass, callers: CallerRecord[], tokens: Map<string, number>, executions: Map<string, number>, durationMs: number): ClassRow {
  const complete = callers.filter(isComplete)
  const gaps = callers.flatMap(caller => caller.sends.flatMap(send => send.tokenGapsMs))
  const generated = computeSum(callers.map(caller => tokens.get(hashPlannedRequest(caller.request)) ?? 0))
  const delivered = computeSum(complete.map(caller => countAnswerTokens(caller)))
  const withVisibleFirstToken = callers.filter(isFirstTokenVisible)
  const nonIdempotent = callers.filter(caller => !caller.request.idempotent)
  return {
    className: serviceClass.name,
    tier: serviceClass.tier,
    requests: callers.length,
    complete: complete.length,
    firstTokenAttainment: computeFraction(withVisibleFirstToken.filter(caller => isFirstTokenWithinTarget(caller, serviceClass)).length, withVisibleFirstToken.length),
    betweenTokensAttainment: computeFraction(gaps.filter(gapMs => gapMs <= serviceClass.betweenTokensTargetMs).length, gaps.length),
    goodputPerSecond: complete.filter(caller => isWithinDeadline(caller, serviceClass)).length * MS_PER_SECOND / durationMs,
    refusals: computeSum(callers.map(caller => caller.sends.filter(send => send.outcome.kind !== 'answered').length)),
    wastedTokens: computeFraction(generated - delivered, generated),
    duplicates: computeSum(nonIdempotent.map(caller => Math.max(0, (executions.get(hashPlannedRequest(caller.request)) ?? 0) - 1)))
  }
}

function isComplete (caller: CallerRecord): boolean {
  const outcome = caller.sends.at(-1)?.outcome
  return isAnswered(caller) && outcome?.kind === 'answered' && outcome.isExact
}

/** Returns whether the caller sees when the first token arrives; an answer that is not streamed arrives all at once. */
function isFirstTokenVisible (caller: CallerRecord): boolean {
  const { call } = caller.request
  return call.kind === 'service' || call.body.stream
}

function isFirstTokenWithinTarget (caller: CallerRecord, serviceClass: ServiceClass): boolean {
  const firstTokenAtMs = caller.sends.find(send => send.firstTokenAtMs !== null)?.firstTokenAtMs
  return firstTokenAtMs != null && firstTokenAtMs - caller.sends[0]!.sentAtMs <= serviceClass.firstTokenTargetMs
}

function isWithinDeadline (caller: CallerRecord, serviceClass: ServiceClass): boolean {
  const send = caller.sends.at(-1)!
  return send.endedAtMs - send.sentAtMs <= serviceClass.deadlineMs
}

function countAnswerTokens (caller: CallerRecord): number {
  const { call } = caller.request
  return call.kind === 'chat' ? generateAnswer(call.body).length : 0
}

function countTokensByDigest (record: RunRecord): Map<string, number> {
  const counts = new Map<string, number>()
  for (const run of record.engines.flatMap(engine => engine.runs)) counts.set(run.digest, (counts.get(run.digest) ?? 0) + run.tokens)
  return counts
}

function countExecutionsByDigest (record: RunRecord): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { digest } of record.services.flatMap(service => service.executions)) counts.set(digest, (counts.get(digest) ?? 0) + 1)
  return counts
}

function computeFraction (part: number, whole: number): number | null {
  return whole === 0 ? null : part / whole
}

function computeSum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function formatPercent (fraction: number | null): string {
  return fraction === null ? '-' : `${(100 * fraction).toFixed(1)} %`
}
