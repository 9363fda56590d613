import { expect } from 'chai'

import { EndpointTable } from '../../src/policy/endpointTable'
import { shouldMoveQueued } from '../../src/policy/queuedMove'
import { buildLoad } from './policyFixtures'

import type { EndpointView } from '../../src/policy/endpointView'

const FULL = { running: 8, queuedByTier: [0, 1, 0, 0, 0, 0] }

function shouldMove (otherWaitMs: number, waitedMs: number, refused = false, lowerQueued = 0): boolean {
  const table = new EndpointTable()
  table.setPlacements(['own', 'other'].map(name => ({ name, domain: 'a', targets: ['model'] })))
  table.recordLoad('own', buildLoad({ ...FULL, waitMsByTier: [0, 1000, 1000, 1000, 1000, 1000] }), 0)
  table.recordLoad('other', buildLoad({ running: 8, queuedByTier: [0, 1, 0, 0, lowerQueued, 0], waitMsByTier: [0, otherWaitMs, 0, 0, 0, 0] }), 0)
  if (refused) table.recordRefusal('other', 2, 5000, 0)
  return shouldMoveQueued({ view: table.getView('own') as EndpointView, tier: 2, waitedMs }, table.getViews('model'), 500)
}

describe('shouldMoveQueued', () => {
  it('should move a request after a minimum wait to an endpoint that would start it in less than half the time', () => {
    expect(shouldMove(400, 500)).to.equal(true)
    expect(shouldMove(600, 500)).to.equal(false)
    expect(shouldMove(400, 99)).to.equal(false)
  })

  it('should move a request for any gain to an endpoint where a lower tier is queued', () => {
    expect(shouldMove(900, 500, false, 1)).to.equal(true)
    expect(shouldMove(1100, 500, false, 1)).to.equal(false)
  })

  it('should not move a request to an endpoint that recently refused its tier', () => {
    expect(shouldMove(400, 500, true)).to.equal(false)
  })
})
