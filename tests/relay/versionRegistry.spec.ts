import { expect } from 'chai'

import { DecisionLog } from '../../src/base/decisionLog'
import { systemClock } from '../../src/base/clock'
import { countBuckets } from '../../src/policy/versionAssignment'
import { VERSION_RECORD_PREFIX, VersionRegistry } from '../../src/relay/versionRegistry'
import { buildVersionRecord, parseVersionRecord } from '../../src/relay/versionRecords'
import { buildPosition } from '../../src/store/storePosition'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'
import { buildAssignment, LIMITS } from '../policy/versionFixtures'
import { waitUntil } from './relayFixture'

import type { DecisionLine } from '../../src/base/decisionEvents'

interface RegistryFixture {
  registry: VersionRegistry
  service: MemoryObjectService
  ready: Map<string, number>
  lines: DecisionLine[]
}

const KEY = `${VERSION_RECORD_PREFIX}archive`

describe('the version record in the object service', () => {
  let store: MemoryObjectStore
  let open: RegistryFixture[]

  beforeEach(() => {
    store = new MemoryObjectStore()
    open = []
  })

  afterEach(async () => await Promise.all(open.map(async ({ registry }) => await registry.stop())))

  function startRegistry (ready: Record<string, number> = { v1: 2 }): RegistryFixture {
    const service = new MemoryObjectService(store)
    const versions = new Map(Object.entries(ready))
    const lines: DecisionLine[] = []
    const destination = { write: (line: string) => lines.push(JSON.parse(line)) > 0, flush: (handleDone: () => void) => handleDone() }
    const registry = new VersionRegistry({
      clock: systemClock,
      random: Math.random,
      service,
      log: new DecisionLog({ instance: 'gateway-1', bytesPerSecond: 1_000_000, destination }),
      listServices: () => new Map([['archive', LIMITS]]),
      countReadyVersions: () => versions,
      handleChange: () => {}
    })
    registry.start()
    const fixture = { registry, service, ready: versions, lines }
    open.push(fixture)
    return fixture
  }

  function countOf ({ registry }: RegistryFixture): Record<string, number> | null {
    const view = registry.getView('archive')
    return view === null ? null : Object.fromEntries([...countBuckets(view.assignment)].sort())
  }

  it('should be created once by several gateways that start together, and be the same at all', async () => {
    const fixtures = Array.from({ length: 5 }, () => startRegistry({ v1: 2, v2: 2 }))
    await waitUntil('all to know it', () => fixtures.every(fixture => countOf(fixture) !== null))
    expect(store.events).to.have.length(1)
    for (const fixture of fixtures) expect(countOf(fixture)).to.deep.equal({ v1: 128, v2: 128 })
  })

  it('should be changed by few writes when a version joins and the other one leaves, also where gateways see it at other times', async () => {
    const fixtures = Array.from({ length: 4 }, () => startRegistry())
    await waitUntil('all to know it', () => fixtures.every(fixture => countOf(fixture) !== null))
    for (const { ready } of fixtures) {
      await new Promise(resolve => setTimeout(resolve, 60))
      ready.set('v2', 2)
    }
    await waitUntil('the new version', () => fixtures.every(fixture => countOf(fixture)?.v2 === 128))
    for (const { ready } of fixtures) {
      await new Promise(resolve => setTimeout(resolve, 60))
      ready.delete('v1')
    }
    await waitUntil('the end of the old one', () => fixtures.every(fixture => countOf(fixture)?.v2 === 256))
    expect(store.events).to.have.length(3)
  })

  it('should be written again, with nothing certain, where it was removed or cannot be read', async () => {
    const fixture = startRegistry()
    await waitUntil('the record', () => countOf(fixture) !== null)
    for (const damage of [() => store.delete(KEY), () => store.put(KEY, { groups: 'none' }), () => store.put(KEY, { ...buildVersionRecord(buildAssignment()), groups: [] })]) {
      const before = store.revision
      damage()
      await waitUntil('the record to be written again', () => store.revision === before + 2 && countOf(fixture) !== null)
      expect(fixture.registry.getView('archive')!.isUncertain(7)).to.equal(true)
    }
  })

  it('should not be trusted where it was written before a restore of the object service', async () => {
    store.objects.set(KEY, { key: KEY, version: buildPosition(1, 5), value: buildVersionRecord(buildAssignment(['v1'], { sequence: 4 })) })
    const { registry, lines } = startRegistry({ v1: 1, v2: 1 })
    await waitUntil('the record to be distrusted', () => lines.some(line => line.event === 'versionRecordDistrusted'))
    expect(registry.getView('archive')?.findOrigin(0, Infinity).kind ?? 'uncertain').to.equal('uncertain')
  })

  it('should not begin streams with a record that was not confirmed for too long', async () => {
    const fixture = startRegistry()
    await waitUntil('the record', () => countOf(fixture) !== null && fixture.registry.getFreshness().kind === 'fresh')
    fixture.service.setFaults({ outage: true })
    await new Promise(resolve => setTimeout(resolve, 5200))
    expect(fixture.registry.getFreshness().kind).to.equal('stale')
    fixture.service.setFaults({ outage: false })
    await waitUntil('the record to be confirmed', () => fixture.registry.getFreshness().kind === 'fresh')
  })

  it('should cover a caller that waits longer than any before', async () => {
    const fixture = startRegistry()
    await waitUntil('the record', () => countOf(fixture) !== null)
    fixture.registry.requireLimit('archive', 'r-1', 60_000)
    await waitUntil('the longer limit', () => fixture.registry.getView('archive')!.getLimitMs('r-1') === 60_000)
  })

  it('should be read by calls that share one answer, but none that began before them', async () => {
    const { registry, service } = startRegistry()
    await waitUntil('the record', () => store.objects.has(KEY))
    const before = service.calls.get
    const reads = Array.from({ length: 20 }, async () => await registry.readRecord('archive'))
    expect(await Promise.all(reads)).to.deep.equal(new Array(20).fill(true))
    expect(service.calls.get - before).to.equal(1)
    expect(await registry.readRecord('archive')).to.equal(true)
    expect(service.calls.get - before).to.equal(2)
  })
})

