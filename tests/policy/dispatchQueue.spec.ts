import { expect } from 'chai'

import { DispatchQueue } from '../../src/policy/dispatchQueue'
import { playOverload } from './overloadReplay'
import { buildFewGateways } from './replayLoads'

import type { WaitingRequest } from '../../src/policy/dispatchQueue'

function buildWaiting (id: string, rank: number, dueAtMs: number, tokens = 0): WaitingRequest {
  return { id, rank, tokens, dueAtMs, expiresAtMs: 10_000 }
}

describe('DispatchQueue', () => {
  it('should go by rank, then those that can be on time, then by the time they are due', () => {
    const queue = new DispatchQueue()
    const requests = [buildWaiting('low', 2, 100), buildWaiting('late', 1, 40), buildWaiting('second', 1, 300), buildWaiting('first', 1, 200)]
    for (const request of requests) queue.add(request)
    expect(queue.listInOrder(50).map(request => request.id)).to.deep.equal(['first', 'second', 'late', 'low'])
  })

  it('should let a small prompt go before a large one of its rank, unless that is due much earlier', () => {
    const queue = new DispatchQueue()
    const requests = [buildWaiting('large', 1, 200, 9000), buildWaiting('small', 1, 250, 500), buildWaiting('urgent', 0, 900, 9000), buildWaiting('much later', 1, 2000, 500)]
    requests.forEach(request => queue.add(request))
    expect(queue.listInOrder(0).map(request => request.id)).to.deep.equal(['urgent', 'small', 'large', 'much later'])
  })

  it('should have most prompts on time in a burst before few gateways, though more comes than can be read', () => {
    const bulk = playOverload(buildFewGateways({ load: 1, seed: 1 })).kinds.get('bulk')!
    expect(bulk.inTime / bulk.asked).to.be.above(0.5)
  }).timeout(60_000)

  it('should start each rank now and then however much of a higher one waits', () => {
    const queue = new DispatchQueue()
    queue.add(buildWaiting('low', 2, 100))
    let starts = 0
    for (; queue.size > 0 && starts < 200; starts++) {
      queue.add(buildWaiting(`high-${starts}`, 0, starts))
      const next = queue.listInOrder(0)[0]!
      queue.recordStart(next)
      if (next.id === 'low') break
    }
    expect(starts).to.be.below(50)
  })

  it('should give up what has run out of time and keep the rest', () => {
    const queue = new DispatchQueue()
    queue.add({ ...buildWaiting('old', 0, 100), expiresAtMs: 500 })
    queue.add(buildWaiting('new', 0, 700))
    expect(queue.takeExpired(600).map(request => request.id)).to.deep.equal(['old'])
    expect(queue.size).to.equal(1)
  })
})
