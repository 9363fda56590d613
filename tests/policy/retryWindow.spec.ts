import { expect } from 'chai'

import { RetryWindow } from '../../src/policy/retryWindow'

const OPTIONS = { windowMs: 10_000, ratio: 0.2, minRetries: 1 }

describe('RetryWindow', () => {
  it('should keep the retries of a fleet within the ratio in every window, with each gateway deciding on its own', () => {
    const gateways = Array.from({ length: 4 }, () => new RetryWindow(OPTIONS))
    const retriesAtMs: number[] = []
    for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
      const gateway = gateways[(nowMs / 20) % 4]!
      gateway.recordRequest('archive', nowMs)
      if (gateway.acquire('archive', nowMs)) retriesAtMs.push(nowMs)
    }
    for (let fromMs = 0; fromMs <= 50_000; fromMs += 500) {
      const inWindow = retriesAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 10_000).length
      expect(inWindow).to.be.at.most(0.2 * 500 + 4)
    }
  })

  it('should allow a retry again when the window has passed', () => {
    const retries = new RetryWindow(OPTIONS)
    expect(retries.acquire('archive', 0)).to.equal(true)
    expect(retries.acquire('archive', 1000)).to.equal(false)
    expect(retries.acquire('archive', 12_000)).to.equal(true)
  })
})
