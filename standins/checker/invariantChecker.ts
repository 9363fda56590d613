import { hashPlannedRequest } from '../player/plannedRequest'
import { listStarts } from './runRecord'

import type { CallerRecord, SendRecord } from '../player/callerRecord'
import type { EndpointStart, RunRecord } from './runRecord'

/** A promise that a run broke. */
export type FindingKind =
  | 'wrongAnswer' | 'lostAnswer' | 'duplicateExecution' | 'ranThoughNotRun' | 'executedThoughUnknown'
  | 'shedForLowerTier' | 'lateRefusal' | 'refusedWithoutReason'

/** One broken promise with the request that shows it. */
export interface Finding {
  kind: FindingKind
  /** Identifier of the planned request. */
  requestId: string
  message: string
}

export interface CheckOptions {
  /** Milliseconds from arrival, or from leaving a queue, within which a refusal must reach its caller. */
  maxRefusalMs: number
  /** Milliseconds by which callers' clocks may differ from the moment of a decision. */
  clockMarginMs: number
  /** Whether the run had faults, which may cut an answer whose caller is told so. */
  hadFaults: boolean
}

const SHED_CODES = new Set(['overloaded', 'deadline_exceeded', 'endpoint_unavailable'])
const EXECUTION_STATES = new Set(['not_run', 'may_have_run'])

/**
 * Judges a run by what callers, gateways, sidecars and endpoints recorded; returns all findings.
 *
 * @example
 * const findings = checkRun(record, { maxRefusalMs: 1000, clockMarginMs: 5, hadFaults: false })
 */
export function checkRun (record: RunRecord, options: CheckOptions): Finding[] {
  const starts = listStarts(record)
  const startsByDigest = Map.groupBy(starts, start => start.digest)
  return record.callers.flatMap(caller => {
    const own = startsByDigest.get(hashPlannedRequest(caller.request)) ?? []
    return [
      ...checkAnswers(caller, options),
      ...checkExecutions(caller, own),
      ...checkRefusals(caller, record, options),
      ...checkShedding(caller, starts, record, options)
    ]
  })
}

function checkAnswers (caller: CallerRecord, options: CheckOptions): Finding[] {
  return caller.sends.flatMap((send, position) => {
    const { outcome } = send
    const place = `send ${position + 1} to gateway ${send.gateway}`
    switch (outcome.kind) {
      case 'answered': return outcome.isExact ? [] : [createFinding('wrongAnswer', caller, `${place}: the answer is not the one to this request`)]
      case 'broken': return options.hadFaults ? [] : [createFinding('lostAnswer', caller, `${place}: ${outcome.message}`)]
      case 'refused': return options.hadFaults || outcome.execution === 'not_run'
        ? []
        : [createFinding('lostAnswer', caller, `${place}: ${outcome.code} after it may have run, without a fault`)]
    }
  })
}

function checkExecutions (caller: CallerRecord, starts: EndpointStart[]): Finding[] {
  const findings: Finding[] = []
  if (!caller.request.idempotent && starts.length > 1) {
    const places = starts.map(start => `${start.endpoint} at ${start.startedAtMs}`).join(', ')
    findings.push(createFinding('duplicateExecution', caller, `executed ${starts.length} times: ${places}`))
  }
  for (const start of starts) findings.push(...checkStart(caller, start))
  return findings
}

/** A start is against what its caller was told when every send so far was answered "not run". */
function checkStart (caller: CallerRecord, start: EndpointStart): Finding[] {
  const sends = caller.sends.filter(send => send.sentAtMs <= start.startedAtMs)
  if (sends.length === 0 || !sends.every(isNotRun)) return []
  return [createFinding('ranThoughNotRun', caller, `started on ${start.endpoint} at ${start.startedAtMs}, and its caller was told that it was not run`)]
}

function checkRefusals (caller: CallerRecord, record: RunRecord, options: CheckOptions): Finding[] {
  return caller.sends.flatMap(send => {
    const { outcome } = send
    if (outcome.kind !== 'refused') return []
    const findings: Finding[] = []
    if (!EXECUTION_STATES.has(outcome.execution)) findings.push(createFinding('refusedWithoutReason', caller, `${outcome.code} does not say whether the request was run`))
    if (outcome.execution !== 'not_run') return findings
    const { refusedAtMs, waitsSinceMs } = getRefusalTimes(send, record)
    const waitedMs = refusedAtMs - waitsSinceMs
    if (waitedMs > options.maxRefusalMs) findings.push(createFinding('lateRefusal', caller, `${outcome.code} came ${waitedMs} ms after it could be known`))
    return findings
  })
}

function checkShedding (caller: CallerRecord, starts: EndpointStart[], record: RunRecord, options: CheckOptions): Finding[] {
  const tier = record.config.classes.get(caller.request.className)?.tier ?? 0
  return caller.sends.filter(isShed).flatMap(send => {
    const { arrivedAtMs, refusedAtMs } = getRefusalTimes(send, record)
    const favored = listStartsBetween(starts, arrivedAtMs + options.clockMarginMs, refusedAtMs - options.clockMarginMs)
      .find(start => start.tier > tier && competes(caller, start, record) && !record.shareStarts.has(start.attemptId ?? ''))
    if (favored === undefined) return []
    const message = `tier ${tier} was shed from ${arrivedAtMs} to ${refusedAtMs} while ${favored.endpoint} started tier ${favored.tier} at ${favored.startedAtMs}`
    return [createFinding('shedForLowerTier', caller, message)]
  })
}

function competes (caller: CallerRecord, start: EndpointStart, record: RunRecord): boolean {
  const endpoint = record.config.endpoints.get(start.endpoint)
  const { call } = caller.request
  switch (call.kind) {
    case 'chat': return endpoint?.models.includes(call.body.model) ?? false
    case 'service': return endpoint?.service === call.service
  }
}

function getRefusalTimes (send: SendRecord, record: RunRecord): { arrivedAtMs: number, waitsSinceMs: number, refusedAtMs: number } {
  const decision = record.decisions.get(send.requestId ?? '')
  const arrivedAtMs = decision?.arrivedAtMs ?? send.sentAtMs
  return {
    arrivedAtMs,
    waitsSinceMs: decision?.leftQueueAtMs ?? arrivedAtMs,
    refusedAtMs: decision?.refusedAtMs ?? send.endedAtMs
  }
}

/** Starts strictly between two times, of `starts` in the order of time. */
function listStartsBetween (starts: EndpointStart[], afterMs: number, beforeMs: number): EndpointStart[] {
  const found: EndpointStart[] = []
  for (let position = findFirstAfter(starts, afterMs); position < starts.length; position++) {
    if (starts[position]!.startedAtMs >= beforeMs) break
    found.push(starts[position]!)
  }
  return found
}

function findFirstAfter (starts: EndpointStart[], afterMs: number): number {
  let low = 0
  let high = starts.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (starts[middle]!.startedAtMs > afterMs) high = middle
    else low = middle + 1
  }
  return low
}

function isNotRun (send: SendRecord): boolean {
  return send.outcome.kind === 'refused' && send.outcome.execution === 'not_run'
}

function isShed (send: SendRecord): boolean {
  return send.outcome.kind === 'refused' && send.outcome.execution === 'not_run' && SHED_CODES.has(send.outcome.code)
}

function createFinding (kind: FindingKind, caller: CallerRecord, message: string): Finding {
  return { kind, requestId: caller.request.id, message }
}
