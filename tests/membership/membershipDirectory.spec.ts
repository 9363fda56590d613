import { expect } from 'chai'

import { MembershipDirectory } from '../../src/membership/membershipDirectory'
import { Registration } from '../../src/membership/registration'
import { MemoryObjectService } from '../fakes/memoryObjectService'
import { createFakeTime, createProgress, createRandom } from '../store/platformFixtures'

import type { RegistrationOptions } from '../../src/membership/registration'
import type { FakeTime } from '../store/platformFixtures'

type Instance = RegistrationOptions['instance']

describe('MembershipDirectory', () => {
  let time: FakeTime
  let service: MemoryObjectService
  let directory: MembershipDirectory
  beforeEach(() => {
    time = createFakeTime()
    service = new MemoryObjectService()
    directory = new MembershipDirectory({ service, getRandom: createRandom() })
    directory.start()
  })
  afterEach(async () => {
    await directory.stop()
    time.close()
  })

  it('should list a sidecar from its registration until its graceful stop', async () => {
    const registration = createRegistration(service)
    registration.start()
    await time.advance(1_000)
    expect(listAddresses(directory)).to.deep.equal(['127.0.0.1:1'])
    await registration.stop(createProgress())
    await time.advance(1_000)
    expect(listAddresses(directory)).to.deep.equal([])
  })

  it('should replace a stale registration of the same endpoint and keep the successor when the stale process stops', async () => {
    const stale = createRegistration(service)
    stale.start()
    await time.advance(1_000)
    const successor = createRegistration(service, { instanceId: 'sidecar-2', epoch: 'epoch-2', address: '127.0.0.1:2' })
    successor.start()
    await time.advance(1_000)
    await stale.stop(createProgress())
    await time.advance(1_000)
    expect(listAddresses(directory)).to.deep.equal(['127.0.0.1:2'])
    await successor.stop(createProgress())
  })

  it('should keep the last view during an outage and list again afterwards', async () => {
    const registration = createRegistration(service)
    registration.start()
    await time.advance(1_000)
    service.setFaults({ outage: true })
    await time.advance(60_000)
    expect([listAddresses(directory), directory.getStatus().following]).to.deep.equal([['127.0.0.1:1'], false])
    service.store.put('sidecars/engine-2', { ...createInstance({ endpointName: 'engine-2', address: '127.0.0.1:2' }), writeId: 'write-2' })
    service.setFaults({ outage: false })
    await time.advance(15_000)
    expect(listAddresses(directory)).to.deep.equal(['127.0.0.1:1', '127.0.0.1:2'])
    await registration.stop(createProgress())
  })

  it('should ignore old events that arrive late', async () => {
    const value = { ...createInstance(), writeId: 'write-1' }
    const old = service.store.put('sidecars/engine-1', value)
    service.store.put('sidecars/engine-1', { ...value, address: '127.0.0.1:9' })
    await time.advance(1_000)
    service.faults.injectedBatches.push({ events: [{ kind: 'put', object: old }], revision: service.store.revision })
    service.faults.injectedBatches.push({ events: [{ kind: 'delete', key: old.key, version: old.version }], revision: service.store.revision })
    await time.advance(60_000)
    expect(listAddresses(directory)).to.deep.equal(['127.0.0.1:9'])
    service.store.delete('sidecars/engine-1')
    await time.advance(1_000)
    service.faults.injectedBatches.push({ events: [{ kind: 'put', object: old }], revision: service.store.revision })
    await time.advance(60_000)
    expect(listAddresses(directory)).to.deep.equal([])
  })

  it('should batch frequent changes into few watch calls and still show the last one', async () => {
    await time.advance(5_000)
    const before = service.calls.watch
    for (let change = 0; change < 200; change += 1) {
      service.store.put('sidecars/engine-1', { ...createInstance({ address: `127.0.0.1:${change}` }), writeId: 'write-1' })
      await time.advance(100)
    }
    expect(service.calls.watch - before).to.be.below(20)
    await time.advance(3_000)
    expect(listAddresses(directory)).to.deep.equal(['127.0.0.1:199'])
  })

  it('should mark the instances that the platform lists as leaving', async () => {
    service.store.put('sidecars/engine-1', { ...createInstance(), writeId: 'write-1' })
    service.store.instances.push({ instanceId: 'sidecar-1', role: 'sidecar', address: '127.0.0.1:1', domain: 'a', state: 'leaving' })
    await time.advance(5_000)
    expect(directory.listSidecars().map(sidecar => sidecar.leaving)).to.deep.equal([true])
  })

  it('should register once after an outage even if the answer of the write is lost', async () => {
    service.setFaults({ outage: true })
    const registration = createRegistration(service)
    registration.start()
    await time.advance(30_000)
    service.setFaults({ outage: false, lostAnswers: 1 })
    await time.advance(60_000)
    expect([registration.getVersion(), service.calls.put]).to.deep.equal([1, 1])
    await registration.stop(createProgress())
  })
})

function createInstance (fields: Partial<Instance> = {}): Instance {
  return { instanceId: 'sidecar-1', epoch: 'epoch-1', address: '127.0.0.1:1', domain: 'a', endpointName: 'engine-1', ...fields }
}

function createRegistration (service: MemoryObjectService, fields: Partial<Instance> = {}): Registration {
  return new Registration({ service, getRandom: createRandom(), instance: createInstance(fields) })
}

function listAddresses (directory: MembershipDirectory): string[] {
  return directory.listSidecars().map(sidecar => sidecar.address)
}
