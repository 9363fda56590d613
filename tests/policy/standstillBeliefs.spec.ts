import { expect } from 'chai'

import { PeerLoadTable } from '../../src/policy/peerLoadTable'
import { PeerTable } from '../../src/policy/peerTable'

const STANDSTILL_FROM_MS = 1000
const STANDSTILL_MS = 20_000

/** Converts times around one standstill to readable milliseconds. */
function toReadable (monotonicMs: number): number {
  return monotonicMs <= STANDSTILL_FROM_MS ? monotonicMs : Math.max(STANDSTILL_FROM_MS, monotonicMs - STANDSTILL_MS)
}

// a gateway that stood still took all others for gone, and served as if it were alone
describe('what a gateway believes of its peers after it stood still', () => {
  const afterMs = STANDSTILL_FROM_MS + STANDSTILL_MS

  it('should keep the load that they reported, until a report has not come in time that it could have read', () => {
    const loads = new PeerLoadTable(1, toReadable)
    loads.record('gateway-2', new Map([['e-1', { inFlight: 9, pendingTokens: 0, heardAtMs: 900, permittedSends: 0 }]]), 900)
    loads.expire(afterMs + 100)
    expect(loads.gatewayCount).to.equal(2)
    expect(loads.getPeerLoad('e-1').inFlight).to.equal(9)
    loads.expire(afterMs + 2500)
    expect(loads.gatewayCount).to.equal(1)
  })

  it('should keep them, tell others since when it has not heard from them, and drop them when they stay silent', () => {
    const table = new PeerTable({ id: 'gateway-1', domain: 'a', address: '10.0.0.1:7100', processorShare: 0.5 }, toReadable)
    table.record({ id: 'gateway-2', domain: 'a', address: '10.0.0.2:7100', processorShare: 1, heardAgoMs: 0 }, 900)
    expect(table.chooseReader(afterMs + 100)?.id).to.equal('gateway-2')
    expect(table.list(afterMs + 100).map(({ heardAgoMs }) => heardAgoMs)).to.deep.equal([afterMs + 100 - 900])
    expect(table.chooseReader(afterMs + 15_000)).to.equal(null)
    expect(table.list(afterMs + 15_000)).to.deep.equal([])
  })
})
