import { expect } from 'chai'

import { EndpointTable } from '../../src/policy/endpointTable'
import { shouldMoveStream } from '../../src/policy/streamMove'
import { buildLoad } from './policyFixtures'

import type { EndpointView } from '../../src/policy/endpointView'
import type { RunningStream } from '../../src/policy/streamMove'

function buildTable (): EndpointTable {
  const table = new EndpointTable()
  table.setPlacements(['slow', 'other'].map(name => ({ name, domain: 'a', targets: ['model'] })))
  table.recordLoad('slow', buildLoad({ tokenIntervalMs: 400 }), 0)
  table.recordLoad('other', buildLoad(), 0)
  return table
}

function shouldMove (table: EndpointTable, fields: Partial<RunningStream> = {}): boolean {
  const view = table.getView('slow') as EndpointView
  const stream = { view, tier: 2, resumable: true, tokenIntervalMs: 400, betweenTokensTargetMs: 53, ...fields }
  return shouldMoveStream(stream, table.getViews('model'), 100)
}

describe('shouldMoveStream', () => {
  it('should move a resumable stream away from a slow endpoint if another has an open slot for its tier', () => {
    expect(shouldMove(buildTable())).to.equal(true)
  })

  it('should not move a stream that is not resumable or only slightly slow', () => {
    expect(shouldMove(buildTable(), { resumable: false })).to.equal(false)
    expect(shouldMove(buildTable(), { tokenIntervalMs: 80 })).to.equal(false)
  })

  it('should not move a stream if the other endpoint is full, refusing, failing, slow or draining', () => {
    const changes: Array<(table: EndpointTable) => void> = [
      table => table.recordLoad('other', buildLoad({ running: 8, waitMsByTier: [0, 300, 300, 300, 300, 300] }), 0),
      table => table.recordRefusal('other', 2, 500, 0),
      table => table.recordFailure('other', 0),
      table => table.recordLoad('other', buildLoad({ tokenIntervalMs: 90 }), 0),
      table => table.recordListedLeaving('other', true)
    ]
    for (const change of changes) {
      const table = buildTable()
      change(table)
      expect(shouldMove(table)).to.equal(false)
    }
  })
})
