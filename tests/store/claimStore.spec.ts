import { expect } from 'chai'

import { ClaimStore } from '../../src/store/claimStore'
import { isClaimFresh } from '../../src/store/claims'
import { MemoryObjectService } from '../fakes/memoryObjectService'
import { FaultyObjectService } from './faultyObjectService'
import { createClaimRequest, createFakeTime, createProgress, createRandom, expectGranted } from './platformFixtures'

import type { FakeTime } from './platformFixtures'

const ANSWER = { status: 200, contentType: 'application/json', body: '{"booked":7}' }

describe('ClaimStore', () => {
  let time: FakeTime
  beforeEach(() => { time = createFakeTime() })
  afterEach(() => { time.close() })

  it('should return unavailable at once and write nothing while the service is down', async () => {
    const service = new MemoryObjectService()
    service.setFaults({ outage: true })
    const outcome = await new ClaimStore({ service, getRandom: createRandom() }).claim(createClaimRequest(), createProgress())
    expect(outcome.kind).to.equal('unavailable')
    expect([service.calls.put, service.store.objects.size]).to.deep.equal([1, 0])
  })

  it('should grant a claim exactly once after a lost response', async () => {
    const service = new MemoryObjectService()
    service.setFaults({ lostAnswers: 1 })
    const store = new ClaimStore({ service, getRandom: createRandom() })
    expectGranted(await store.claim(createClaimRequest(), createProgress()))
    const second = await store.claim(createClaimRequest({ attemptId: 'attempt-2' }), createProgress())
    expect(second).to.deep.equal({ kind: 'inProgress', holder: 'sidecar-1/epoch-1' })
  })

  it('should release a claim in the background when it took effect without a confirmation', async () => {
    const service = new FaultyObjectService()
    const store = new ClaimStore({ service, getRandom: createRandom() })
    service.fates.push('answerLost')
    const get = service.get.bind(service)
    service.get = async (key, progress) => {
      service.setFaults({ outage: true })
      return await get(key, progress)
    }
    const outcome = await store.claim(createClaimRequest(), createProgress())
    expect(outcome.kind).to.equal('unavailable')
    service.get = get
    service.setFaults({ outage: false })
    await time.advance(30_000)
    const other = new ClaimStore({ service: new MemoryObjectService(service.store) })
    expectGranted(await other.claim(createClaimRequest({ holder: 'sidecar-2/epoch-1' }), createProgress()))
  })

  it('should fence off a delayed write that arrives after the read-back', async () => {
    const service = new FaultyObjectService()
    const store = new ClaimStore({ service, getRandom: createRandom() })
    service.fates.push('delayed', 'refused')
    const outcome = await store.claim(createClaimRequest(), createProgress())
    expect(outcome.kind).to.equal('unavailable')
    await time.advance(30_000)
    await service.applyDelayed(createProgress())
    const other = new ClaimStore({ service: new MemoryObjectService(service.store) })
    expectGranted(await other.claim(createClaimRequest({ holder: 'sidecar-2/epoch-1' }), createProgress()))
  })

  it('should grant one of two racing claims', async () => {
    const service = new MemoryObjectService()
    const stores = [1, 2].map(() => new ClaimStore({ service: new FaultyObjectService(service.store) }))
    const outcomes = await Promise.all(stores.map(async (store, index) => {
      return await store.claim(createClaimRequest({ attemptId: `attempt-${index}` }), createProgress())
    }))
    expect(outcomes.map(outcome => outcome.kind).sort()).to.deep.equal(['granted', 'inProgress'])
  })

  it('should return the stored response to the same request and refuse the key for another request', async () => {
    const store = new ClaimStore({ service: new MemoryObjectService() })
    const claim = expectGranted(await store.claim(createClaimRequest(), createProgress()))
    await store.complete(claim, ANSWER, createProgress())
    expect(await store.claim(createClaimRequest(), createProgress())).to.deep.equal({ kind: 'completed', answer: ANSWER })
    expect((await store.claim(createClaimRequest({ requestDigest: 'other' }), createProgress())).kind).to.equal('keyReused')
    expect((await store.claim(createClaimRequest({ workspace: 'order-desk' }), createProgress())).kind).to.equal('granted')
  })

  it('should require a read-back after a pause and refuse a claim that was removed', async () => {
    const service = new MemoryObjectService()
    const store = new ClaimStore({ service, getRandom: createRandom() })
    const claim = expectGranted(await store.claim(createClaimRequest(), createProgress()))
    expect(isClaimFresh(claim, time.clock)).to.equal(true)
    time.pause(60_000)
    expect(isClaimFresh(claim, time.clock)).to.equal(false)
    expect((await store.verify(claim, createProgress())).kind).to.equal('granted')
    service.store.delete(claim.objectKey)
    expect((await store.verify(claim, createProgress())).kind).to.equal('mayHaveRun')
  })

  it('should release a claim that could not be read back after a pause', async () => {
    const service = new MemoryObjectService()
    const store = new ClaimStore({ service, getRandom: createRandom() })
    const claim = expectGranted(await store.claim(createClaimRequest(), createProgress()))
    service.setFaults({ outage: true })
    expect((await store.verify(claim, createProgress())).kind).to.equal('unavailable')
    service.setFaults({ outage: false })
    await time.advance(30_000)
    expectGranted(await store.claim(createClaimRequest({ attemptId: 'attempt-2' }), createProgress()))
  })
})
