import { expect } from 'chai'

import { PrefixCacheEstimate } from '../../src/policy/prefixCacheEstimate'

describe('PrefixCacheEstimate', () => {
  it('should count the leading parts that were sent recently', () => {
    const estimate = new PrefixCacheEstimate()
    estimate.record([{ id: 'system', tokens: 300 }, { id: 'history', tokens: 13_000 }], 0)
    const prompt = [{ id: 'system', tokens: 300 }, { id: 'history', tokens: 13_000 }, { id: 'new', tokens: 50 }]
    expect(estimate.countCachedTokens(prompt, 1000)).to.equal(13_300)
    expect(estimate.countCachedTokens(prompt.slice(1), 1000)).to.equal(13_000)
    expect(estimate.countCachedTokens(prompt, 20_001)).to.equal(0)
  })

  it('should count as read only parts that were sent there and prefilled, not longer than it remembers them', () => {
    const estimate = new PrefixCacheEstimate()
    const prompt = [{ id: 'system', tokens: 300 }, { id: 'history', tokens: 13_000 }]
    estimate.record(prompt, 0)
    expect(estimate.countReadTokens(prompt, 10)).to.equal(0)
    estimate.recordRead([...prompt, { id: 'never sent', tokens: 10 }], 400)
    expect(estimate.countReadTokens(prompt, 500)).to.equal(13_300)
    expect(estimate.countReadTokens([{ id: 'never sent', tokens: 10 }], 500)).to.equal(0)
    expect(estimate.countReadTokens(prompt, 20_401)).to.equal(0)
    estimate.record([{ id: 'later', tokens: 10 }], 30_000)
    expect(estimate.countReadTokens(prompt, 500)).to.equal(0)
  })

  it('should remember only the parts sent in the last 20 s', () => {
    const estimate = new PrefixCacheEstimate()
    for (let second = 0; second < 600; second++) estimate.record([{ id: `part-${second}`, tokens: 100 }], 1000 * second)
    expect(estimate.size).to.equal(21)
  })
})
