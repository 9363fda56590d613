import { isAnswered } from '../player/callerRecord'
import { hashPlannedRequest } from '../player/plannedRequest'
import { listStarts } from './runRecord'

import type { CallerRecord, SendRecord } from '../player/callerRecord'
import type { EndpointStart, RunRecord } from './runRecord'

/** Invariant that a run violated. */
export type FindingKind =
  | 'wrongAnswer' | 'lostAnswer' | 'answeredWithoutStart' | 'duplicateExecution' | 'ranThoughNotRun' | 'unknownStart'
  | 'preempted' | 'starvedClass' | 'shedForLowerTier' | 'lateRefusal' | 'refusedWithoutReason'

/** One violated invariant and the request that shows it. */
export interface Finding {
  kind: FindingKind
  /** Identifier of the planned request, or the digest of a start that matches no planned request. */
  requestId: string
  message: string
}

export interface CheckOptions {
  /** Maximum milliseconds from arrival, or from leaving a queue, until the refusal. */
  maxRefusalMs: number
  /** Maximum milliseconds between a caller's clock and the clock of a decision. */
  maxClockSkewMs: number
  /** Whether faults were injected. A fault may truncate an answer, and the caller then receives an error. */
  hadFaults: boolean
  /** Minimum requests of a class for the starvation check: of this many or more, at least one must be answered. */
  minStarvationRequests: number
}

const SHED_CODES = new Set(['overloaded', 'deadline_exceeded', 'endpoint_unavailable'])
/** Fraction of the deadline after which the end of a request is attributed to the deadline. */
const DEADLINE_END_FRACTION = 0.9
const EXECUTION_STATES = new Set(['not_run', 'may_have_run'])

/**
 * Checks the records of callers, gateways, sidecars and endpoints against the invariants; returns all findings.
 *
 * @example
 * const findings = checkRun(record, { maxRefusalMs: 1000, maxClockSkewMs: 5, hadFaults: false, minStarvationRequests: 20 })
 */
export function checkRun (record: RunRecord, options: CheckOptions): Finding[] {
  const starts = listStarts(record)
  const startsByDigest = buildStartsByDigest(starts)
  const findings = record.callers.flatMap(caller => {
    const digest = hashPlannedRequest(caller.request)
    const callerStarts = startsByDigest.get(digest) ?? []
    startsByDigest.delete(digest)
    return [
      ...checkAnswers(caller, callerStarts, record, options),
      ...checkExecutions(caller, callerStarts),
      ...checkPreemption(caller, callerStarts, record, options),
      ...checkRefusals(caller, record, options),
      ...checkShedding(caller, starts, record, options)
    ]
  })
  const unknownStarts = [...startsByDigest.values()].flat().map(createUnknownStartFinding)
  return [...findings, ...unknownStarts, ...checkStarvation(record, options)]
}

function buildStartsByDigest (starts: EndpointStart[]): Map<string, EndpointStart[]> {
  const byDigest = new Map<string, EndpointStart[]>()
  for (const start of starts) byDigest.set(start.digest, [...byDigest.get(start.digest) ?? [], start])
  return byDigest
}

function checkAnswers (caller: CallerRecord, starts: EndpointStart[], record: RunRecord, options: CheckOptions): Finding[] {
  const deadlineMs = getDeadlineMs(caller, record)
  const findings = caller.sends.flatMap((send, position) => {
    const isCutByDeadline = send.endedAtMs - send.sentAtMs >= DEADLINE_END_FRACTION * deadlineMs
    const fault = describeAnswerFault(send, options.hadFaults || isCutByDeadline)
    return fault === null ? [] : [createFinding(fault.kind, caller, `send ${position + 1} to gateway ${send.gateway}: ${fault.message}`)]
  })
  if (isAnswered(caller) && starts.length === 0) findings.push(createFinding('answeredWithoutStart', caller, 'answered, but no endpoint recorded a start'))
  return findings
}

/** Describes a wrong or lost answer. An error may replace an answer only after a fault or at the deadline, unless its execution is `not_run`. */
function describeAnswerFault (send: SendRecord, mayFail: boolean): { kind: FindingKind, message: string } | null {
  const { outcome } = send
  switch (outcome.kind) {
    case 'answered': return outcome.isExact ? null : { kind: 'wrongAnswer', message: 'the answer does not match this request' }
    case 'broken': return mayFail ? null : { kind: 'lostAnswer', message: outcome.message }
    case 'refused':
      if (mayFail || outcome.execution === 'not_run') return null
      return { kind: 'lostAnswer', message: `${outcome.code} although the request may have run; no fault was injected and the deadline had not passed` }
  }
}

function checkExecutions (caller: CallerRecord, starts: EndpointStart[]): Finding[] {
  const findings: Finding[] = []
  if (!caller.request.idempotent && starts.length > 1) {
    const locations = starts.map(start => `${start.endpoint} at ${start.startedAtMs}`).join(', ')
    findings.push(createFinding('duplicateExecution', caller, `executed ${starts.length} times: ${locations}`))
  }
  for (const start of starts.filter(candidate => isReportedNotRun(caller, candidate))) {
    findings.push(createFinding('ranThoughNotRun', caller, `started on ${start.endpoint} at ${start.startedAtMs}, although its caller received not_run`))
  }
  return findings
}

/** Returns whether `start` belongs to a send that ended with `not_run`, or follows only such sends. */
function isReportedNotRun (caller: CallerRecord, start: EndpointStart): boolean {
  const matchingSend = caller.sends.find(send => send.requestId !== null && start.attemptId?.startsWith(`${send.requestId}.`))
  if (matchingSend !== undefined) return isNotRun(matchingSend)
  const earlier = caller.sends.filter(send => send.sentAtMs <= start.startedAtMs)
  return earlier.length > 0 && earlier.every(isNotRun)
}

