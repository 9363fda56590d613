import { expect } from 'chai'

import { DispatchQueue } from '../../src/policy/dispatchQueue'
import { simulateOverload } from './overloadReplay'
import { buildFewGatewayScenario } from './replayLoads'

import type { WaitingRequest } from '../../src/policy/dispatchQueue'

const TOKENS_PER_MS = 100

function buildWaitingRequest (id: string, rank: number, latestStartAtMs: number, tokens = 0): WaitingRequest {
  return { id, rank, prefillMs: tokens / TOKENS_PER_MS, latestStartAtMs, expiresAtMs: 10_000, claim: null }
}

describe('DispatchQueue', () => {
  it('should order by rank, then on-time before late requests, then by latest feasible start', () => {
    const queue = new DispatchQueue()
    const requests = [buildWaitingRequest('low', 2, 100), buildWaitingRequest('late', 1, 40), buildWaitingRequest('second', 1, 300), buildWaitingRequest('first', 1, 200)]
    for (const request of requests) queue.add(request)
    expect(queue.listInOrder(50).map(request => request.id)).to.deep.equal(['first', 'second', 'late', 'low'])
  })

  it('should order a small prompt before a large one of its rank, unless the large one must start much earlier', () => {
    const queue = new DispatchQueue()
    const requests = [buildWaitingRequest('large', 1, 200, 9000), buildWaitingRequest('small', 1, 250, 500), buildWaitingRequest('urgent', 0, 900, 9000), buildWaitingRequest('much later', 1, 2000, 500)]
    requests.forEach(request => queue.add(request))
    expect(queue.listInOrder(0).map(request => request.id)).to.deep.equal(['urgent', 'small', 'large', 'much later'])
  })

  it('should keep most prompts on time in a burst at few gateways that exceeds the prefill throughput', () => {
    const bulk = simulateOverload(buildFewGatewayScenario({ load: 1, seed: 1 })).kinds.get('bulk')!
    expect(bulk.inTime / bulk.arrived).to.be.above(0.5)
  }).timeout(60_000)

  it('should start each rank now and then regardless of the backlog of a higher one', () => {
    const queue = new DispatchQueue()
    queue.add(buildWaitingRequest('low', 2, 100))
    let starts = 0
    for (; queue.size > 0 && starts < 200; starts++) {
      queue.add(buildWaitingRequest(`high-${starts}`, 0, starts))
      const next = queue.listInOrder(0)[0]!
      queue.recordStart(next)
      if (next.id === 'low') break
    }
    expect(starts).to.be.below(50)
  })

  it('should remove expired requests and keep the rest', () => {
    const queue = new DispatchQueue()
    queue.add({ ...buildWaitingRequest('old', 0, 100), expiresAtMs: 500 })
    queue.add(buildWaitingRequest('new', 0, 700))
    expect(queue.removeExpired(600).map(request => request.id)).to.deep.equal(['old'])
    expect(queue.size).to.equal(1)
  })
})
