import { expect } from 'chai'
import fc from 'fast-check'

import { DEFAULT_RANKING_OPTIONS, rankEndpoints } from '../../src/policy/endpointRanking'
import { EndpointTable } from '../../src/policy/endpointTable'
import { createRandom } from '../../bench/lunch/random'
import { buildLoad } from './policyFixtures'

import type { RankingRequest } from '../../src/policy/endpointRanking'

const SEED = 20_252
const REQUEST: RankingRequest = { tier: 2, betweenTokensTargetMs: 53, affinity: [] }

function buildTable (count: number): EndpointTable {
  const table = new EndpointTable()
  table.setPlacements(Array.from({ length: count }, (_, index) => ({ name: `engine-${index}`, domain: `domain-${index % 3}`, targets: ['model'] })))
  for (let index = 0; index < count; index++) table.recordLoad(`engine-${index}`, buildLoad(), 0)
  return table
}

function listRankedNames (table: EndpointTable, nowMs = 0, request = REQUEST): string[] {
  const order = rankEndpoints(request, table.getViews('model'), nowMs, createRandom(SEED), DEFAULT_RANKING_OPTIONS)
  return [...order].map(view => view.name)
}

describe('rankEndpoints', () => {
  it('should yield every endpoint that is not draining exactly once', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 60 }), fc.array(fc.nat(59)), (count, leaving) => {
      const table = buildTable(count)
      for (const index of leaving) table.recordListedLeaving(`engine-${index}`, true)
      const expected = table.listViews().filter(view => !view.draining).map(view => view.name)
      expect(listRankedNames(table)).to.have.members(expected).and.have.length(expected.length)
    }), { seed: SEED })
  })

  it('should rank an endpoint that failed last, after one that recently refused the tier', () => {
    const table = buildTable(4)
    table.recordFailure('engine-0', 0)
    table.recordRefusal('engine-1', 2, 500, 0)
    table.recordRefusal('engine-2', 3, 500, 0)
    expect(listRankedNames(table, 100).slice(2)).to.deep.equal(['engine-1', 'engine-0'])
  })

  it('should count requests dispatched since a lagging load report', () => {
    const table = buildTable(2)
    table.recordLoad('engine-0', buildLoad({ running: 6 }), 0)
    table.recordLoad('engine-1', buildLoad({ running: 7 }), 0)
    expect(listRankedNames(table)[0]).to.equal('engine-0')
    table.recordDispatch('engine-0', 2)
    table.recordDispatch('engine-0', 2)
    expect(listRankedNames(table)[0]).to.equal('engine-1')
  })

  it('should prefer an endpoint that meets the token target over an emptier one that does not', () => {
    const table = buildTable(2)
    table.recordLoad('engine-0', buildLoad({ running: 0, tokenIntervalMs: 300 }), 0)
    table.recordLoad('engine-1', buildLoad({ running: 7, tokenIntervalMs: 40 }), 0)
    expect(listRankedNames(table)[0]).to.equal('engine-1')
  })

  it('should prefer the endpoint that has the prefix cached until it is too busy', () => {
    const table = buildTable(8)
    const affinity = table.findAffinityEndpoints('model', 'prompt of the order desk')
    const affinityEndpointName = affinity[0]?.name ?? ''
    const request = { ...REQUEST, affinity: affinity.slice(0, 1) }
    expect(listRankedNames(table, 0, request)[0]).to.equal(affinityEndpointName)
    const waitMsByTier = [0, 900, 900, 900, 900, 900]
    table.recordLoad(affinityEndpointName, buildLoad({ running: 8, queuedByTier: [0, 3, 0, 0, 0, 0], waitMsByTier }), 0)
    expect(listRankedNames(table, 0, request)[0]).not.to.equal(affinityEndpointName)
  })

  it('should choose an endpoint with a bad load report again once the report is old', () => {
    const table = buildTable(2)
    table.recordLoad('engine-0', buildLoad({ tokenIntervalMs: 500 }), 0)
    let returned = 0
    for (let nowMs = 60_000; nowMs < 60_100; nowMs++) {
      table.recordLoad('engine-1', buildLoad(), nowMs)
      const order = rankEndpoints(REQUEST, table.getViews('model'), nowMs, createRandom(nowMs), DEFAULT_RANKING_OPTIONS)
      if (order.next().value?.name === 'engine-0') returned += 1
    }
    expect(returned).to.be.within(10, 90)
  })

  it('should remap only the prefixes of an endpoint that leaves', () => {
    const table = buildTable(20)
    const prefixes = Array.from({ length: 500 }, (_, index) => `prefix ${index}`)
    const before = prefixes.map(prefix => table.findAffinityEndpoints('model', prefix)[0]?.name)
    table.setPlacements(table.listViews().slice(1).map(view => ({ name: view.name, domain: view.domain, targets: ['model'] })))
    const moved = prefixes.filter((prefix, index) => table.findAffinityEndpoints('model', prefix)[0]?.name !== before[index])
    expect(moved.length).to.equal(before.filter(name => name === 'engine-0').length)
  })
})
