import { expect } from 'chai'

import { createRandom } from '../../bench/lunch/random'
import { DurationHistogram } from '../../src/policy/durationHistogram'
import { DEFAULT_RANKING_OPTIONS } from '../../src/policy/endpointRanking'
import { EndpointTable } from '../../src/policy/endpointTable'
import { OfferPlan } from '../../src/policy/offerPlan'
import { buildLoad } from './policyFixtures'

const TIMES = { arrivedAtMs: 0, firstTokenDueMs: 4000, deadlineMs: 60_000 }
const ENDPOINTS = 6

function buildPlan (): OfferPlan {
  const table = new EndpointTable()
  const names = Array.from({ length: ENDPOINTS }, (_, index) => `engine-${index}`)
  table.setPlacements(names.map(name => ({ name, domain: 'a', targets: ['model'] })))
  for (const name of names) table.recordLoad(name, buildLoad(), 0)
  return new OfferPlan({ tier: 2, betweenTokensTargetMs: 53, affinity: [] }, TIMES, table.getViews('model'), createRandom(1), DEFAULT_RANKING_OPTIONS)
}

/** Refuses every offer with a start expected after `expectedWaitMs`, and returns the rounds of the offers. */
function listRounds (plan: OfferPlan, expectedWaitMs: number, nowMs: number): string[] {
  const rounds: string[] = []
  for (let offer = plan.selectNext(nowMs); offer !== null; offer = plan.selectNext(nowMs)) {
    rounds.push(offer.round)
    plan.recordRefusal(offer, Math.max(0, expectedWaitMs - offer.startWithinMs), nowMs)
  }
  return rounds
}

function countRounds (rounds: string[]): Record<string, number> {
  return Object.fromEntries([...new Set(rounds)].map(round => [round, rounds.filter(other => other === round).length]))
}

describe('OfferPlan', () => {
  it('should offer an immediate start, then one in time, then a late one, each to every endpoint that may accept it', () => {
    const rounds = listRounds(buildPlan(), 1000, 0)
    expect(countRounds(rounds)).to.deep.equal({ atOnce: ENDPOINTS, onTime: ENDPOINTS, late: ENDPOINTS })
    expect(rounds.slice(0, 5)).to.deep.equal(['atOnce', 'atOnce', 'atOnce', 'atOnce', 'onTime'])
  })

  it('should not offer a queued start to endpoints that expect to start after the latest allowed time', () => {
    expect(countRounds(listRounds(buildPlan(), 5000, 0))).to.deep.equal({ atOnce: ENDPOINTS, late: ENDPOINTS })
    expect(countRounds(listRounds(buildPlan(), 20_000, 0))).to.deep.equal({ atOnce: ENDPOINTS })
  })

  it('should stop offering after the latest start, but continue until the deadline after an endpoint was lost', () => {
    const plan = buildPlan()
    expect(plan.selectNext(6000)).to.equal(null)
    plan.recordEndpointLost(7000)
    const offer = plan.selectNext(7000)
    expect(offer?.firstTokenWithinMs).to.equal(4000)
    expect(plan.selectNext(59_000)).not.to.equal(null)
  })
})

describe('DurationHistogram', () => {
  it('should estimate quantiles of recent durations within a fifth', () => {
    const durations = new DurationHistogram()
    expect(durations.getQuantile(0.9, 5000)).to.equal(5000)
    for (let index = 0; index < 4000; index++) durations.record(50_000)
    for (let index = 0; index < 20_000; index++) durations.record(1 + index % 1000)
    expect(durations.getQuantile(0.5, 0)).to.be.within(500, 600)
    expect(durations.getQuantile(0.9, 0)).to.be.within(900, 1100)
  })
})
