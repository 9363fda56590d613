import { expect } from 'chai'

import { Progress } from '../../src/base/progress'
import { PoisonRegistry } from '../../src/store/poisonRegistry'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'
import { createFakeTime, createRandom } from './platformFixtures'

import type { PoisonRegistryOptions } from '../../src/store/poisonRegistry'
import type { FakeTime } from './platformFixtures'

const RETENTION_MS = 600_000

describe('PoisonRegistry', () => {
  let time: FakeTime
  let store: MemoryObjectStore
  const registries: PoisonRegistry[] = []
  beforeEach(() => {
    time = createFakeTime()
    store = new MemoryObjectStore()
  })
  afterEach(async () => {
    await Promise.all(registries.splice(0).map(registry => registry.stop()))
    time.close()
  })

  function startRegistry (service = new MemoryObjectService(store), fields: Partial<PoisonRegistryOptions> = {}): PoisonRegistry {
    const registry = new PoisonRegistry({ service, getRandom: createRandom(), retentionMs: RETENTION_MS, ...fields })
    registries.push(registry)
    registry.start()
    return registry
  }

  it('should count each crash once when several processes report it', async () => {
    const [first, second, third] = [startRegistry(), startRegistry(), startRegistry()]
    first!.record(createCrash('boot-1'))
    second!.record(createCrash('boot-1'))
    second!.record(createCrash('boot-2'))
    await time.advance(30_000)
    for (const registry of [first!, second!, third!]) {
      expect([registry.getCrashCount('f1'), registry.isPoisoned('f1', 2), registry.isPoisoned('f2', 1)]).to.deep.equal([2, true, false])
    }
  })

  it('should show a second crash at every process soon after it was stored', async () => {
    const [first, second] = [startRegistry(), startRegistry()]
    await time.advance(1_000)
    first!.record(createCrash('boot-1'))
    await time.advance(50)
    expect(second!.getCrashCount('f1')).to.equal(1)
    first!.record(createCrash('boot-2'))
    await time.advance(50)
    expect(second!.getCrashCount('f1')).to.equal(2)
  })

  it('should read stored crashes of other processes at once, before its watch shows them', async () => {
    const service = new MemoryObjectService(store)
    service.setFaults({ holdWatches: true })
    const [first, second] = [startRegistry(), startRegistry(service)]
    await time.advance(1_000)
    first!.record(createCrash('boot-1'))
    first!.record(createCrash('boot-2'))
    await time.advance(1_000)
    expect(second!.getCrashCount('f1')).to.equal(0)
    await second!.readStored('f1', new Progress({ title: 'reading the crash record', timeoutMs: 100 }))
    expect(second!.getCrashCount('f1')).to.equal(2)
  })

  it('should keep its known crashes when the read from the object service fails', async () => {
    const service = new MemoryObjectService(store)
    service.setFaults({ outage: true })
    const registry = startRegistry(service)
    registry.record(createCrash('boot-1'))
    await registry.readStored('f1', new Progress({ title: 'reading the crash record', timeoutMs: 100 }))
    expect(registry.getCrashCount('f1')).to.equal(1)
  })

  it('should keep records while the service is down and write them once it is up again', async () => {
    const service = new MemoryObjectService(store)
    const registry = startRegistry(service)
    await time.advance(1_000)
    service.setFaults({ outage: true })
    registry.record(createCrash('boot-1'))
    registry.merge({ fingerprint: 'f2', crashes: [{ crashId: 'boot-2', endpointName: 'engine-2' }], atMs: Date.now() })
    await time.advance(60_000)
    expect([registry.getCrashCount('f1'), registry.getCrashCount('f2'), store.objects.size]).to.deep.equal([1, 1, 0])
    service.setFaults({ outage: false, lostAnswers: 1 })
    const late = startRegistry()
    await time.advance(30_000)
    expect([late.getCrashCount('f1'), late.getCrashCount('f2')]).to.deep.equal([1, 1])
  })

  it('should lose no crash when it writes a record that another process has changed meanwhile', async () => {
    const staleService = new MemoryObjectService(store)
    const [first, second] = [startRegistry(), startRegistry(staleService)]
    await time.advance(1_000)
    staleService.setFaults({ holdWatches: true })
    first!.record(createCrash('boot-1'))
    await time.advance(1_000)
    second!.record(createCrash('boot-2'))
    await time.advance(1_000)
    const late = startRegistry()
    await time.advance(1_000)
    expect(late.getCrashCount('f1')).to.equal(2)
  })

  it('should clear the crashes of a fingerprint for all processes, also against an older report, and count later ones', async () => {
    const [first, second] = [startRegistry(), startRegistry()]
    first!.recordAll('f1', [{ crashId: 'boot-1', endpointName: 'e' }, { crashId: 'boot-2', endpointName: 'e' }])
    await time.advance(1_000)
    const older = second!.getRecord('f1')!
    expect(older.crashes).to.have.length(2)
    second!.clear('f1')
    await time.advance(1_000)
    for (const registry of [first!, second!]) {
      registry.merge(older)
      expect(registry.getCrashCount('f1')).to.equal(0)
    }
    first!.record(createCrash('boot-3'))
    await time.advance(1_000)
    second!.merge(older)
    expect([first!.getCrashCount('f1'), second!.getCrashCount('f1')]).to.deep.equal([1, 1])
  })

  it('should write what decides at once before single crashes that wait for the write rate', async () => {
    const registry = startRegistry(undefined, { writesPerSecond: 0.001 })
    await time.advance(1_000)
    for (let index = 0; index < 20; index++) registry.record({ ...createCrash(`boot-${index}`), fingerprint: `single-${index}` })
    registry.recordAll('urgent', [{ crashId: 'boot-x', endpointName: 'e' }])
    await time.advance(5_000)
    expect(store.objects.has('poison/urgent')).to.equal(true)
  })

  it('should coalesce crashes into few writes', async () => {
    const service = new MemoryObjectService(store)
    const registry = startRegistry(service, { writesPerSecond: 1 })
    for (let crash = 0; crash < 200; crash += 1) registry.record(createCrash(`boot-${crash}`, `f${crash % 4}`))
    await time.advance(20_000)
    expect(service.calls.put).to.be.within(4, 8)
    expect(registry.listRecords().every(record => record.crashes.length === 16)).to.equal(true)
  })

  it('should limit its write rate', async () => {
    const service = new MemoryObjectService(store)
    const registry = startRegistry(service, { writesPerSecond: 1 })
    for (let crash = 0; crash < 200; crash += 1) registry.record(createCrash('boot-1', `f${crash}`))
    await time.advance(20_000)
    expect(service.calls.put).to.be.within(15, 26)
  })

  it('should drop a fingerprint after the retention time and ignore an expired record', async () => {
    const registry = startRegistry()
    registry.record(createCrash('boot-1'))
    registry.mergeCount('f2', 3)
    const old = registry.getRecord('f1')!
    await time.advance(RETENTION_MS + 1_000)
    registry.merge(old)
    expect([registry.getCrashCount('f1'), registry.getCrashCount('f2')]).to.deep.equal([0, 0])
    registry.record(createCrash('boot-9'))
    expect(registry.getCrashCount('f1')).to.equal(1)
  })
})

function createCrash (crashId: string, fingerprint = 'f1') {
  return { fingerprint, crashId, endpointName: 'engine-1' }
}
