import { expect } from 'chai'
import fc from 'fast-check'

import { RateLimiter } from '../../src/policy/rateLimiter'
import { RetryBudget } from '../../src/policy/retryBudget'
import { SlotLimiter } from '../../src/policy/slotLimiter'

const SEED = 20_253

describe('RetryBudget', () => {
  it('should limit retries to the ratio plus the saved and granted ones', () => {
    const arrivals = fc.array(fc.integer({ min: 0, max: 50 }), { minLength: 100, maxLength: 2000 })
    fc.assert(fc.property(arrivals, gapsMs => {
      const budget = new RetryBudget({ maxSaved: 10, grantedPerSecond: 0.1 })
      let nowMs = 0
      let retries = 0
      for (const gapMs of gapsMs) {
        nowMs += gapMs
        budget.recordRequest('quote', 0.1, nowMs)
        for (let attempt = 0; attempt < 3; attempt++) if (budget.acquire('quote', nowMs)) retries += 1
      }
      expect(retries).to.be.at.most(10 + 0.1 * gapsMs.length + nowMs / 10_000)
    }), { seed: SEED, numRuns: 30 })
  })

  it('should keep a separate budget per class', () => {
    const budget = new RetryBudget({ maxSaved: 1, grantedPerSecond: 0 })
    expect(budget.acquire('quote', 0)).to.equal(true)
    expect(budget.acquire('quote', 0)).to.equal(false)
    expect(budget.acquire('lookup', 0)).to.equal(true)
  })
})

describe('RateLimiter', () => {
  const limits = { requestsPerSecond: 5, maxConcurrent: 100 }

  it('should limit the rate of a workspace and return when to retry', () => {
    const limiter = new RateLimiter()
    let admitted = 0
    for (let nowMs = 0; nowMs < 10_000; nowMs += 10) if (limiter.admit('shop', limits, nowMs).kind === 'admitted') admitted += 1
    expect(admitted).to.be.within(58, 60)
    const decision = limiter.admit('shop', limits, 10_000)
    if (decision.kind === 'admitted') return
    expect(limiter.admit('shop', limits, 10_000 + decision.retryAfterMs).kind).to.equal('admitted')
  })

  it('should limit the concurrent requests of a workspace', () => {
    const limiter = new RateLimiter()
    const narrow = { requestsPerSecond: 100, maxConcurrent: 2 }
    expect([0, 0, 0].map(nowMs => limiter.admit('shop', narrow, nowMs).kind)).to.deep.equal(['admitted', 'admitted', 'limited'])
    limiter.release('shop')
    expect(limiter.admit('shop', narrow, 0).kind).to.equal('admitted')
  })
})

describe('SlotLimiter', () => {
  const options = { slots: 32, targetIntervalMs: 53, reservedTier: 2, reservedFraction: 0.1 }

  it('should settle at a limit that keeps tokens within their target', () => {
    const limiter = new SlotLimiter(options)
    let late = 0
    for (let nowMs = 0; nowMs < 60_000; nowMs += 50) {
      const running = limiter.getLimit()
      const intervalMs = 20 + 3 * running
      limiter.recordTokenInterval(intervalMs, running, nowMs)
      if (nowMs > 10_000 && intervalMs > 53 * 1.1) late += 1
    }
    expect(limiter.getLimit()).to.be.within(8, 12)
    expect(late).to.equal(0)
  })

  it('should return to all slots after a slow period', () => {
    const limiter = new SlotLimiter(options)
    for (let nowMs = 0; nowMs < 5000; nowMs += 50) limiter.recordTokenInterval(400, limiter.getLimit(), nowMs)
    expect(limiter.getLimit()).to.be.at.most(8)
    for (let nowMs = 5000; nowMs < 40_000; nowMs += 50) limiter.recordTokenInterval(30, limiter.getLimit(), nowMs)
    expect(limiter.getLimit()).to.equal(32)
  })

  it('should reserve slots for the urgent tiers, the last of them for tier 1, but never all', () => {
    expect(new SlotLimiter(options).getLimitByTier()).to.deep.equal([32, 31, 28, 28, 28, 28])
    expect(new SlotLimiter({ ...options, slots: 1 }).getLimitByTier()).to.deep.equal([1, 1, 1, 1, 1, 1])
  })
})
