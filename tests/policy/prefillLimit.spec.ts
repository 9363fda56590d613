import { expect } from 'chai'

import { PrefillLimit } from '../../src/policy/prefillLimit'

const TARGET = { targetMs: 250, hasQueuedRequests: true }

describe('PrefillLimit', () => {
  it('should grow after short delays, but not when no requests are queued', () => {
    const limit = new PrefillLimit()
    const before = limit.tokens
    limit.recordPrefillDelay({ ...TARGET, hasQueuedRequests: false, delayMs: 10, nowMs: 0 })
    expect(limit.tokens).to.equal(before)
    limit.recordPrefillDelay({ ...TARGET, delayMs: 10, nowMs: 0 })
    expect(limit.tokens).to.be.above(before)
  })

  it('should shrink once for one congestion event, and never below what one prompt needs', () => {
    const limit = new PrefillLimit()
    const before = limit.tokens
    for (let nowMs = 0; nowMs < 100; nowMs += 10) limit.recordPrefillDelay({ ...TARGET, delayMs: 900, nowMs })
    expect(limit.tokens).to.equal(before * 0.85)
    for (let nowMs = 0; nowMs < 60_000; nowMs += 200) limit.recordPrefillDelay({ ...TARGET, delayMs: 900, nowMs })
    expect(limit.tokens).to.equal(4000)
  })
})
