import { expect } from 'chai'

import { Backoff } from '../../src/store/backoff'
import { Lease } from '../../src/store/lease'
import { MembershipDirectory } from '../../src/membership/membershipDirectory'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'
import { createFakeTime, createRandom } from './platformFixtures'

const CLIENTS = 960
const READS_PER_SECOND = 2_000
const WRITES_PER_SECOND = 400

describe('load on the object service', () => {
  it('should be spread over time when 960 clients retry after an outage', () => {
    const random = createRandom()
    const callsBySecond = new Map<number, number>()
    for (let client = 0; client < CLIENTS; client += 1) {
      const backoff = new Backoff({ baseMs: 500, capMs: 10_000, getRandom: random })
      const outageEndMs = 60_000
      let nowMs = 0
      while (nowMs < outageEndMs) nowMs += backoff.advance()
      const second = Math.floor((nowMs - outageEndMs) / 1_000)
      callsBySecond.set(second, (callsBySecond.get(second) ?? 0) + 1)
    }
    const peak = Math.max(...callsBySecond.values())
    console.log(`      first calls after the outage: at most ${peak} in one second, over ${callsBySecond.size} s`)
    expect(peak).to.be.below(WRITES_PER_SECOND)
  })

  it('should stay within the limits after an outage, with real directories and leases', async () => {
    const time = createFakeTime()
    const store = new MemoryObjectStore()
    const random = createRandom()
    const services = Array.from({ length: CLIENTS }, () => new MemoryObjectService(store))
    const leases = services.slice(0, 600).map((service, index) => new Lease({ service, name: `engine-${index}`, holder: `sidecar-${index}`, getRandom: random }))
    const directories = services.slice(600).map(service => new MembershipDirectory({ service, getRandom: random }))
    for (const client of [...leases, ...directories]) client.start()
    await time.advance(12_000)
    services.forEach(service => service.setFaults({ outage: true }))
    await time.advance(15_000)
    services.forEach(service => service.setFaults({ outage: false }))
    let peak = { reads: 0, writes: 0 }
    for (let second = 0; second < 12; second += 1) {
      const before = countCalls(services)
      await time.advance(1_000)
      const after = countCalls(services)
      peak = { reads: Math.max(peak.reads, after.reads - before.reads), writes: Math.max(peak.writes, after.writes - before.writes) }
    }
    console.log(`      calls in the busiest second after the outage: ${peak.reads} reads, ${peak.writes} writes`)
    await Promise.all([...leases.map(lease => lease.stopWithoutRelease()), ...directories.map(directory => directory.stop())])
    time.close()
    expect(peak.reads).to.be.below(READS_PER_SECOND)
    expect(peak.writes).to.be.below(WRITES_PER_SECOND)
  }).timeout(60_000)
})

function countCalls (services: MemoryObjectService[]): { reads: number, writes: number } {
  const totals = { reads: 0, writes: 0 }
  for (const { calls } of services) {
    totals.reads += calls.get + calls.list + calls.watch + calls.listInstances
    totals.writes += calls.put + calls.delete
  }
  return totals
}
