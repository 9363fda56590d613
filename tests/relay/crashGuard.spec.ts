import { expect } from 'chai'

import { DecisionLog } from '../../src/base/decisionLog'
import { Metrics } from '../../src/base/metrics'
import { EVIDENCE_SETTLE_MS } from '../../src/policy/crashEvidence'
import { CrashGuard } from '../../src/relay/crashGuard'
import { RelayObserver } from '../../src/relay/relayObserver'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'
import { waitUntil } from './relayFixture'

import type { Clock } from '../../src/base/clock'
import type { EndpointEntry } from '../../src/policy/directEndpoint'
import type { RelayRequest } from '../../src/relay/relayRequest'

const HOLD_MS = 600_000
const NO_ANSWER = { status: null, events: 0, streamedMs: 0 }

describe('CrashGuard', () => {
  let guard: CrashGuard
  let peer: CrashGuard
  let elapsedMs = 0
  const clock: Clock = { getMonotonicMs: () => performance.now() + elapsedMs, getWallMs: () => Date.now() + elapsedMs }

  beforeEach(() => {
    elapsedMs = 0
    const store = new MemoryObjectStore()
    guard = createGuard(store)
    peer = createGuard(store)
  })

  afterEach(async () => {
    await Promise.all([guard.stop(), peer.stop()])
  })

  function createGuard (store: MemoryObjectStore): CrashGuard {
    const log = new DecisionLog({ instance: 'gateway-1', bytesPerSecond: 1_000_000, destination: { write: () => true, flush: handleDone => handleDone() } })
    const created = new CrashGuard({
      clock,
      service: new MemoryObjectService(store),
      log,
      observer: new RelayObserver(log, new Metrics()),
      handleRefused: () => {},
      handleCrash: () => {},
      handleHold: () => {}
    })
    created.start()
    return created
  }

  /** Plays crashes under the part, each with another request. */
  function playCrashes (part: string, count: number): void {
    for (let index = 1; index <= count; index++) {
      elapsedMs += 100
      const endpoint = createEndpoint(`${part}-${index}`)
      guard.recordBrokenConnection(endpoint, createRequest(part, `request-${index}`), NO_ANSWER)
      guard.recordRefusedConnection(endpoint)
    }
  }

  it('should refuse requests with the part until the hold ends by its time, and say when', async () => {
    playCrashes('bad', 4)
    expect(guard.check(createRequest('bad', 'next'))).to.equal(null)
    elapsedMs += EVIDENCE_SETTLE_MS
    await waitUntil('the hold', () => guard.listHolds().length === 1)
    const refusal = guard.check(createRequest('bad', 'next'))
    expect(refusal).to.include({ code: 'request_crashes_endpoints', execution: 'not_run' })
    expect(refusal!.retryAfterMs).to.be.within(HOLD_MS - 2000, HOLD_MS)
    expect(guard.check(createRequest('sound', 'next'))).to.equal(null)
    elapsedMs += HOLD_MS + 1
    expect([guard.check(createRequest('bad', 'next')), guard.listHolds()]).to.deep.equal([null, []])
  })

  it('should go on to hold a part, at other gateways too, after one that was held with it turned out to be sound', async () => {
    for (let index = 1; index <= 4; index++) {
      elapsedMs += 100
      const endpoint = createEndpoint(`e-${index}`)
      guard.recordBrokenConnection(endpoint, createRequest('bad', `request-${index}`, 'company'), NO_ANSWER)
      guard.recordRefusedConnection(endpoint)
    }
    peer.mergeNews(guard.listNews())
    elapsedMs += EVIDENCE_SETTLE_MS
    await waitUntil('the hold', () => guard.listHolds().length === 1 && peer.listHolds().length === 1)
    expect(guard.check(createRequest('company', 'other'))).to.equal(null)
    elapsedMs += 100
    guard.recordBegunAnswer(createRequest('company', 'other'), clock.getMonotonicMs())
    for (let round = 0; round < 20; round++) {
      peer.mergeNews(guard.listNews())
      guard.mergeNews(peer.listNews())
      await new Promise(resolve => setTimeout(resolve, 10))
    }
    for (const each of [guard, peer]) {
      expect(each.check(createRequest('bad', 'next', 'another'))).to.include({ code: 'request_crashes_endpoints' })
      expect(each.listHolds()).to.have.length(1)
    }
  })

  it('should count no crash against the requests that ran beside a held part', async () => {
    playCrashes('bad', 4)
    elapsedMs += EVIDENCE_SETTLE_MS
    await waitUntil('the hold', () => guard.listHolds().length === 1)
    const before = guard.listRecords().length
    playCrashes('bad', 6)
    expect(guard.listRecords()).to.have.length(before)
  })

  // the decision was made before the reports were read that had come while the process stood still
  it('should not hold a part of which others have reported an answer that was not read yet', async () => {
    playCrashes('bad', 4)
    const part = guard.listNews().crashes[0]!.requests[0]![0]!
    for (const untilMs = performance.now() + EVIDENCE_SETTLE_MS + 50; performance.now() < untilMs;);
    const isHeldBefore = await new Promise<boolean>(resolve => setImmediate(() => {
      resolve(guard.listHolds().length > 0)
      guard.mergeNews({ crashes: [], answered: [{ part, atMs: clock.getMonotonicMs() }] })
    }))
    await new Promise(resolve => setTimeout(resolve, 100))
    expect([isHeldBefore, guard.listHolds()]).to.deep.equal([false, []])
  })

  it('should not hold a part under which answers only broke while the endpoints live', async () => {
    for (let index = 1; index <= 6; index++) guard.recordBrokenConnection(createEndpoint(`alive-${index}`), createRequest('part', `request-${index}`), NO_ANSWER)
    expect(guard.listSuspects()).to.deep.equal([])
  })

  it('should not suspect the parts of a stream that had gone on for some events', () => {
    const endpoint = createEndpoint('e-1')
    guard.recordBrokenConnection(endpoint, createRequest('streaming', 'request-1'), { status: 200, events: 3, streamedMs: 100 })
    guard.recordBrokenConnection(endpoint, createRequest('begun', 'request-2'), { status: 200, events: 1, streamedMs: 0 })
    guard.recordRefusedConnection(endpoint)
    expect(guard.listSuspects()).to.have.length(1)
  })
})

function createEndpoint (id: string): EndpointEntry {
  return { id, service: 'archive', address: '127.0.0.1:1', domain: 'a', version: 'v1', slots: 6, state: 'ready', bornAtMs: 1 }
}

function createRequest (part: string, requestId: string, company?: string): RelayRequest {
  const shared = [part, ...company === undefined ? [] : [company]].map(id => ({ id, tokens: 100 }))
  return {
    traits: { requestId, method: 'POST', host: 'archive.example', target: '/archive', headers: [], key: null, callerTimeoutMs: null, resumeAfterEventId: null, resumedRequestId: null, promptParts: [...shared, { id: requestId, tokens: 10 }], model: null, maxOutputTokens: null, estimatedOutputTokens: null },
    route: { name: 'r-1', kind: 'stream' } as RelayRequest['route'],
    service: 'archive',
    workspace: null,
    rank: 1,
    body: Buffer.from(requestId),
    arrivedAtMs: 0,
    deadlineAtMs: 1000
  }
}
