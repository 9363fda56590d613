import { expect } from 'chai'

import { PLAIN_MANNER } from '../../soak/callerManner'
import { FaultHistory } from '../../soak/faultHistory'
import { SoakChecker } from '../../soak/soakChecker'
import { SoakOperator } from '../../soak/soakOperator'
import { buildAnswer, buildEvent } from '../../soak/soakRequests'
import { ObjectsServer } from '../../standins/objects/objectsServer'

import type { CallerOutcome } from '../../soak/soakCaller'
import type { SentRequest, SoakFinding } from '../../soak/soakChecker'
import type { SoakEndpoint, SoakRun } from '../../soak/soakEndpoint'
import type { SoakRequest } from '../../soak/soakRequests'

const BOUNDS = { reconnectMs: 3000, configApplyMs: 2000, rollbackSlackMs: 250, revocationMs: 5000, drainMs: 2000, lossSlackMs: 200, stopSeconds: 8 }

interface CheckerFixture {
  checker: SoakChecker
  operator: SoakOperator
  faultHistory: FaultHistory
  endpoint: { id: string, drainStartedAtMs: number | null }
  findings: SoakFinding[]
}

function buildChecker (): CheckerFixture {
  const operator = new SoakOperator(new ObjectsServer())
  operator.publishNext()
  const faultHistory = new FaultHistory()
  const endpoint = { id: 'desk-1', drainStartedAtMs: null }
  const findings: SoakFinding[] = []
  const checker = new SoakChecker({ bounds: BOUNDS, operator, faultHistory, findEndpoint: () => endpoint as SoakEndpoint, handleFinding: finding => findings.push(finding) })
  return { checker, operator, faultHistory, endpoint, findings }
}

function buildSent (overrides: Partial<SoakRequest> = {}, sentAtMs = performance.now()): SentRequest {
  const request: SoakRequest = {
    requestId: 'r-1', kind: 'once', method: 'POST', target: '/once/x', body: 'order', key: 'key-perfumers', workspace: 'perfumers', keyVersion: null, routeVersion: null, events: 0, deadlineMs: 1000, resumed: null, disconnectAfterMs: null, manner: PLAIN_MANNER, ...overrides
  }
  return { request, gateway: 0, epoch: 1, sentAtMs }
}

function buildRun ({ request }: SentRequest, overrides: Partial<SoakRun> = {}): SoakRun {
  const { requestId, method, target, body, workspace } = request
  return { requestId, endpointId: 'desk-1', method, target, body, workspace, hasKey: false, startedAtMs: performance.now(), endedAtMs: null, hasBrokenOff: false, ...overrides }
}

function buildSuccess ({ request }: SentRequest): CallerOutcome {
  return { kind: 'answered', status: 200, isSigned: true, body: buildAnswer(request.requestId, request.target, request.body), retryAfter: null }
}

function buildRefusal (status: number): CallerOutcome {
  return { kind: 'answered', status, isSigned: false, body: '', retryAfter: '1' }
}

