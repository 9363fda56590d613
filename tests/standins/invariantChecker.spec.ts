import { expect } from 'chai'

import { checkRun } from '../../standins/checker/invariantChecker'
import { hashPlannedRequest } from '../../standins/player/plannedRequest'

import type { Endpoint, ServiceClass } from '../../src/config/fleetConfig'
import type { CheckOptions } from '../../standins/checker/invariantChecker'
import type { RefusalDecision, RunRecord, StartDecision } from '../../standins/checker/runRecord'
import type { EngineRun } from '../../standins/engine/engineRecord'
import type { CallerRecord, SendOutcome, SendRecord } from '../../standins/player/callerRecord'
import type { PlannedRequest } from '../../standins/player/plannedRequest'
import type { ServiceExecution } from '../../standins/service/serviceRecord'

const ANSWERED: SendOutcome = { kind: 'answered', isExact: true }
const NOT_RUN: SendOutcome = { kind: 'refused', status: 503, code: 'overloaded', execution: 'not_run', retryAfterMs: 1000 }
const CHECK_OPTIONS: CheckOptions = { maxRefusalMs: 1000, maxClockSkewMs: 0, hadFaults: false, minStarvationRequests: 3 }

describe('checkRun', () => {
  it('should find nothing in a run that violates no invariant', () => {
    const caller = makeCaller('a', [makeSend(NOT_RUN, 0, 2, 'req-1'), makeSend(ANSWERED, 1000, 1100, 'req-2')])
    expect(listKinds([caller], [makeExecution(caller, 1010, 'req-2.1')])).to.deep.equal([])
  })

  it('should find a wrong answer, a lost answer and an answer without a start at an endpoint', () => {
    const wrong = makeCaller('wrong', [makeSend({ kind: 'answered', isExact: false }, 0, 10, 'req-1')])
    const lost = makeCaller('lost', [makeSend({ kind: 'broken', message: 'reset' }, 0, 10, null)])
    const invented = makeCaller('invented', [makeSend(ANSWERED, 0, 10, 'req-2')])
    const kinds = listKinds([wrong, lost, invented], [makeExecution(wrong, 5, 'req-1.1')])
    expect(kinds).to.deep.equal(['wrongAnswer', 'lostAnswer', 'answeredWithoutStart'])
  })

  it('should allow an answer to be truncated at its deadline, and not before', () => {
    const truncated: SendOutcome = { kind: 'refused', status: 200, code: 'deadline_exceeded', execution: 'may_have_run', retryAfterMs: null }
    const late = makeCaller('late', [makeSend(truncated, 0, 1000, 'req-1')])
    const early = makeCaller('early', [makeSend(truncated, 0, 500, 'req-2')])
    expect(listKinds([late], [makeExecution(late, 5, 'req-1.1')])).to.deep.equal([])
    expect(listKinds([early], [makeExecution(early, 5, 'req-2.1')])).to.deep.equal(['lostAnswer'])
  })

  it('should find a second execution of a non-idempotent request', () => {
    const caller = makeCaller('a', [makeSend(ANSWERED, 0, 10, 'req-1')])
    expect(listKinds([caller], [makeExecution(caller, 2, 'req-1.1'), makeExecution(caller, 4, 'req-1.2')])).to.deep.equal(['duplicateExecution'])
  })

  it('should find an execution whose caller received not_run, including a later execution', () => {
    const caller = makeCaller('a', [makeSend(NOT_RUN, 0, 10, 'req-1')])
    expect(listKinds([caller], [makeExecution(caller, 5, 'req-1.1')])).to.deep.equal(['ranThoughNotRun'])
    expect(listKinds([caller], [makeExecution(caller, 5000, null)])).to.deep.equal(['ranThoughNotRun'])
    const resent = makeCaller('b', [makeSend(NOT_RUN, 0, 10, 'req-1'), makeSend(ANSWERED, 20, 30, 'req-2')])
    expect(listKinds([resent], [makeExecution(resent, 25, 'req-1.1')])).to.deep.equal(['ranThoughNotRun'])
  })

  it('should find a start that matches no request of a caller', () => {
    const caller = makeCaller('a', [makeSend(ANSWERED, 0, 10, 'req-1')])
    const altered = { ...makeExecution(caller, 5, 'req-1.1'), digest: 'altered' }
    expect(listKinds([caller], [altered])).to.deep.equal(['answeredWithoutStart', 'unknownStart'])
  })

  it('should find a higher tier shed while a lower tier was started, unless by a guaranteed share', () => {
    const shed = makeCaller('high', [makeSend(NOT_RUN, 100, 200, 'req-1')])
    const low = makeCaller('low', [makeSend(ANSWERED, 0, 300, 'req-2')], 'low')
    const start = { ...makeExecution(low, 150, 'req-2.1'), priority: 3 }
    expect(listKinds([shed, low], [start])).to.deep.equal(['shedForLowerTier'])
    expect(listKinds([shed, low], [start], { 'req-2.1': { startedAtMs: 150, byShare: true } })).to.deep.equal([])
    expect(listKinds([shed, low], [start], { 'req-2.1': { startedAtMs: 90, byShare: false } })).to.deep.equal([])
    expect(listKinds([shed, low], [{ ...start, startedAtMs: 250 }])).to.deep.equal([])
    expect(listKinds([shed, low], [{ ...start, endpoint: 'other' }])).to.deep.equal([])
  })

  it('should find a started request that was cancelled before its deadline', () => {
    const caller = makeCaller('a', [makeSend(ANSWERED, 0, 900, 'req-1')])
    const whole = makeExecution(caller, 500, 'req-1.2')
    const run = makeRun({ digest: whole.digest, startedAtMs: 10, endedAtMs: 50, state: 'cancelled' })
    const record = { ...makeRecord([caller], []), engines: [{ endpoint: 'engine-1', runs: [run], orders: [] }] }
    expect(checkRun(record, CHECK_OPTIONS).map(finding => finding.kind)).to.deep.equal(['preempted'])
    const moved = { ...run, startedAtMs: 60, state: 'completed' as const }
    expect(checkRun({ ...record, engines: [{ endpoint: 'engine-1', runs: [run, moved], orders: [] }] }, CHECK_OPTIONS).map(finding => finding.kind)).to.deep.equal(['duplicateExecution'])
    const late = { ...record, engines: [{ endpoint: 'engine-1', runs: [{ ...run, endedAtMs: 1005 }], orders: [] }] }
    expect(checkRun(late, CHECK_OPTIONS)).to.deep.equal([])
  })

  it('should find a class without an answered request', () => {
    const callers = ['a', 'b', 'c'].map(id => makeCaller(id, [makeSend(NOT_RUN, 0, 1, null)]))
    expect(listKinds(callers, [])).to.deep.equal(['starvedClass'])
  })

  it('should find a refusal that was late or does not state whether the request was run', () => {
    const late = makeCaller('late', [makeSend(NOT_RUN, 0, 2000, 'req-1')])
    const vague = makeCaller('vague', [makeSend({ ...NOT_RUN, execution: 'perhaps' }, 0, 1, 'req-2')])
    expect(listKinds([late, vague], [], {}, true)).to.deep.equal(['lateRefusal', 'refusedWithoutReason'])
    const displaced = { arrivedAtMs: 1400, leftQueueAtMs: 1995, refusedAtMs: 1999 }
    expect(listKinds([late], [], {}, false, { 'req-1': displaced })).to.deep.equal([])
    expect(listKinds([late], [], {}, false, { 'req-1': { ...displaced, arrivedAtMs: 1 } })).to.deep.equal(['lateRefusal'])
  })
})

