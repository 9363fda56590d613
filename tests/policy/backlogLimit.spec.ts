import { expect } from 'chai'

import { isBacklogWithinLimit } from '../../src/policy/backlogLimit'
import { simulateOverload } from './overloadReplay'
import { buildManyGatewayScenario } from './replayLoads'

import type { BacklogState } from '../../src/policy/backlogLimit'

function buildBacklogState (overrides: Partial<BacklogState> = {}): BacklogState {
  return { unreadTokens: 3000, meanUniqueTokens: 3000, isLate: false, localTokens: 0, othersTokens: 10_000, ...overrides }
}

describe('room beside what all gateways have at an endpoint', () => {
  it('should be there for a prompt of mean size until others fill it', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ othersTokens: 14_000 }))).to.equal(true)
    expect(isBacklogWithinLimit(buildBacklogState({ othersTokens: 16_000 }))).to.equal(false)
    expect(isBacklogWithinLimit(buildBacklogState({ othersTokens: 14_000, localTokens: 3000 }))).to.equal(false)
  })

  it('should be there longer for a small prompt than for a large one', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 2200, othersTokens: 20_000 }))).to.equal(true)
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 9000, othersTokens: 5000 }))).to.equal(false)
  })

  it('should never hold back a prompt that hardly delays anything, or the first one', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 500, othersTokens: 90_000 }))).to.equal(true)
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 39_000, othersTokens: 0 }))).to.equal(true)
  })

  it('should leave what a late prompt would take to those that can be on time', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ isLate: true }))).to.equal(false)
    expect(isBacklogWithinLimit(buildBacklogState({ isLate: true, othersTokens: 3000 }))).to.equal(true)
  })
})

describe('prompts of many gateways before engines that are asked for more than they read', () => {
  it('should mostly be on time, the most urgent ones first, though each gateway sees little of the load', () => {
    const { kinds } = simulateOverload(buildManyGatewayScenario({ load: 1, seed: 1 }))
    const getShareInTime = (name: string) => kinds.get(name)!.inTime / kinds.get(name)!.arrived
    expect(getShareInTime('bulk')).to.be.above(0.5)
    expect(getShareInTime('look-up')).to.be.above(0.6)
    expect(getShareInTime('urgent')).to.be.above(0.7)
  }).timeout(60_000)
})
