import { expect } from 'chai'

import { isBacklogWithinLimit } from '../../src/policy/backlogLimit'
import { simulateOverload } from './overloadReplay'
import { buildManyGatewayScenario } from './replayLoads'

import type { BacklogState } from '../../src/policy/backlogLimit'

function buildBacklogState (overrides: Partial<BacklogState> = {}): BacklogState {
  return { unreadTokens: 3000, meanUniqueTokens: 3000, isLate: false, localTokens: 0, othersTokens: 10_000, tokensPerMs: 100, ...overrides }
}

describe('the backlog limit of an endpoint', () => {
  it('should admit a prompt of mean size until the backlog of all gateways reaches the limit', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ othersTokens: 14_000 }))).to.equal(true)
    expect(isBacklogWithinLimit(buildBacklogState({ othersTokens: 16_000 }))).to.equal(false)
    expect(isBacklogWithinLimit(buildBacklogState({ othersTokens: 14_000, localTokens: 3000 }))).to.equal(false)
  })

  it('should be higher for a small prompt than for a large one', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 2200, othersTokens: 20_000 }))).to.equal(true)
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 9000, othersTokens: 5000 }))).to.equal(false)
  })

  it('should always admit a prompt that hardly delays others, and one that finds no peer backlog', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 500, othersTokens: 90_000 }))).to.equal(true)
    expect(isBacklogWithinLimit(buildBacklogState({ unreadTokens: 39_000, othersTokens: 0 }))).to.equal(true)
  })

  it('should be lower for a late prompt, so that prompts that can be on time go first', () => {
    expect(isBacklogWithinLimit(buildBacklogState({ isLate: true }))).to.equal(false)
    expect(isBacklogWithinLimit(buildBacklogState({ isLate: true, othersTokens: 3000 }))).to.equal(true)
  })
})

describe('many gateways that send more prompts than the engines can prefill', () => {
  it('should keep most prompts on time, the most urgent kinds above all, though each gateway sees little of the load', () => {
    const { kinds } = simulateOverload(buildManyGatewayScenario({ load: 1, seed: 1 }))
    const getShareInTime = (name: string) => kinds.get(name)!.inTime / kinds.get(name)!.arrived
    expect(getShareInTime('bulk')).to.be.above(0.5)
    expect(getShareInTime('look-up')).to.be.above(0.6)
    expect(getShareInTime('urgent')).to.be.above(0.7)
  }).timeout(60_000)
})
