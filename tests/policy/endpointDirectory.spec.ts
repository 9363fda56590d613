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
  it('should not list an endpoint that is draining or gone as ready', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1'), buildEntry('e-2'), buildEntry('e-3')], NO_OUTAGE)
    const changes = directory.applyChanges([buildEntry('e-1', { state: 'draining' })], ['e-2'])
    expect(changes.map(change => change.kind)).to.deep.equal(['draining', 'gone'])
    expect(listReadyIds(directory)).to.deep.equal(['e-3'])
  })

  it('should keep an entry that lapsed during an outage for the grace period, then remove it', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1'), buildEntry('e-2')], NO_OUTAGE)
    directory.applyList([buildEntry('e-1')], { afterOutage: true, nowMs: 1000 })
    expect(listReadyIds(directory)).to.deep.equal(['e-1', 'e-2'])
    expect(directory.expire(3000)).to.deep.equal([])
    expect(directory.expire(3400).map(change => change.kind)).to.deep.equal(['gone'])
    expect(listReadyIds(directory)).to.deep.equal(['e-1'])
  })

  it('should keep an entry that returned after the outage', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1')], NO_OUTAGE)
    directory.applyList([], { afterOutage: true, nowMs: 1000 })
    directory.applyChanges([buildEntry('e-1')], [])
    expect(directory.expire(9000)).to.deep.equal([])
    expect(listReadyIds(directory)).to.deep.equal(['e-1'])
  })

  it('should remove an entry immediately that is missing without an outage', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1')], NO_OUTAGE)
    expect(directory.applyList([], NO_OUTAGE).map(change => change.kind)).to.deep.equal(['gone'])
  })

  it('should reserve a sixth of the endpoints for light prompts, and none when there are few', () => {
    const many = buildFilledDirectory(12)
    const reservedIds = many.getReservedIds('engines')
    expect([reservedIds.size, buildFilledDirectory(5).getReservedIds('engines').size]).to.deep.equal([2, 0])
    for (let prefix = 0; prefix < 50; prefix++) {
      const [light, heavy] = (['light', 'heavy'] as const).map(size => many.listHomeEndpoints({ service: 'engines', version: null }, `prefix-${prefix}`, size, 1)[0]!.entry.id)
      expect([reservedIds.has(light!), reservedIds.has(heavy!)]).to.deep.equal([true, false])
    }
  })

  it('should reset the state of an endpoint that restarted under the same id', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1')], NO_OUTAGE)
    const before = directory.listReady('engines')[0]!
    before.failures = 3
    const changes = directory.applyChanges([buildEntry('e-1', { bornAtMs: 2 })], [])
    expect(changes.map(change => change.kind)).to.deep.equal(['restarted'])
    expect(directory.listReady('engines')[0]!.failures).to.equal(0)
    expect(directory.isReady(before)).to.equal(false)
  })

  // streams of two software versions were joined at the successor
  it('should ignore a late write of a process that another one has replaced under its id', () => {
    const directory = new EndpointDirectory()
    const [first, second] = [buildEntry('e-1', { bornAtMs: 1, version: 'v1' }), buildEntry('e-1', { bornAtMs: 2, version: 'v2' })]
    directory.applyList([first], { afterOutage: false, nowMs: 0 })
    directory.applyChanges([second], [])
    expect(directory.applyChanges([first], [])).to.deep.equal([])
    expect(directory.applyList([first], { afterOutage: false, nowMs: 0 })).to.deep.equal([])
    expect(directory.listReady('engines').map(({ entry }) => entry.version)).to.deep.equal(['v2'])
  })

  it('should take an entry with an earlier start that was not known, since clocks may be set back', () => {
    const directory = new EndpointDirectory()
    directory.applyList([buildEntry('e-1', { bornAtMs: 2 })], { afterOutage: false, nowMs: 0 })
    expect(directory.applyChanges([buildEntry('e-1', { bornAtMs: 1 })], []).map(({ kind }) => kind)).to.deep.equal(['restarted'])
  })

  describe('with an object service restored from an older backup', () => {
    const restored = { afterOutage: true, isRestoredFromBackup: true, nowMs: 1000 }

    for (const knows of [true, false]) {
      it(`should keep the successor of a process whose entry comes back, ${knows ? 'having seen both' : 'having seen the successor alone'}`, () => {
        const directory = new EndpointDirectory()
        const [first, second] = [buildEntry('e-1', { bornAtMs: 1, version: 'v1' }), buildEntry('e-1', { bornAtMs: 2, version: 'v2' })]
        if (knows) directory.applyList([first], { afterOutage: false, nowMs: 0 })
        directory.applyList([second], { afterOutage: false, nowMs: 0 })
        expect(directory.applyList([first], restored).map(({ kind }) => kind)).to.deep.equal(['lapsed'])
        expect(directory.listReady('engines').map(({ entry }) => entry.version)).to.deep.equal(['v2'])
        expect(directory.applyChanges([second], [])).to.deep.equal([])
        expect(directory.expire(10_000)).to.deep.equal([])
      })
    }

    it('should not restore endpoints that are draining or gone', () => {
      const directory = new EndpointDirectory()
      directory.applyList([buildEntry('e-1'), buildEntry('e-2')], { afterOutage: false, nowMs: 0 })
      directory.applyChanges([buildEntry('e-1', { state: 'draining' })], ['e-2'])
      directory.applyList([buildEntry('e-1'), buildEntry('e-2')], restored)
      expect(directory.listReady('engines')).to.deep.equal([])
    })

    it('should accept a new start of an endpoint, and an endpoint that rewrites its entry', () => {
      const directory = new EndpointDirectory()
      directory.applyList([buildEntry('e-1'), buildEntry('e-2')], { afterOutage: false, nowMs: 0 })
      directory.applyChanges([], ['e-1', 'e-2'])
      directory.applyList([buildEntry('e-1', { bornAtMs: 2 }), buildEntry('e-2')], restored)
      directory.applyChanges([buildEntry('e-2')], [])
      expect(listReadyIds(directory)).to.deep.equal(['e-1', 'e-2'])
    })

    it('should keep endpoints that joined since the backup for the grace period', () => {
      const directory = new EndpointDirectory()
      directory.applyList([buildEntry('e-1')], { afterOutage: false, nowMs: 0 })
      expect(directory.applyList([], restored).map(change => change.kind)).to.deep.equal(['lapsed'])
      expect(directory.listReady('engines')).to.have.length(1)
    })
  })
})
