import { expect } from 'chai'

import { PrefillLimit } from '../../src/policy/prefillLimit'

const TARGET = { targetMs: 250, hasQueuedRequests: true }

describe('ReadLimit', () => {
  it('should grow while prompts that wait are read soon, and not when nothing waits', () => {
    const limit = new PrefillLimit()
    const before = limit.tokens
    limit.recordPrefillDelay({ ...TARGET, hasQueuedRequests: false, delayMs: 10, nowMs: 0 })
    expect(limit.tokens).to.equal(before)
    limit.recordPrefillDelay({ ...TARGET, delayMs: 10, nowMs: 0 })
    expect(limit.tokens).to.be.above(before)
  })

  it('should shrink once for one jam, and never below what one prompt needs', () => {
    const limit = new PrefillLimit()
    const before = limit.tokens
    for (let nowMs = 0; nowMs < 100; nowMs += 10) limit.recordPrefillDelay({ ...TARGET, delayMs: 900, nowMs })
    expect(limit.tokens).to.equal(before * 0.85)
    for (let nowMs = 0; nowMs < 60_000; nowMs += 200) limit.recordPrefillDelay({ ...TARGET, delayMs: 900, nowMs })
    expect(limit.tokens).to.equal(4000)
  })
})
