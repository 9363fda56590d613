import { expect } from 'chai'

import { createSeededRandom } from '../../standins/shared/seededRandom'
import { waitUntil } from './relayFixture'
import { computeContinuedShare, countMixed, VersionedFleet } from './versionedFleet'

import type { CallerStream, VersionedFleetOptions } from './versionedFleet'

/** Minimum fraction of the taken-up streams that must go on while endpoints of their version serve. */
const MIN_CONTINUED_SHARE = 0.5
const STREAMS = 40

describe('streams while endpoints of two software versions serve', () => {
  let fleet: VersionedFleet

  afterEach(async () => await fleet.close())

  async function startFleet (options: Partial<VersionedFleetOptions> = {}): Promise<void> {
    fleet = new VersionedFleet({ gateways: 4, versions: ['v1', 'v1', 'v2', 'v2'], ...options })
    await fleet.start()
    await fleet.waitForVersions()
  }

  async function playMany (count = STREAMS): Promise<CallerStream[]> {
    return await Promise.all(Array.from({ length: count }, async () => await fleet.play()))
  }

  for (const maxAttempts of [1, 2, 3]) {
    it(`should go on only at the version that began them, where endpoints break answers off (${maxAttempts} attempts a request)`, async () => {
      const random = createSeededRandom(maxAttempts)
      let breaks = false
      await startFleet({ maxAttempts, breakAfter: () => breaks && random() < 0.6 ? 1 + Math.floor(5 * random()) : null })
      breaks = true
      const streams = await playMany()
      expect(countMixed(streams)).to.equal(0)
      expect(computeContinuedShare(streams)).to.be.least(MIN_CONTINUED_SHARE)
    })
  }

  it('should go on only at the version that began them, where one gateway ends', async () => {
    await startFleet()
    const streams = playMany(100)
    await new Promise(resolve => setTimeout(resolve, 100))
    await fleet.gateways.shift()!.close()
    expect(countMixed(await streams)).to.equal(0)
    expect(computeContinuedShare(await streams)).to.be.least(MIN_CONTINUED_SHARE)
  })

  it('should go on only at the version that began them, where all gateways end at once', async () => {
    await startFleet()
    const streams = playMany(60)
    await new Promise(resolve => setTimeout(resolve, 100))
    await fleet.replaceGateways()
    expect(countMixed(await streams)).to.equal(0)
  })

  it('should not go on at the new version, where the old one leaves and all gateways end at once', async () => {
    await startFleet({ versions: ['v1', 'v1'], gateways: 2 })
    const streams = playMany(60)
    await new Promise(resolve => setTimeout(resolve, 100))
    await fleet.addEndpoint('v2')
    await fleet.addEndpoint('v2')
    fleet.removeVersion('v1')
    await fleet.replaceGateways()
    expect(countMixed(await streams)).to.equal(0)
  })
})

describe('streams that began after the last change of the versions', () => {
  let fleet: VersionedFleet

  afterEach(async () => await fleet.close())

  for (const [name, end] of [
    ['one gateway ends', async () => await fleet.gateways.shift()!.close()],
    ['all gateways end at once', async () => await fleet.replaceGateways()]
  ] as Array<[string, () => Promise<void>]>) {
    it(`should go on at their version, where a release has just replaced all endpoints and ${name}`, async () => {
      fleet = new VersionedFleet({ gateways: 4, versions: ['v1', 'v1'], events: 120 })
      await fleet.start()
      await fleet.waitForVersions()
      await fleet.addEndpoint('v2')
      await fleet.addEndpoint('v2')
      await fleet.waitForVersions(['v1', 'v2'])
      for (const endpoint of fleet.endpoints.slice(0, 2)) fleet.store.delete(`servers/${endpoint.id}`)
      await waitUntil('the end of the old version', () => fleet.gateways.every(({ lines }) => lines.some(line => line.event === 'versionsAssigned' && line.buckets.v2 === 256)))
      const streams = Array.from({ length: 60 }, async () => await fleet.play())
      // the streams are known to others after a report, and stored with the next write
      await new Promise(resolve => setTimeout(resolve, 900))
      await end()
      const late = Array.from({ length: 60 }, async () => await fleet.play())
      const ended = await Promise.all([...streams, ...late])
      expect(countMixed(ended)).to.equal(0)
      expect(computeContinuedShare(ended)).to.be.least(MIN_CONTINUED_SHARE)
    })
  }
})
