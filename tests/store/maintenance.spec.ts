import { expect } from 'chai'

import { ClaimStore } from '../../src/store/claimStore'
import { ClaimSweeper } from '../../src/store/claimSweeper'
import { Lease } from '../../src/store/lease'
import { Maintenance } from '../../src/store/maintenance'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'
import { createClaimRequest, createFakeTime, createProgress, createRandom } from './platformFixtures'

import type { FakeTime } from './platformFixtures'

const RETENTION_MS = 3_600_000

describe('Maintenance', () => {
  let time: FakeTime
  beforeEach(() => { time = createFakeTime() })
  afterEach(() => { time.close() })

  it('should remove expired claims at a limited rate, by one process at a time', async () => {
    const store = new MemoryObjectStore()
    const claims = new ClaimStore({ service: new MemoryObjectService(store) })
    for (let key = 0; key < 20; key += 1) await claims.claim(createClaimRequest({ key: `old-${key}` }), createProgress())
    await time.advance(RETENTION_MS)
    await claims.claim(createClaimRequest({ key: 'recent' }), createProgress())
    const workers = ['a', 'b'].map(holder => startWorker(store, holder))
    await time.advance(600_000)
    const removedPerSecond: number[] = []
    for (let second = 0; second < 150; second += 1) {
      const before = countRemoved(workers)
      await time.advance(1_000)
      removedPerSecond.push(countRemoved(workers) - before)
    }
    expect(Math.max(...removedPerSecond)).to.equal(1)
    expect([...store.objects.keys()].filter(key => key.startsWith('claims/'))).to.have.length(1)
    expect(workers.map(({ service }) => service.calls.list).sort()).to.deep.equal([0, 1])
    for (const worker of workers) await worker.stop()
  })

  it('should split a page that cannot be listed', async () => {
    const store = new MemoryObjectStore()
    const claims = new ClaimStore({ service: new MemoryObjectService(store) })
    for (let key = 0; key < 5; key += 1) await claims.claim(createClaimRequest({ key: `old-${key}` }), createProgress())
    await time.advance(RETENTION_MS + 1_000)
    const service = new MemoryObjectService(store)
    const list = service.list.bind(service)
    service.list = async (prefix, progress) => await list(prefix.endsWith('/') ? 'none' : prefix, progress)
    const sweeper = createSweeper(service)
    service.setFaults({ outage: true })
    await sweeper.runStep(createProgress())
    await sweeper.runStep(createProgress())
    service.setFaults({ outage: false })
    for (let step = 0; step < 30; step += 1) await sweeper.runStep(createProgress())
    expect(sweeper.getRemovedCount()).to.equal(5)
  })
})

function startWorker (store: MemoryObjectStore, holder: string) {
  const service = new MemoryObjectService(store)
  const lease = new Lease({ service, name: 'maintenance', holder, getRandom: createRandom() })
  const sweeper = createSweeper(service)
  const maintenance = new Maintenance({ lease, jobs: [sweeper], getRandom: createRandom() })
  lease.start()
  maintenance.start()
  const stop = async () => {
    await maintenance.stop()
    await lease.stop(createProgress())
  }
  return { service, sweeper, stop }
}

function countRemoved (workers: Array<{ sweeper: ClaimSweeper }>): number {
  return workers.reduce((sum, { sweeper }) => sum + sweeper.getRemovedCount(), 0)
}

function createSweeper (service: MemoryObjectService): ClaimSweeper {
  return new ClaimSweeper({ service, listWorkspaces: () => ['archive'], getRetentionMs: () => RETENTION_MS, callsPerSecond: 0.2 })
}
