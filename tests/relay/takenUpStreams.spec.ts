import { expect } from 'chai'

import { selectTimeline } from '../../src/cli/requestTimeline'
import { answerWhole, buildPlatformConfig, buildRoute, formatChunk, registerEndpoint, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil } from './relayFixture'
import { countMixed, STREAM_EVENTS, STREAM_LIMIT_MS, VersionedFleet } from './versionedFleet'

import type { LogLine } from '../../src/cli/requestTimeline'
import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'
import type { VersionedFleetOptions } from './versionedFleet'

describe('a stream that a caller takes up again', () => {
  let fleet: VersionedFleet

  afterEach(async () => await fleet.close())

  async function startFleet (options: Partial<VersionedFleetOptions> = {}): Promise<void> {
    fleet = new VersionedFleet({ gateways: 2, versions: ['v1', 'v1', 'v2', 'v2'], ...options })
    await fleet.start()
    await fleet.waitForVersions()
  }

  for (const [name, headers] of [
    ['without the attempt that began it', () => []],
    ['with an empty id', () => ['Resumes: ']],
    ['with several ids', () => ['Resumes: a-1', 'Resumes: a-2']]
  ] as Array<[string, () => string[]]>) {
    it(`should not go on ${name} while two versions serve`, async () => {
      let breaks = false
      await startFleet({ breakAfter: () => breaks ? 3 : null, maxAttempts: 1 })
      breaks = true
      const streams = await Promise.all(Array.from({ length: 20 }, async () => await fleet.play({ headers })))
      expect(countMixed(streams)).to.equal(0)
    })

    it(`should go on ${name} while one version is possible`, async () => {
      let breaks = false
      await startFleet({ versions: ['v1', 'v1'], breakAfter: () => breaks ? 10 : null, maxAttempts: 1 })
      breaks = true
      const streams = await Promise.all(Array.from({ length: 10 }, async () => await fleet.play({ headers })))
      expect(streams.filter(({ isWhole }) => isWhole)).to.have.length(10)
    })
  }

  it('should end at one version with any attempt that its caller names, and tell the caller nothing', async () => {
    let breaks = false
    await startFleet({ breakAfter: () => breaks ? 3 : null, maxAttempts: 1 })
    breaks = true
    const streams = await Promise.all(['nobody', '../etc', 'x'.repeat(4000), 'a-1'].map(async id => await fleet.play({ headers: () => [`Resumes: ${id}`] })))
    for (const { events, takeUps } of streams) {
      expect(new Set(events.slice(3).map(({ version }) => version)).size).to.be.most(1)
      for (const { status } of takeUps) expect(status).to.be.oneOf([200, 503])
    }
  })

  it('should be refused at once when its version has left, and not be asked back within its time', async () => {
    let breaks = false
    await startFleet({ breakAfter: () => breaks ? 3 : null, maxAttempts: 1 })
    breaks = true
    const version = (await fleet.play()).events[0]!.version
    fleet.removeVersion(version)
    await waitUntil('the gateways to move the buckets', () => fleet.gateways.every(gateway => gateway.lines.some(line => line.event === 'versionsAssigned' && line.buckets[version] === undefined)))
    const streams = await playUntilBegun(version)
    expect(countMixed(streams)).to.equal(0)
  })

  /** Takes up a stream that began at a version, with the id of one that is known to have begun there. */
  async function playUntilBegun (version: string): Promise<Awaited<ReturnType<VersionedFleet['play']>>[]> {
    const origin = fleet.gateways.flatMap(gateway => gateway.lines).find(line => line.event === 'endpointChosen' && line.version === version)
    const requestId = origin?.event === 'endpointChosen' ? origin.requestId : ''
    const startedAtMs = performance.now()
    const reply = await sendRequest(fleet.gateways[0]!, { id: 'taken-up', headers: ['Last-Event-Id: 3', `Resumes: ${requestId}`], timeoutMs: 2500 })
    expect(performance.now() - startedAtMs).to.be.below(1000)
    expect(reply.text).to.match(/^HTTP\/1.1 503 /)
    expect(Number(/\r\nretry-after: ([\d.]+)/i.exec(reply.text)?.[1])).to.be.above(2.5)
    return [await fleet.play()]
  }

  it('should wait for endpoints of its version that are full, though others have room', async () => {
    let breaks = false
    await startFleet({ gateways: 1, breakAfter: () => breaks ? 3 : null, maxAttempts: 1, maxConnections: 2 })
    breaks = true
    const first = await fleet.play()
    breaks = false
    const load = Promise.all(Array.from({ length: 10 }, async () => await fleet.play()))
    await new Promise(resolve => setTimeout(resolve, 50))
    const reply = await sendRequest(fleet.gateways[0]!, { id: 'taken-up', headers: ['Last-Event-Id: 3', `Resumes: ${first.requestId}`], timeoutMs: STREAM_LIMIT_MS })
    expect(reply.text).to.include(`id: ${STREAM_EVENTS}\ndata: ${first.events[0]!.version}\n\n`)
    expect(countMixed(await load)).to.equal(0)
  })

  it('should be explained by the decisions of the gateways', async () => {
    let breaks = false
    await startFleet({ breakAfter: () => breaks ? 12 : null, maxAttempts: 1 })
    breaks = true
    const stream = await fleet.play()
    const lines = fleet.gateways.flatMap(gateway => gateway.lines) as unknown as LogLine[]
    const decided = lines.find(line => line.event === 'streamOriginDecided' && line.resumes === stream.requestId)!
    expect(decided).to.include({ version: stream.events[0]!.version })
    const events = selectTimeline(lines, decided.requestId!).decisions.map(line => line.event)
    expect(events).to.include.members(['streamOriginDecided', 'endpointChosen', 'streamContinued'])
  })
})