function listKinds (callers: CallerRecord[], executions: ServiceExecution[], decisions: Record<string, StartDecision> = {}, hadFaults = false, refusals: Record<string, RefusalDecision> = {}): string[] {
  const record = { ...makeRecord(callers, executions), startDecisions: new Map(Object.entries(decisions)), refusalDecisions: new Map(Object.entries(refusals)) }
  return checkRun(record, { ...CHECK_OPTIONS, hadFaults }).map(finding => finding.kind)
}

function makeRecord (callers: CallerRecord[], executions: ServiceExecution[]): RunRecord {
  return {
    config: {
      classes: new Map([['high', makeClass('high', 1)], ['low', makeClass('low', 3)]]),
      endpoints: new Map([['desk-1', makeEndpoint('desk-1', 'desk')], ['other', makeEndpoint('other', 'elsewhere')]])
    },
    callers,
    engines: [],
    services: [{ endpoint: 'desk-1', executions }],
    startDecisions: new Map(),
    refusalDecisions: new Map()
  }
}

function makeCaller (id: string, sends: SendRecord[], className = 'high'): CallerRecord {
  const call = { kind: 'service' as const, service: 'desk', call: { method: 'POST', path: '/bookings', body: id } }
  const request: PlannedRequest = { id, atMs: 0, gateway: 0, workspace: 'w', apiKey: 'k', className, idempotent: false, call }
  return { request, sends }
}

function makeSend (outcome: SendOutcome, sentAtMs: number, endedAtMs: number, requestId: string | null): SendRecord {
  return { gateway: 0, requestId, sentAtMs, firstTokenAtMs: null, endedAtMs, tokenGapsMs: [], outcome }
}

function makeExecution (caller: CallerRecord, startedAtMs: number, attemptId: string | null): ServiceExecution {
  return {
    endpoint: 'desk-1',
    bootId: 'boot-1',
    method: 'POST',
    path: '/bookings',
    digest: hashPlannedRequest(caller.request),
    idempotencyKey: null,
    attemptId,
    priority: 1,
    startedAtMs,
    endedAtMs: startedAtMs + 1,
    state: 'answered'
  }
}

function makeRun (change: Partial<EngineRun>): EngineRun {
  return {
    endpoint: 'engine-1',
    bootId: 'boot-1',
    model: 'm',
    digest: '',
    attemptId: 'req-1.1',
    priority: 1,
    arrivedAtMs: 0,
    startedAtMs: 0,
    endedAtMs: null,
    resumedAt: 0,
    tokens: 0,
    state: 'completed',
    ...change
  }
}

function makeClass (name: string, tier: number): ServiceClass {
  return { name, tier, firstTokenTargetMs: 100, betweenTokensTargetMs: 50, deadlineMs: 1000, share: 0, retryRatio: 0 }
}

function makeEndpoint (name: string, service: string): Endpoint {
  return { name, kind: 'service', models: [], service, role: 'mixed', checksFencing: false, slots: 1 }
}
