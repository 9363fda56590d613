import { expect } from 'chai'

import { DispatchQueue } from '../../src/policy/dispatchQueue'
import { computeLatestStart } from '../../src/policy/latestStart'

const SERVICE_MS = 85
const TARGET_MS = 390
const DEADLINE_MS = 1500
const SLOTS = 6

/** Simulates calls to a plain service that arrive faster than its slots serve them. Returns the fraction answered in time. */
function simulateOverload (load: number, typicalAnswerMs: number): number {
  const queue = new DispatchQueue()
  const endsAtMs: number[] = []
  let answeredInTime = 0
  let pendingArrivals = 0
  let calls = 0
  for (let nowMs = 0; nowMs < 6000; nowMs++) {
    for (pendingArrivals += load * SLOTS / SERVICE_MS; pendingArrivals >= 1; pendingArrivals--) {
      queue.add({ id: `c-${calls++}`, rank: 1, prefillMs: 0, latestStartAtMs: computeLatestStart({ arrivedAtMs: nowMs, targetMs: TARGET_MS, tokens: 0, tokensPerMs: 100, typicalAnswerMs }), expiresAtMs: nowMs + DEADLINE_MS, claim: null })
    }
    queue.removeExpired(nowMs)
    while (endsAtMs.length > 0 && endsAtMs[0]! <= nowMs) endsAtMs.shift()
    for (const call of queue.listInOrder(nowMs).slice(0, SLOTS - endsAtMs.length)) {
      queue.recordStart(call)
      endsAtMs.push(nowMs + SERVICE_MS)
      if (nowMs + SERVICE_MS <= call.expiresAtMs - DEADLINE_MS + TARGET_MS) answeredInTime += 1
    }
  }
  return answeredInTime / calls
}

describe('computeLatestStart', () => {
  it('should leave time for the prefill, or for the typical answer time of a plain service', () => {
    expect(computeLatestStart({ arrivedAtMs: 100, targetMs: 800, tokens: 4000, tokensPerMs: 100, typicalAnswerMs: 50 })).to.equal(800)
    expect(computeLatestStart({ arrivedAtMs: 100, targetMs: 390, tokens: 0, tokensPerMs: 100, typicalAnswerMs: 85 })).to.equal(405)
  })

  it('should use nearly the full capacity of a plain service for answers on time when twice as many calls arrive', () => {
    expect(simulateOverload(2, SERVICE_MS)).to.be.at.least(0.9 / 2)
    expect(simulateOverload(2, 0)).to.be.below(0.2)
  })
})