/**
 * Finds started requests that were cancelled. Callers of a run never disconnect, so without a fault only
 * the deadline or a move to another endpoint may cancel a started request.
 */
function checkPreemption (caller: CallerRecord, starts: EndpointStart[], record: RunRecord, options: CheckOptions): Finding[] {
  const deadlineMs = getDeadlineMs(caller, record)
  const cancelled = starts.filter(start => start.state === 'cancelled' && start.endedAtMs! - start.startedAtMs < deadlineMs)
  const beforeDeadline = cancelled.filter(start => !caller.sends.some(send => send.sentAtMs + DEADLINE_END_FRACTION * deadlineMs <= start.endedAtMs!))
  const unexplained = beforeDeadline.filter(start => !starts.some(later => later.decidedAtMs > start.decidedAtMs))
  if (options.hadFaults) return []
  return unexplained.map(start => createFinding('preempted', caller, `cancelled on ${start.endpoint} ${start.endedAtMs! - start.startedAtMs} ms after its start`))
}

function checkStarvation (record: RunRecord, options: CheckOptions): Finding[] {
  const classNames = new Set(record.callers.map(caller => caller.request.className))
  return [...classNames].flatMap(className => {
    const callers = record.callers.filter(caller => caller.request.className === className)
    if (callers.length < options.minStarvationRequests || callers.some(isAnswered)) return []
    return [createFinding('starvedClass', callers[0]!, `none of the ${callers.length} requests of class ${className} was answered`)]
  })
}

function checkRefusals (caller: CallerRecord, record: RunRecord, options: CheckOptions): Finding[] {
  const findings: Finding[] = []
  for (const send of caller.sends) {
    if (send.outcome.kind !== 'refused') continue
    const { code, execution } = send.outcome
    if (!EXECUTION_STATES.has(execution)) findings.push(createFinding('refusedWithoutReason', caller, `${code} does not state whether the request was run`))
    if (execution !== 'not_run') continue
    const { arrivedAtMs, refusedAtMs, refusableSinceMs } = getRefusalTimes(send, record)
    const refusalDelayMs = refusedAtMs - refusableSinceMs
    if (refusalDelayMs > options.maxRefusalMs) findings.push(createFinding('lateRefusal', caller, `${code} was sent ${refusalDelayMs} ms after the request arrived or left its last queue`))
    else if (refusedAtMs - arrivedAtMs > DEADLINE_END_FRACTION * getDeadlineMs(caller, record)) findings.push(createFinding('lateRefusal', caller, `${code} was sent ${refusedAtMs - arrivedAtMs} ms after arrival, at the deadline`))
  }
  return findings
}

function checkShedding (caller: CallerRecord, starts: EndpointStart[], record: RunRecord, options: CheckOptions): Finding[] {
  const tier = record.config.classes.get(caller.request.className)?.tier ?? 0
  return caller.sends.filter(isShed).flatMap(send => {
    const { arrivedAtMs, refusedAtMs } = getRefusalTimes(send, record)
    const lowerTierStart = listStartsBetween(starts, arrivedAtMs + options.maxClockSkewMs, refusedAtMs - options.maxClockSkewMs)
      .find(start => start.tier > tier && !start.byShare && canServe(caller, start, record))
    if (lowerTierStart === undefined) return []
    const message = `tier ${tier} was shed from ${arrivedAtMs} to ${refusedAtMs} while ${lowerTierStart.endpoint} decided to start tier ${lowerTierStart.tier} at ${lowerTierStart.decidedAtMs}`
    return [createFinding('shedForLowerTier', caller, message)]
  })
}

function canServe (caller: CallerRecord, start: EndpointStart, record: RunRecord): boolean {
  const endpoint = record.config.endpoints.get(start.endpoint)
  const { call } = caller.request
  switch (call.kind) {
    case 'chat': return endpoint?.models.includes(call.body.model) ?? false
    case 'service': return endpoint?.service === call.service
  }
}

function getRefusalTimes (send: SendRecord, record: RunRecord): { arrivedAtMs: number, refusableSinceMs: number, refusedAtMs: number } {
  const decision = record.refusalDecisions.get(send.requestId ?? '')
  const arrivedAtMs = decision?.arrivedAtMs ?? send.sentAtMs
  return {
    arrivedAtMs,
    refusableSinceMs: decision?.leftQueueAtMs ?? arrivedAtMs,
    refusedAtMs: decision?.refusedAtMs ?? send.endedAtMs
  }
}

/** Lists the starts decided strictly between two times; `starts` must be sorted by decision time. */
function listStartsBetween (starts: EndpointStart[], afterMs: number, beforeMs: number): EndpointStart[] {
  const found: EndpointStart[] = []
  for (let position = findFirstAfter(starts, afterMs); position < starts.length; position++) {
    if (starts[position]!.decidedAtMs >= beforeMs) break
    found.push(starts[position]!)
  }
  return found
}

function findFirstAfter (starts: EndpointStart[], afterMs: number): number {
  let low = 0
  let high = starts.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (starts[middle]!.decidedAtMs > afterMs) high = middle
    else low = middle + 1
  }
  return low
}

function getDeadlineMs (caller: CallerRecord, record: RunRecord): number {
  return record.config.classes.get(caller.request.className)?.deadlineMs ?? Infinity
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

function createUnknownStartFinding (start: EndpointStart): Finding {
  const message = `${start.endpoint} started a request at ${start.startedAtMs} that matches none that a caller sent (attempt ${start.attemptId})`
  return { kind: 'unknownStart', requestId: start.digest, message }
}
