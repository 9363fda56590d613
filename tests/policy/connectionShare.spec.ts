import { expect } from 'chai'

import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { PeerLoadTable } from '../../src/policy/peerLoadTable'
import { Placement } from '../../src/policy/placement'
import { UNLIMITED } from '../../src/policy/sendPermits'
import { buildEntry } from './directFixtures'

const MAX_CONNECTIONS = 8
const REQUEST = { service: 'engines', promptParts: [], targetMs: 300, arrivedAtMs: 0 }

/** Counts the requests that a gateway sends at once to an endpoint that accepts eight connections. */
function countSends (loads: PeerLoadTable, nowMs: number): number {
  const directory = new EndpointDirectory()
  directory.applyList([buildEntry('e-1')], { afterOutage: false, nowMs: 0 })
  const placement = new Placement({ directory, loads, getMaxConnections: () => MAX_CONNECTIONS, getEngine: () => null, getPermit: () => UNLIMITED, isListedProcess: () => true, random: () => 0 })
  for (let sends = 0; sends <= MAX_CONNECTIONS; sends++) {
    const choice = placement.createChooser(REQUEST, { triedIds: new Set(), latestStartAtMs: Infinity, findVersion: () => ({ kind: 'any' }) })(new Map(), nowMs)
    if (choice?.hasCapacity !== true) return sends
    placement.reserve(choice, [], nowMs)
  }
  return Infinity
}

describe('the share of the connections that an endpoint accepts from all gateways', () => {
  it('should be that of one gateway among those that report', () => {
    const loads = new PeerLoadTable()
    loads.record('domain-b', new Map(), 0, { gateways: 3, scope: 'domain' })
    expect(countSends(loads, 0)).to.equal(2)
  })

  it('should not grow when the gateway is cut off from the others', () => {
    const loads = new PeerLoadTable()
    loads.record('domain-b', new Map(), 0, { gateways: 3, scope: 'domain' })
    loads.expire(5000)
    expect(loads.gatewayCount).to.equal(1)
    expect(countSends(loads, 5000)).to.equal(2)
  })

  it('should be that of one among the gateways that the settings name when the gateway has just started', () => {
    expect(countSends(new PeerLoadTable(4), 0)).to.equal(2)
  })
})