describe("the soak's checker", () => {
  let fixture: CheckerFixture

  beforeEach(() => { fixture = buildChecker() })

  function listKinds (): string[] {
    return fixture.findings.map(finding => finding.kind)
  }

  function play (sent: SentRequest, runs: Array<Partial<SoakRun>>, end: CallerOutcome): void {
    fixture.checker.handleSent(sent)
    for (const run of runs) fixture.checker.handleRun(buildRun(sent, run))
    fixture.checker.handleResult({ ...sent, endedAtMs: performance.now(), end })
  }

  it('should report nothing for a request that ran once and was answered', () => {
    const sent = buildSent()
    play(sent, [{}], buildSuccess(sent))
    expect(listKinds()).to.deep.equal([])
  })

  it("should report another request's answer, a truncated one and an unsigned one", () => {
    const other = buildSuccess(buildSent({ requestId: 'r-2' }))
    play(buildSent(), [{}], other)
    const cut = buildSuccess(buildSent())
    play(buildSent(), [], cut.kind === 'answered' ? { ...cut, body: cut.body.slice(0, -1) } : cut)
    play(buildSent(), [], { ...buildSuccess(buildSent()), isSigned: false } as CallerOutcome)
    expect(listKinds()).to.include('wrongAnswer').and.have.length.at.least(3)
  })

  it('should report a stream with events of two software versions, in one answer or over the attempts of its caller', () => {
    const stream = { kind: 'stream' as const, target: '/stream/x?events=2', events: 2 }
    const begun = buildEvent('r-1', 1, 'v1')
    const broken = { kind: 'broken' as const, message: 'reset', lastByteSentAtMs: null }
    fixture.faultHistory.begin({ kind: 'gateway', index: 0 })
    play(buildSent(stream), [], { ...broken, body: begun })
    play(buildSent({ ...stream, resumed: { originId: 'r-0', lastEventId: 0, version: 'v1' } }), [], { ...broken, body: begun })
    expect(listKinds()).to.deep.equal([])
    play(buildSent(stream), [], { ...broken, body: begun + buildEvent('r-1', 2, 'v2') })
    play(buildSent({ ...stream, resumed: { originId: 'r-0', lastEventId: 0, version: 'v2' } }), [], { ...broken, body: begun })
    expect(listKinds()).to.deep.equal(['mixedVersions', 'mixedVersions'])
  })

  it('should report malformed HTTP', () => {
    fixture.faultHistory.begin({ kind: 'gateway', index: 0 })
    play(buildSent(), [], { kind: 'broken', message: 'Parse Error: Duplicate Content-Length', body: '', lastByteSentAtMs: null })
    expect(listKinds()).to.deep.equal(['wrongAnswer'])
  })

  it('should report a second run of a non-idempotent request and allow it for an idempotent one', () => {
    const once = buildSent()
    play(once, [{}, { endpointId: 'desk-2' }], buildSuccess(once))
    const read = buildSent({ requestId: 'r-2', kind: 'read' })
    play(read, [{}, { endpointId: 'desk-2' }], buildSuccess(read))
    expect(listKinds()).to.deep.equal(['duplicateRun'])
  })

  it('should report a run of a request that was answered as not run, before and after the answer', () => {
    play(buildSent(), [{}], buildRefusal(503))
    const late = buildSent({ requestId: 'r-2' })
    play(late, [], buildRefusal(429))
    fixture.checker.handleRun(buildRun(late))
    expect(listKinds()).to.deep.equal(['ranThoughNotRun', 'ranThoughNotRun'])
  })

  it('should report a forged workspace, a forwarded API key and an altered request', () => {
    const sent = buildSent()
    fixture.checker.handleSent(sent)
    fixture.checker.handleRun(buildRun(sent, { workspace: 'forged' }))
    expect(listKinds()).to.deep.equal(['wrongWorkspace'])
    const second = buildSent({ requestId: 'r-2' })
    fixture.checker.handleSent(second)
    fixture.checker.handleRun(buildRun(second, { hasKey: true, target: '/once/y' }))
    expect(listKinds()).to.deep.equal(['wrongWorkspace', 'alteredRequest', 'wrongWorkspace'])
    fixture.checker.handleRun(buildRun(buildSent({ requestId: 'nobody' })))
    expect(listKinds()).to.have.length(4)
  })

  it('should report the use of a removed key, also during a fault at the gateway', () => {
    fixture.operator.publishNext()
    fixture.operator.publishNext()
    fixture.faultHistory.begin({ kind: 'gateway', index: 0 })
    const sent = buildSent({ kind: 'read', key: 'key-v1', keyVersion: 1 }, performance.now() + 5100)
    play(sent, [{}], buildSuccess(sent))
    expect(listKinds()).to.deep.equal(['removedKeyUsed'])
  })

  it('should report an endpoint used long after it started to drain, except during a fault', () => {
    fixture.endpoint.drainStartedAtMs = performance.now() - 5000
    const sent = buildSent()
    play(sent, [{}], buildSuccess(sent))
    expect(listKinds()).to.deep.equal(['drainedEndpointUsed'])
    fixture.faultHistory.begin({ kind: 'store' })
    const second = buildSent({ requestId: 'r-2' })
    play(second, [{}], buildSuccess(second))
    expect(listKinds()).to.have.length(1)
  })

  it('should report a removed route that is still served and a current one answered as unknown', () => {
    fixture.operator.publishNext()
    fixture.operator.publishNext()
    const removed = buildSent({ kind: 'versioned', target: '/v1/x', routeVersion: 1 }, performance.now() + 2200)
    play(removed, [{}], buildSuccess(removed))
    expect(listKinds()).to.deep.equal(['staleConfig'])
    const present = buildSent({ requestId: 'r-2', kind: 'versioned', target: '/v3/x', routeVersion: 3 }, performance.now() + 2200)
    play(present, [], buildRefusal(404))
    expect(listKinds()).to.deep.equal(['staleConfig', 'staleConfig'])
    play(buildSent({ requestId: 'r-3' }), [], buildRefusal(401))
    expect(listKinds()).to.have.length(3)
  })

  it('should report a process that returns to an older version than it served before', () => {
    fixture.operator.publishNext()
    fixture.operator.publishNext()
    const newest = buildSent({ kind: 'versioned', target: '/v3/x', routeVersion: 3 })
    play(newest, [{}], buildSuccess(newest))
    const before = buildSent({ requestId: 'r-2', kind: 'versioned', target: '/v1/x', routeVersion: 1 }, performance.now() + 300)
    play(before, [{}], buildSuccess(before))
    expect(listKinds()).to.deep.equal(['configWentBack'])
    const other = { ...buildSent({ requestId: 'r-3', kind: 'versioned', target: '/v1/x', routeVersion: 1 }, performance.now() + 300), epoch: 2 }
    play(other, [{}], buildSuccess(other))
    expect(listKinds()).to.have.length(1)
  })

  it('should report an unanswered request and a broken connection, except at a gateway with a fault', () => {
    play(buildSent(), [{}], { kind: 'unanswered' })
    play(buildSent({ requestId: 'r-2' }), [{}], { kind: 'broken', message: 'reset', body: '', lastByteSentAtMs: null })
    expect(listKinds()).to.deep.equal(['noAnswer', 'lostAnswer'])
    fixture.faultHistory.begin({ kind: 'gateway', index: 0 })
    play(buildSent({ requestId: 'r-3' }), [{}], { kind: 'unanswered' })
    play(buildSent({ requestId: 'r-4' }), [{}], { kind: 'broken', message: 'reset', body: '', lastByteSentAtMs: null })
    expect(listKinds()).to.have.length(2)
  })

  // a pause of the process is no reason to cut an answer whose caller still waits
  it('should report a broken connection at a paused gateway, except after the time limit', () => {
    fixture.faultHistory.begin({ kind: 'pause', index: 0 })
    const broken: CallerOutcome = { kind: 'broken', message: 'reset', body: '', lastByteSentAtMs: null }
    play(buildSent({ requestId: 'r-1' }), [{}], broken)
    play(buildSent({ requestId: 'r-2' }, performance.now() - 1000), [{}], broken)
    play(buildSent({ requestId: 'r-3' }), [{}], { kind: 'unanswered' })
    expect(listKinds()).to.deep.equal(['lostAnswer'])
  })

  // an outage of the store is no reason to lose what is no stream
  it('should report a broken connection during an outage of the store, except of a stream', () => {
    fixture.faultHistory.begin({ kind: 'store' })
    const broken: CallerOutcome = { kind: 'broken', message: 'reset', body: '', lastByteSentAtMs: null }
    play(buildSent(), [{}], broken)
    play(buildSent({ requestId: 'r-2', kind: 'stream', events: 2 }), [{}], broken)
    expect(listKinds()).to.deep.equal(['lostAnswer'])
  })

  it('should report where a lost request ran and when it was sent and ended, counted from the signal', () => {
    const sent = buildSent()
    fixture.checker.handleSignal({ gateway: 0, epoch: 1, signal: 'SIGTERM', atMs: sent.sentAtMs - 500 })
    fixture.checker.handleSignal({ gateway: 0, epoch: 1, signal: 'SIGCONT', atMs: sent.sentAtMs - 10 })
    play(sent, [{}], { kind: 'broken', message: 'reset', body: '', lastByteSentAtMs: sent.sentAtMs })
    expect(fixture.findings[0]?.message).to.match(/r-1 \(once \/once\/x\).*body with a length, ran at desk-1,.* from SIGTERM: sent 0\.500 s, last byte 0\.500 s, ended 0\.\d+ s; before the end: SIGTERM 0\.\d+ s, SIGCONT 0\.\d+ s$/)
    expect(fixture.findings[0]?.lost).to.deep.equal({ requestId: 'r-1', gateway: 0 })
  })
})
