import { expect } from 'chai'

import { EndpointDirectory } from '../../src/policy/endpointDirectory'
import { buildEntry } from './directFixtures'

const NO_OUTAGE = { afterOutage: false, nowMs: 0 }

function listReadyIds (directory: EndpointDirectory): string[] {
  return directory.listReady('engines').map(endpoint => endpoint.entry.id).sort()
}

function buildFilledDirectory (count: number): EndpointDirectory {
  const directory = new EndpointDirectory()
  directory.applyList(Array.from({ length: count }, (_, index) => buildEntry(`e-${index + 1}`)), NO_OUTAGE)
  return directory
}

describe('EndpointDirectory', () => {
  it('should send nothing more to an endpoint that drains or is gone', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1'), buildEntry('e-2'), buildEntry('e-3')], NO_OUTAGE)
    const changes = directory.applyChanges([buildEntry('e-1', { state: 'draining' })], ['e-2'])
    expect(changes.map(change => change.kind)).to.deep.equal(['draining', 'gone'])
    expect(listReadyIds(directory)).to.deep.equal(['e-3'])
  })

  it('should keep an entry that lapsed during an outage for a while, then take it as gone', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1'), buildEntry('e-2')], NO_OUTAGE)
    directory.applyList([buildEntry('e-1')], { afterOutage: true, nowMs: 1000 })
    expect(listReadyIds(directory)).to.deep.equal(['e-1', 'e-2'])
    expect(directory.expire(3000)).to.deep.equal([])
    expect(directory.expire(3400).map(change => change.kind)).to.deep.equal(['gone'])
    expect(listReadyIds(directory)).to.deep.equal(['e-1'])
  })

  it('should keep an entry that came back after the outage', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1')], NO_OUTAGE)
    directory.applyList([], { afterOutage: true, nowMs: 1000 })
    directory.applyChanges([buildEntry('e-1')], [])
    expect(directory.expire(9000)).to.deep.equal([])
    expect(listReadyIds(directory)).to.deep.equal(['e-1'])
  })

  it('should take an entry that is missing without an outage as gone at once', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1')], NO_OUTAGE)
    expect(directory.applyList([], NO_OUTAGE).map(change => change.kind)).to.deep.equal(['gone'])
  })

  it('should keep a sixth of the endpoints for light prompts, and none of a few', () => {
    const many = buildFilledDirectory(12)
    const kept = many.getReservedIds('engines')
    expect([kept.size, buildFilledDirectory(5).getReservedIds('engines').size]).to.deep.equal([2, 0])
    for (let prefix = 0; prefix < 50; prefix++) {
      const [light, heavy] = (['light', 'heavy'] as const).map(size => many.listHomeEndpoints('engines', `prefix-${prefix}`, size, 1)[0]!.entry.id)
      expect([kept.has(light!), kept.has(heavy!)]).to.deep.equal([true, false])
    }
  })

  it('should know nothing of an endpoint that started anew under the same id', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1')], NO_OUTAGE)
    const before = directory.listReady('engines')[0]!
    before.failures = 3
    const changes = directory.applyChanges([buildEntry('e-1', { bornAtMs: 2 })], [])
    expect(changes.map(change => change.kind)).to.deep.equal(['restarted'])
    expect(directory.listReady('engines')[0]!.failures).to.equal(0)
    expect(directory.isReady(before)).to.equal(false)
  })

  describe('of a store that came back from an older copy', () => {
    const older = { afterOutage: true, isOlderCopy: true, nowMs: 1000 }

    it('should not bring back endpoints that are leaving or gone', () => {
      const directory = new EndpointDirectory()
      directory.applyList([buildEntry('e-1'), buildEntry('e-2')], { afterOutage: false, nowMs: 0 })
      directory.applyChanges([buildEntry('e-1', { state: 'draining' })], ['e-2'])
      directory.applyList([buildEntry('e-1'), buildEntry('e-2')], older)
      expect(directory.listReady('engines')).to.deep.equal([])
    })

    it('should take a new start of an endpoint, and one that writes its entry again', () => {
      const directory = new EndpointDirectory()
      directory.applyList([buildEntry('e-1'), buildEntry('e-2')], { afterOutage: false, nowMs: 0 })
      directory.applyChanges([], ['e-1', 'e-2'])
      directory.applyList([buildEntry('e-1', { bornAtMs: 2 }), buildEntry('e-2')], older)
      directory.applyChanges([buildEntry('e-2')], [])
      expect(listReadyIds(directory)).to.deep.equal(['e-1', 'e-2'])
    })

    it('should keep for a while what joined since the copy', () => {
      const directory = new EndpointDirectory()
      directory.applyList([buildEntry('e-1')], { afterOutage: false, nowMs: 0 })
      expect(directory.applyList([], older).map(change => change.kind)).to.deep.equal(['lapsed'])
      expect(directory.listReady('engines')).to.have.length(1)
    })
  })
})