describe('the stored form of a version assignment', () => {
  it('should hold the same assignment after it is read', () => {
    const assignment = buildAssignment(['v2', null], { sequence: 3, ageMs: 40 })
    expect(parseVersionRecord(buildVersionRecord(assignment))).to.deep.equal(assignment)
  })

  it('should be refused in every odd form', () => {
    const record = buildVersionRecord(buildAssignment())
    const [group] = record.groups
    const odd: unknown[] = [
      null, 'text', [], {}, { ...record, sequence: 0 }, { ...record, sequence: 1.5 }, { ...record, sequence: 1e300 }, { ...record, era: -1 },
      { ...record, limits: { longestMs: -1, byRoute: {} } }, { ...record, limits: { longestMs: 1e12, byRoute: {} } }, { ...record, limits: { longestMs: 9, byRoute: { r: 'x' } } }, { ...record, limits: 9 }, { ...record, groups: {} }, { ...record, groups: [] },
      { ...record, groups: [{ ...group, versions: [] }] }, { ...record, groups: [{ ...group, versions: [7] }] }, { ...record, groups: [{ ...group, versions: ['x'.repeat(201)] }] },
      { ...record, groups: [{ ...group, changedAt: -1 }] }, { ...record, groups: [{ ...group, ageMs: -5 }] }, { ...record, groups: [{ ...group, ageMs: 0.5 }] },
      { ...record, groups: [{ ...group, buckets: [...group!.buckets, 3] }] }, { ...record, groups: [{ ...group, buckets: group!.buckets.slice(1) }] },
      { ...record, groups: [{ ...group, buckets: [...group!.buckets.slice(1), 256] }] }, { ...record, groups: [{ ...group, buckets: [...group!.buckets.slice(1), 1e9] }] },
      { ...record, groups: [{ ...group, buckets: [...group!.buckets.slice(1), '0'] }] }
    ]
    for (const value of odd) expect(parseVersionRecord(value), JSON.stringify(value).slice(0, 80)).to.equal(null)
  })
})
