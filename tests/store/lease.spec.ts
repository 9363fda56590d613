import { expect } from 'chai'

import { Lease } from '../../src/store/lease'
import { FaultyObjectService } from './faultyObjectService'
import { createFakeTime, createProgress, createRandom } from './platformFixtures'

import type { LeaseOptions } from '../../src/store/lease'
import type { FakeTime } from './platformFixtures'

const TERM_MS = 30_000
const MARGIN_MS = 3_000

describe('Lease', () => {
  let time: FakeTime
  const leases: Lease[] = []
  beforeEach(() => { time = createFakeTime() })
  afterEach(async () => {
    await Promise.all(leases.splice(0).map(lease => lease.stopWithoutRelease()))
    time.close()
  })

  function createLease (service: FaultyObjectService, fields: Partial<LeaseOptions> = {}): Lease {
    const lease = new Lease({ service, name: 'engine-1', holder: 'a', termMs: TERM_MS, clockMarginMs: MARGIN_MS, getRandom: createRandom(), ...fields })
    leases.push(lease)
    return lease
  }

  it('should be renewed while the holder runs, with its term counted from before the renewal was sent', async () => {
    const service = new FaultyObjectService()
    const lease = createLease(service)
    lease.start()
    await time.advance(120_000)
    expect([lease.isHeld(), lease.getHolding()?.fencingNumber]).to.deep.equal([true, 1])
    service.faults.beforePut = async () => { await new Promise(resolve => setTimeout(resolve, 4_000)) }
    const remaining: number[] = []
    for (let step = 0; step < 40; step += 1) {
      await time.advance(1_000)
      remaining.push(lease.getStatus().remainingMs)
    }
    service.faults.beforePut = null
    await time.advance(5_000)
    expect(Math.max(...remaining.slice(20))).to.be.at.most(TERM_MS - MARGIN_MS - 4_000)
  })

  it('should end early by the holder\'s own clock while the service is down', async () => {
    const service = new FaultyObjectService()
    const lease = createLease(service)
    lease.start()
    await time.advance(1_000)
    service.setFaults({ outage: true })
    await time.advance(TERM_MS - MARGIN_MS)
    expect(lease.isHeld()).to.equal(false)
    service.setFaults({ outage: false })
    await time.advance(10_000)
    expect(lease.getHolding()?.fencingNumber).to.equal(1)
  })

  it('should let a successor acquire it only after the term and the margin on the successor\'s own clock', async () => {
    const service = new FaultyObjectService()
    const old = createLease(service)
    old.start()
    await time.advance(1_000)
    await old.stopWithoutRelease()
    const successor = createLease(new FaultyObjectService(service.store), { holder: 'b' })
    successor.start()
    await time.advance(TERM_MS + MARGIN_MS - 100)
    expect(successor.isHeld()).to.equal(false)
    await time.advance(2_000)
    expect(successor.getHolding()).to.include({ fencingNumber: 2, predecessor: 'lapsed' })
  })

  it('should not be renewed once another process holds it', async () => {
    const service = new FaultyObjectService()
    const old = createLease(service)
    old.start()
    await time.advance(1_000)
    service.setFaults({ outage: true })
    const successor = createLease(new FaultyObjectService(service.store), { holder: 'b' })
    successor.start()
    await time.advance(2 * TERM_MS)
    const putsBefore = service.calls.put
    service.setFaults({ outage: false })
    await time.advance(2 * TERM_MS)
    expect([old.isHeld(), successor.isHeld()]).to.deep.equal([false, true])
    expect(service.calls.put - putsBefore).to.be.at.most(1)
  })

  it('should not count as held right after its holder resumes from a pause', async () => {
    const service = new FaultyObjectService()
    const old = createLease(service)
    old.start()
    await time.advance(1_000)
    time.pause(TERM_MS)
    expect([old.isHeld(), old.getHolding()]).to.deep.equal([false, null])
  })

  it('should never have two holders at once during outages, delayed writes and lost responses', async () => {
    const store = new FaultyObjectService().store
    const services = ['a', 'b'].map(() => new FaultyObjectService(store))
    const [first, second] = services.map((service, index) => createLease(service, { holder: `holder-${index}` }))
    first!.start()
    second!.start()
    const numbers: number[] = []
    for (let step = 0; step < 300; step += 1) {
      services[step % 2]!.fates.push(step % 3 === 0 ? 'answerLost' : 'delayed')
      if (step % 40 === 0) services[step % 80 === 0 ? 0 : 1]!.setFaults({ outage: true })
      if (step % 40 === 38) for (const service of services) service.setFaults({ outage: false })
      await time.advance(1_000)
      if (step % 7 === 0) for (const service of services) await service.applyDelayed(createProgress())
      expect([first!.isHeld(), second!.isHeld()]).to.not.deep.equal([true, true])
      const holding = first!.getHolding() ?? second!.getHolding()
      if (holding !== null) numbers.push(holding.fencingNumber)
    }
    expect(numbers).to.deep.equal([...numbers].sort((one, other) => one - other))
    expect(new Set(numbers).size).to.be.greaterThan(1)
  })

  it('should pass to a successor at once after a graceful stop, with a higher fencing number', async () => {
    const service = new FaultyObjectService()
    const old = createLease(service)
    old.start()
    await time.advance(1_000)
    service.fates.push('writeLost')
    await old.stop(createProgress())
    const successor = createLease(new FaultyObjectService(service.store), { holder: 'b' })
    successor.start()
    await time.advance(1_000)
    expect(successor.getHolding()).to.include({ fencingNumber: 2, predecessor: 'released' })
  })
})
