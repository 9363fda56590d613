import { expect } from 'chai'

import { startPlatform } from '../../standins/platform/platformServer'
import { ClaimStore } from '../../src/store/claimStore'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { Lease } from '../../src/store/lease'
import { MembershipDirectory } from '../../src/membership/membershipDirectory'
import { Registration } from '../../src/membership/registration'
import { createClaimRequest, createProgress, expectGranted } from './platformFixtures'

import type { PlatformServer } from '../../standins/platform/platformServer'

const MAX_REFUSAL_MS = 50

describe('the object service of the platform stand-in', () => {
  let platform: PlatformServer
  let service: HttpObjectService
  beforeEach(async () => {
    platform = await startPlatform({ instancesLagMs: 0 })
    service = new HttpObjectService({ baseUrl: platform.url, callTimeoutMs: 600 })
  })
  afterEach(async () => {
    await service.close()
    await platform.close()
  })

  for (const outage of ['answer503', 'hang', 'refuse'] as const) {
    it(`should refuse claims at once during an outage of the kind '${outage}', and grant them again afterwards`, async () => {
      const store = new ClaimStore({ service })
      expectGranted(await store.claim(createClaimRequest({ key: 'before' }), createProgress()))
      await platform.setFaults({ outage })
      for (let call = 0; call < 2; call += 1) await store.claim(createClaimRequest({ key: `finding-${call}` }), createProgress())
      const startedMs = performance.now()
      const outcome = await store.claim(createClaimRequest({ key: 'during' }), createProgress())
      expect([outcome.kind, performance.now() - startedMs < MAX_REFUSAL_MS]).to.deep.equal(['unavailable', true])
      await platform.setFaults({ outage: 'none' })
      for (const key of ['finding-0', 'finding-1', 'during']) expectGranted(await waitForClaim(store, key))
      await store.stop(createProgress())
    })
  }

  it('should grant a claim once when its response was lost', async () => {
    const store = new ClaimStore({ service })
    await platform.setFaults({ applyThenLoseAnswer: 1, applyThenLoseAnswerPrefix: 'claims/' })
    expectGranted(await store.claim(createClaimRequest(), createProgress()))
    const other = new ClaimStore({ service })
    expect((await other.claim(createClaimRequest({ attemptId: 'attempt-2' }), createProgress())).kind).to.equal('inProgress')
  })

  it('should not revert a registration when old events are replayed, and hold a lease', async () => {
    const instance = { instanceId: 'sidecar-1', epoch: 'epoch-1', address: '127.0.0.1:1', domain: 'a', endpointName: 'engine-1' }
    const directory = new MembershipDirectory({ service, watchMs: 200 })
    const seen: string[] = []
    directory.watch(() => seen.push(...directory.listSidecars().map(sidecar => sidecar.address)))
    directory.start()
    const registrations = [instance, { ...instance, epoch: 'epoch-2', address: '127.0.0.1:2' }].map(processIdentity => new Registration({ service, instance: processIdentity }))
    const lease = new Lease({ service, name: 'engine-1', holder: 'sidecar-1/epoch-1' })
    lease.start()
    for (const registration of registrations) {
      await platform.setFaults({ replayOldEvents: 3 })
      registration.start()
      await waitUntil(() => registration.getVersion() !== null)
    }
    await waitUntil(() => seen.at(-1) === '127.0.0.1:2' && lease.isHeld())
    expect(seen.join()).to.match(/^(127\.0\.0\.1:1,)*127\.0\.0\.1:2$/)
    await registrations[1]!.stop(createProgress())
    await waitUntil(() => directory.listSidecars().length === 0)
    await Promise.all([directory.stop(), lease.stop(createProgress()), registrations[0]!.stop(createProgress())])
  })
})

async function waitForClaim (store: ClaimStore, key: string) {
  while (true) {
    const outcome = await store.claim(createClaimRequest({ key }), createProgress())
    if (outcome.kind === 'granted') return outcome
    await new Promise(resolve => setTimeout(resolve, 20))
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 10))
}
