import { expect } from 'chai'

import { registerEndpoint } from './relayFixture'
import { countMixed, VersionedFleet } from './versionedFleet'

import type { CallerStream } from './versionedFleet'

/** Streams with events of two versions that the platform's rules allow. */
const MAX_MIXED = 2
const RESTARTS = 4
const RESTART_GAP_MS = 400
const STREAM_GAP_MS = 15

// an endpoint that is back at its address with another version is not known by an old entry
describe('streams while endpoints are restarted in place as another version and gateways do not see their entries', () => {
  let fleet: VersionedFleet

  afterEach(async () => await fleet.close())

  /** Plays streams while endpoints are restarted one after the other, and `disturb` keeps their entries from gateways. */
  async function play (gateways: number, downMs: number, disturb: (isDisturbed: boolean) => void): Promise<CallerStream[]> {
    fleet = new VersionedFleet({ gateways, versions: ['v1', 'v1', 'v1', 'v1', 'v1', 'v1'], events: 60, maxAttempts: 3 })
    await fleet.start()
    await fleet.waitForVersions()
    const streams: Array<Promise<CallerStream>> = []
    const timer = setInterval(() => streams.push(fleet.play()), STREAM_GAP_MS)
    await wait(RESTART_GAP_MS)
    disturb(true)
    for (const endpoint of fleet.endpoints.slice(0, RESTARTS)) {
      await endpoint.replaceVersion('v2', downMs)
      registerEndpoint(fleet.store, endpoint, { version: 'v2', slots: 64, born: 2 })
      await wait(RESTART_GAP_MS)
    }
    disturb(false)
    await wait(2 * RESTART_GAP_MS)
    clearInterval(timer)
    return await Promise.all(streams)
  }

  for (const gateways of [1, 2, 4]) {
    for (const downMs of [0, 150]) {
      it(`should not join the versions where the store answers no gateway (${gateways} gateways, down for ${downMs} ms)`, async () => {
        const streams = await play(gateways, downMs, outage => { for (const { service } of fleet.gateways) service.setFaults({ outage }) })
        expect(countMixed(streams)).to.be.most(MAX_MIXED)
        expect(streams.filter(({ isWhole }) => isWhole)).to.have.length.least(streams.length / 2)
      })
    }
  }

  it('should not join the versions where one gateway of four is cut off from the store', async () => {
    const streams = await play(4, 50, outage => fleet.gateways[0]!.service.setFaults({ outage, holdWatches: outage }))
    expect(countMixed(streams)).to.be.most(MAX_MIXED)
  })
})

async function wait (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

// most broken answers are no end of a process
describe('streams of endpoints that reset answers while they live', () => {
  it('should go on at an endpoint whose entry was read again, before the next list', async () => {
    let breaks = false
    const fleet = new VersionedFleet({ gateways: 1, versions: ['v1', 'v1'], maxAttempts: 2, breakAfter: () => breaks ? 3 : null })
    await fleet.start()
    await fleet.waitForVersions()
    const { service } = fleet.gateways[0]!
    // no list and no watch confirms the entries from here on
    service.setFaults({ holdWatches: true })
    breaks = true
    await fleet.play()
    await wait(50)
    breaks = false
    const readsBefore = service.calls.get
    const streams = await Promise.all(Array.from({ length: 4 }, async () => await fleet.play()))
    await fleet.close()
    expect(readsBefore).to.be.least(1)
    expect(streams.filter(({ isWhole, takeUps }) => isWhole && takeUps.length === 0)).to.have.length(4)
  })
})
