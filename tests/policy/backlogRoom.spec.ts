import { expect } from 'chai'

import { hasBacklogRoom } from '../../src/policy/backlogRoom'
import { playOverload } from './overloadReplay'
import { buildManyGateways } from './replayLoads'

import type { BacklogSituation } from '../../src/policy/backlogRoom'

function buildSituation (overrides: Partial<BacklogSituation> = {}): BacklogSituation {
  return { unreadTokens: 3000, meanTokens: 3000, isLate: false, ownTokens: 0, othersTokens: 10_000, ...overrides }
}

describe('room beside what all gateways have at an endpoint', () => {
  it('should be there for a prompt of mean size until others fill it', () => {
    expect(hasBacklogRoom(buildSituation({ othersTokens: 14_000 }))).to.equal(true)
    expect(hasBacklogRoom(buildSituation({ othersTokens: 16_000 }))).to.equal(false)
    expect(hasBacklogRoom(buildSituation({ othersTokens: 14_000, ownTokens: 3000 }))).to.equal(false)
  })

  it('should be there longer for a small prompt than for a large one', () => {
    expect(hasBacklogRoom(buildSituation({ unreadTokens: 2200, othersTokens: 20_000 }))).to.equal(true)
    expect(hasBacklogRoom(buildSituation({ unreadTokens: 9000, othersTokens: 5000 }))).to.equal(false)
  })

  it('should never hold back a prompt that hardly delays anything, or the first one', () => {
    expect(hasBacklogRoom(buildSituation({ unreadTokens: 500, othersTokens: 90_000 }))).to.equal(true)
    expect(hasBacklogRoom(buildSituation({ unreadTokens: 39_000, othersTokens: 0 }))).to.equal(true)
  })

  it('should leave what a late prompt would take to those that can be on time', () => {
    expect(hasBacklogRoom(buildSituation({ isLate: true }))).to.equal(false)
    expect(hasBacklogRoom(buildSituation({ isLate: true, othersTokens: 3000 }))).to.equal(true)
  })
})

describe('prompts of many gateways before engines that are asked for more than they read', () => {
  it('should mostly be on time, the most urgent ones first, though each gateway sees little of the load', () => {
    const { kinds } = playOverload(buildManyGateways({ load: 1, seed: 1 }))
    const getShareInTime = (name: string) => kinds.get(name)!.inTime / kinds.get(name)!.asked
    expect(getShareInTime('bulk')).to.be.above(0.5)
    expect(getShareInTime('look-up')).to.be.above(0.6)
    expect(getShareInTime('urgent')).to.be.above(0.7)
  }).timeout(60_000)
})
