import { expect } from 'chai'

import { EndpointTable } from '../../src/policy/endpointTable'

import type { EndpointLoad } from '../../src/protocol/attemptMessages'

function buildTable (): EndpointTable {
  const table = new EndpointTable()
  table.setPlacements([{ name: 'engine-1', domain: 'a', targets: ['chat'] }])
  return table
}

function isDraining (table: EndpointTable): boolean | undefined {
  return table.getViews('chat')[0]?.draining
}

describe('what a gateway knows of endpoints', () => {
  it('should keep an endpoint leaving that the platform lists so, whatever its own load says', () => {
    const table = buildTable()
    table.recordListedLeaving('engine-1', true)
    table.recordLoad('engine-1', { draining: false } as EndpointLoad, 10)
    expect(isDraining(table)).to.equal(true)
  })

  it('should offer to an endpoint again when it is listed as live and does not say that it leaves', () => {
    const table = buildTable()
    table.recordListedLeaving('engine-1', true)
    table.recordLoad('engine-1', { draining: true } as EndpointLoad, 10)
    table.recordListedLeaving('engine-1', false)
    expect(isDraining(table)).to.equal(true)
    table.recordLoad('engine-1', { draining: false } as EndpointLoad, 20)
    expect(isDraining(table)).to.equal(false)
  })
})
