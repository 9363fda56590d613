import { expect } from 'chai'

import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { buildEntry } from './directFixtures'

import type { LeavingNotice } from '../../src/policy/leavingNotices'

const NO_OUTAGE = { afterOutage: false, nowMs: 0 }

function buildNotice (overrides: Partial<LeavingNotice> = {}): LeavingNotice {
  return { id: 'e-1', bornAtMs: 1, source: 'answer', saidAtMs: 0, ...overrides }
}

function buildDirectory (): EndpointDirectory {
  const directory = new EndpointDirectory()
  directory.applyList([buildEntry('e-1'), buildEntry('e-2')], NO_OUTAGE)
  return directory
}

function listReadyIds (directory: EndpointDirectory): string[] {
  return directory.listReady('engines').map(endpoint => endpoint.entry.id)
}

describe('an endpoint that announces that it is leaving', () => {
  it('should get no new requests although the list shows it as ready', () => {
    const directory = buildDirectory()
    const [endpoint] = directory.listReady('engines')
    expect(directory.recordLeaving(buildNotice())).to.equal(true)
    expect(listReadyIds(directory)).to.deep.equal(['e-2'])
    expect(directory.isReady(endpoint!)).to.equal(false)
    expect(directory.listLeaving()).to.deep.equal([buildNotice()])
  })

  it('should stay leaving when its entry is rewritten, deleted and added again', () => {
    const directory = buildDirectory()
    directory.recordLeaving(buildNotice())
    directory.applyChanges([buildEntry('e-1')], [])
    directory.applyChanges([], ['e-1'])
    directory.applyChanges([buildEntry('e-1')], [])
    directory.applyList([buildEntry('e-1'), buildEntry('e-2')], NO_OUTAGE)
    expect(listReadyIds(directory)).to.deep.equal(['e-2'])
  })

  it('should get requests again after a new start under its id', () => {
    const directory = buildDirectory()
    directory.recordLeaving(buildNotice())
    directory.applyChanges([buildEntry('e-1', { bornAtMs: 2 })], [])
    expect(listReadyIds(directory)).to.have.members(['e-1', 'e-2'])
    expect(directory.recordLeaving(buildNotice({ source: 'peer' }))).to.equal(false)
    expect(listReadyIds(directory)).to.have.members(['e-1', 'e-2'])
  })

  it('should count as leaving when the notice arrives before its entry', () => {
    const directory = buildDirectory()
    directory.recordLeaving(buildNotice({ id: 'e-3', source: 'peer' }))
    directory.applyChanges([buildEntry('e-3')], [])
    expect(listReadyIds(directory)).to.have.members(['e-1', 'e-2'])
  })

  it('should not be reported any more once the list shows it as draining, and not count as crashed when it is removed', () => {
    const directory = buildDirectory()
    directory.recordLeaving(buildNotice())
    directory.applyChanges([buildEntry('e-1', { state: 'draining' })], [])
    expect(directory.listLeaving()).to.deep.equal([])
    expect(directory.applyChanges([], ['e-1'])).to.deep.equal([{ kind: 'gone', entry: buildEntry('e-1', { state: 'draining' }), wasLeaving: true }])
  })
})
