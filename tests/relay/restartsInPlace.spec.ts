import { expect } from 'chai'

import { buildCallerRequest, registerEndpoint, sendRaw } from './relayFixture'
import { countMixed, STREAM_LIMIT_MS, VersionedFleet } from './versionedFleet'

import type { RelayFixture } from './relayFixture'
import type { CallerStream } from './versionedFleet'

/** Streams with events of two versions that the platform's rules allow. */
const MAX_MIXED = 2
const RESTARTS = 4
const RESTART_GAP_MS = 400
const STREAM_GAP_MS = 15
/** Milliseconds in which gateways learn from each other of an endpoint that may have ended. */
const LEARN_MS = 600

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

// only gateways that have a connection to an endpoint see its process end
describe('a stream that goes on after endpoints were restarted in place one after the other', () => {
  it('should not be joined by a gateway that had no connection to the first of them, while the store answers none', async () => {
    const fleet = new VersionedFleet({ gateways: 2, versions: ['v1'], events: 250, maxAttempts: 2 })
    await fleet.start()
    await fleet.waitForVersions()
    await fleet.replaceGateways()
    const [own, other] = fleet.gateways
    const play = async (gateway: RelayFixture, id: string) => await sendRaw(gateway.port, buildCallerRequest({ id, target: `/archive/${id}`, timeoutMs: STREAM_LIMIT_MS, headers: ['Connection: close'] }))
    // the only endpoint at that time
    const stream = play(own!, 'a-1')
    await wait(LEARN_MS)
    const second = await fleet.addEndpoint('v1')
    await wait(LEARN_MS)
    const others: Array<ReturnType<typeof sendRaw>> = []
    for (const id of ['b-1', 'b-2', 'b-3', 'b-4']) {
      others.push(play(other!, id))
      await wait(50)
    }
    const chosen = other!.lines.flatMap(line => line.event === 'endpointChosen' ? [line.endpoint] : [])
    for (const { service } of fleet.gateways) service.setFaults({ outage: true })
    await second.replaceVersion('v2')
    await wait(LEARN_MS)
    await fleet.endpoints[0]!.replaceVersion('v2')
    const versions = [...(await stream).text.matchAll(/^data: (\S+)$/gm)].map(([, version]) => version)
    await Promise.all(others)
    await fleet.close()
    expect(chosen).to.include(second.id)
    expect(new Set(versions)).to.deep.equal(new Set(['v1']))
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
