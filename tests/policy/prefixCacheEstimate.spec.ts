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

  it('should remember only the parts sent in the last 20 s', () => {
    const estimate = new PrefixCacheEstimate()
    for (let second = 0; second < 600; second++) estimate.record([{ id: `part-${second}`, tokens: 100 }], 1000 * second)
    expect(estimate.size).to.equal(21)
  })
})
