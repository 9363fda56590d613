import { expect } from 'chai'

import { ClaimLedger } from '../../src/store/claimLedger'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'
import { createClaimRequest, createFakeTime, createProgress, createRandom, expectGranted } from './platformFixtures'

import type { ClaimOutcome } from '../../src/store/claims'
import type { FakeTime } from './platformFixtures'

const SHARDS = 4
const BATCH_WINDOW_MS = 50
const RETENTION_MS = 3_600_000
const ANSWER = { status: 200, contentType: 'application/json', body: '{"booked":7}' }

describe('ClaimLedger', () => {
  let time: FakeTime
  let store: MemoryObjectStore
  beforeEach(() => {
    time = createFakeTime()
    store = new MemoryObjectStore()
  })
  afterEach(() => { time.close() })

  function createLedger (service = new MemoryObjectService(store), batchWindowMs = 0): ClaimLedger {
    return new ClaimLedger({ service, batchWindowMs, shardCount: SHARDS, retentionMs: RETENTION_MS, getRandom: createRandom() })
  }

  it('should batch concurrent claims into few writes and grant each key once', async () => {
    const services = [1, 2, 3].map(() => new MemoryObjectService(store))
    const ledgers = services.map(service => createLedger(service, BATCH_WINDOW_MS))
    const pending: Array<Promise<ClaimOutcome>> = []
    for (let key = 0; key < 100; key += 1) {
      const request = createClaimRequest({ key: `key-${key}` })
      pending.push(...ledgers.map(async ledger => await ledger.claim(request, createProgress())))
      await time.advance(1)
    }
    await time.advance(5_000)
    const outcomes = await Promise.all(pending)
    const puts = services.reduce((sum, { calls }) => sum + calls.put, 0)
    console.log(`      300 claims of 100 keys in 100 ms by 3 processes on ${SHARDS} shards: ${puts} writes`)
    expect(outcomes.filter(outcome => outcome.kind === 'granted')).to.have.length(100)
    expect(outcomes.filter(outcome => outcome.kind === 'inProgress')).to.have.length(200)
    expect(puts).to.be.below(60)
  })

  it('should release a claim whose caller timed out during the batch window', async () => {
    const ledger = createLedger(undefined, BATCH_WINDOW_MS)
    const abandoned = ledger.claim(createClaimRequest(), createProgress(BATCH_WINDOW_MS / 2))
    await time.advance(1_000)
    expect((await abandoned).kind).to.equal('unavailable')
    expectGranted(await createLedger().claim(createClaimRequest({ attemptId: 'attempt-2' }), createProgress()))
  })

  it('should return the stored response to another process and after a restart', async () => {
    const ledger = createLedger()
    const claim = expectGranted(await ledger.claim(createClaimRequest(), createProgress()))
    await ledger.complete(claim, ANSWER, createProgress())
    expect(await createLedger().claim(createClaimRequest(), createProgress())).to.deep.equal({ kind: 'completed', answer: ANSWER })
    expect((await createLedger().claim(createClaimRequest({ requestDigest: 'other' }), createProgress())).kind).to.equal('keyReused')
  })

  it('should return unavailable at once while the service is down', async () => {
    const service = new MemoryObjectService(store)
    const ledger = createLedger(service)
    expectGranted(await ledger.claim(createClaimRequest({ key: 'before' }), createProgress()))
    service.setFaults({ outage: true })
    expect((await ledger.claim(createClaimRequest(), createProgress())).kind).to.equal('unavailable')
    service.setFaults({ outage: false })
    expectGranted(await ledger.claim(createClaimRequest(), createProgress()))
  })

  it('should expire a key by the times in the log', async () => {
    const [first, second] = [createLedger(), createLedger()]
    expectGranted(await first.claim(createClaimRequest(), createProgress()))
    await time.advance(RETENTION_MS + 1_000)
    expectGranted(await second.claim(createClaimRequest({ attemptId: 'attempt-2' }), createProgress()))
    expect((await first.claim(createClaimRequest({ attemptId: 'attempt-3' }), createProgress())).kind).to.equal('inProgress')
  })
})
