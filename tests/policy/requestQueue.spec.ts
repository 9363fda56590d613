import { expect } from 'chai'
import fc from 'fast-check'

import { buildBusyQueue, buildEntry } from './policyFixtures'

import type { RequestQueue } from '../../src/policy/requestQueue'

const SEED = 20_251

function dequeueAll (queue: RequestQueue, nowMs = 0): string[] {
  const ids: string[] = []
  for (let dequeued = queue.dequeue(nowMs); dequeued !== null; dequeued = queue.dequeue(nowMs)) ids.push(dequeued.entry.id)
  return ids
}

describe('RequestQueue', () => {
  it('should start strictly by tier when no class has a share', () => {
    const tiers = fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 1, maxLength: 40 })
    fc.assert(fc.property(tiers, offered => {
      const queue = buildBusyQueue()
      for (const tier of offered) queue.offer(buildEntry({ tier, startByMs: 1e9 }), 0)
      const started: number[] = []
      for (let dequeued = queue.dequeue(0); dequeued !== null; dequeued = queue.dequeue(0)) started.push(dequeued.entry.tier)
      expect(started).to.deep.equal([...offered].sort())
    }), { seed: SEED })
  })

  it('should share the starts of a tier between workspaces', () => {
    const queue = buildBusyQueue()
    for (let index = 0; index < 20; index++) queue.offer(buildEntry({ workspace: 'large' }), 0)
    for (let index = 0; index < 3; index++) queue.offer(buildEntry({ workspace: 'small', id: `small-${index}` }), 0)
    const firstSix = dequeueAll(queue).slice(0, 6)
    expect(firstSix.filter(id => id.startsWith('small-'))).to.have.length(3)
  })

  it('should give a class its share of the starts while higher tiers are always queued', () => {
    const queue = buildBusyQueue()
    const lookups = { tier: 6, className: 'lookup', share: 0.1, startByMs: 1e9 }
    for (let index = 0; index < 10; index++) queue.offer(buildEntry(lookups), 0)
    const startsByShare: number[] = []
    for (let start = 1; start <= 100; start++) {
      queue.offer(buildEntry({ tier: 1, startByMs: 1e9 }), 0)
      const dequeued = queue.dequeue(0)
      if (dequeued?.entry.className !== 'lookup') continue
      expect(dequeued.by).to.equal('share')
      startsByShare.push(start)
    }
    expect(startsByShare).to.have.length.within(9, 10)
    expect(startsByShare[0]).to.be.within(9, 11)
    startsByShare.slice(1).forEach((start, index) => expect(start - (startsByShare[index] ?? 0)).to.be.within(9, 11))
  })

  it('should serve a class by its share although most of its requests are refused as too late', () => {
    const queue = buildBusyQueue()
    let served = 0
    for (let start = 1; start <= 100; start++) {
      queue.offer(buildEntry({ tier: 1, startByMs: 1e9 }), 0)
      queue.offer(buildEntry({ tier: 6, className: 'lookup', share: 0.1, startByMs: 250 }), 0)
      if (queue.dequeue(0)?.entry.className === 'lookup') served += 1
    }
    expect(served).to.be.within(7, 11)
  })

  it('should displace the newest request of the lowest tier when full', () => {
    const queue = buildBusyQueue(3)
    queue.offer(buildEntry({ tier: 5, id: 'five-1' }), 0)
    queue.offer(buildEntry({ tier: 5, id: 'five-2' }), 0)
    queue.offer(buildEntry({ tier: 4, id: 'four' }), 0)
    const decision = queue.offer(buildEntry({ tier: 2 }), 0)
    expect(decision).to.have.property('kind', 'queued')
    expect(decision.kind === 'queued' && decision.displaced.map(entry => entry.id)).to.deep.equal(['five-2'])
  })

  it('should refuse or displace only the lowest tier when full', () => {
    const offers = fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 10, maxLength: 60 })
    fc.assert(fc.property(offers, tiers => {
      const queue = buildBusyQueue(5)
      for (const tier of tiers) {
        const lowestQueued = queue.countByTier().findLastIndex(count => count > 0) + 1
        const decision = queue.offer(buildEntry({ tier, startByMs: 1e9 }), 0)
        if (decision.kind === 'refused') expect(lowestQueued).to.be.at.most(tier)
        else for (const entry of decision.displaced) expect(entry.tier).to.equal(lowestQueued)
      }
    }), { seed: SEED })
  })

  it('should refuse a request that cannot start in time and return when to retry', () => {
    const queue = buildBusyQueue()
    for (let index = 0; index < 50; index++) queue.offer(buildEntry(), 0)
    const decision = queue.offer(buildEntry({ startByMs: 1000 }), 0)
    expect(decision).to.include({ kind: 'refused', reason: 'cannotMeetDeadline' })
    expect(decision.kind === 'refused' && decision.retryAfterMs).to.be.within(4000, 6000)
  })

  it('should displace a request as soon as higher tiers delay it beyond its latest start', () => {
    const queue = buildBusyQueue()
    queue.offer(buildEntry({ tier: 4, id: 'late', startByMs: 1000 }), 0)
    const displaced: string[] = []
    for (let index = 0; index < 15; index++) {
      const decision = queue.offer(buildEntry({ tier: 1 }), 0)
      if (decision.kind === 'queued') displaced.push(...decision.displaced.map(entry => entry.id))
    }
    expect(displaced).to.deep.equal(['late'])
  })

  it('should return expired entries once and start none of them', () => {
    const queue = buildBusyQueue()
    queue.offer(buildEntry({ id: 'expired', startByMs: 500 }), 0)
    queue.offer(buildEntry({ id: 'alive', tier: 5 }), 0)
    expect(queue.dequeue(501)?.entry.id).to.equal('alive')
    expect(queue.collectExpired(501).map(entry => entry.id)).to.deep.equal(['expired'])
    expect(queue.collectExpired(502)).to.deep.equal([])
  })
})
