import { expect } from 'chai'

import { SlotLimiter } from '../../src/policy/slotLimiter'

describe('SlotLimiter at an engine that is slow at any load', () => {
  it('should keep a quarter of the slots', () => {
    const limiter = new SlotLimiter({ slots: 40, targetIntervalMs: 53, reservedTier: 3, reservedFraction: 0.15 })
    for (let nowMs = 0; nowMs < 60_000; nowMs += 100) limiter.recordTokenInterval(60, Math.min(2, limiter.getLimit()), nowMs)
    expect(limiter.getLimit()).to.equal(10)
  })
})