describe('the software version of an entry', () => {
  let fixture: RelayFixture | undefined
  let endpoints: EndpointFixture[] = []

  afterEach(async () => {
    await fixture?.close()
    for (const endpoint of endpoints) endpoint.close()
    fixture = undefined
    endpoints = []
  })

  const CONFIG = buildPlatformConfig({ routes: [buildRoute(), buildRoute({ name: 'r-2', pathPrefix: '/stream/', kind: 'streaming', resumable: true })] })

  function answerStream (request: ReceivedRequest): void {
    if (!request.text.includes('/stream/')) return answerWhole(request)
    request.socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${request.requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', `${formatChunk('id: 1\ndata: a\n\n')}0\r\n\r\n`].join('\r\n'))
  }

  it('should be needed for streams that may be taken up, and for nothing else', async () => {
    endpoints = [await startEndpoint('e-1', answerStream), await startEndpoint('e-2', answerStream)]
    fixture = await startRelay(CONFIG, [])
    registerEndpoint(fixture.store, endpoints[0]!)
    registerEndpoint(fixture.store, endpoints[1]!, { version: undefined })
    for (let index = 0; index < 12; index++) {
      expect((await sendRequest(fixture, { id: `s-${index}`, target: '/stream/1' })).text).to.match(/^HTTP\/1.1 200 /)
      expect((await sendRequest(fixture, { id: `p-${index}`, target: '/archive/1' })).text).to.match(/^HTTP\/1.1 200 /)
    }
    expect(endpoints[1]!.received.some(({ text }) => text.includes('/archive/'))).to.equal(true)
    expect(endpoints[1]!.received.some(({ text }) => text.includes('/stream/'))).to.equal(false)
  })

  it('should be read again where an endpoint comes back under its id and address', async () => {
    endpoints = [await startEndpoint('e-1', answerStream)]
    fixture = await startRelay(CONFIG, endpoints)
    expect((await sendRequest(fixture, { target: '/stream/1' })).text).to.match(/^HTTP\/1.1 200 /)
    registerEndpoint(fixture.store, endpoints[0]!, { version: 'v2' })
    await waitUntil('the new version', () => fixture!.lines.some(line => line.event === 'versionsAssigned' && line.buckets.v2 === 256))
    const reply = await sendRequest(fixture, { id: 'a-2', target: '/stream/1', headers: ['Last-Event-Id: 1', 'Resumes: a-1'] })
    expect(reply.text).to.match(/^HTTP\/1.1 503 /)
    expect(endpoints[0]!.received).to.have.length(1)
  })

  for (const part of ['', 'id: 1\nda']) {
    it(`should be that of the bucket until an event is passed on, after a head and ${part === '' ? 'no event' : 'half an event'}`, async () => {
      const answer = (request: ReceivedRequest) => {
        request.socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${request.requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', part === '' ? '' : formatChunk(part)].join('\r\n'), () => request.socket.resetAndDestroy())
      }
      endpoints = await Promise.all(['e-1', 'e-2', 'e-3', 'e-4'].map(async id => await startEndpoint(id, answer)))
      fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', resumable: true, maxAttempts: 4 })] }), [])
      const versions = ['v1', 'v1', 'v2', 'v2']
      for (const [index, endpoint] of endpoints.entries()) registerEndpoint(fixture.store, endpoint, { version: versions[index] })
      await waitUntil('both versions', () => fixture!.lines.some(line => line.event === 'versionsAssigned' && Object.keys(line.buckets).length === 2))
      for (let index = 0; index < 10; index++) {
        const id = `s-${index}`
        expect((await sendRequest(fixture, { id })).text).not.to.include('data')
        const reached = versions.filter((_, position) => endpoints[position]!.received.some(request => request.requestId === id))
        expect(new Set(reached).size).to.equal(1)
      }
    })
  }
})
