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

describe('EndpointTable', () => {
  it('should keep an endpoint draining while the platform lists it as leaving, whatever its own load reports', () => {
    const table = buildTable()
    table.recordListedLeaving('engine-1', true)
    table.recordLoad('engine-1', { draining: false } as EndpointLoad, 10)
    expect(isDraining(table)).to.equal(true)
  })

  it('should stop draining an endpoint once neither the platform nor its own load reports it as leaving', () => {
    const table = buildTable()
    table.recordListedLeaving('engine-1', true)
    table.recordLoad('engine-1', { draining: true } as EndpointLoad, 10)
    table.recordListedLeaving('engine-1', false)
    expect(isDraining(table)).to.equal(true)
    table.recordLoad('engine-1', { draining: false } as EndpointLoad, 20)
    expect(isDraining(table)).to.equal(false)
  })
})
