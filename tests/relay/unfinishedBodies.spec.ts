import net from 'node:net'

import { expect } from 'chai'

import { answerWhole, buildCallerRequest, sendRaw, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

const CONNECTIONS = 40
/** Descriptors of which a gateway lets callers have that many connections. */
const MAX_DESCRIPTORS = 400 + 2 * CONNECTIONS
/** Within which a gateway that says it is ready must take a new connection. */
const CONTACT_MS = 3000
const BODY = 'what it holds'

// the gateway closed every new connection at once, and said that it was ready, for as long as the crowd stayed
describe('callers whose bodies stop short of their end', () => {
  let fixture: RelayFixture
  let endpoint: EndpointFixture
  let crowd: net.Socket[]

  beforeEach(async () => {
    crowd = []
    endpoint = await startEndpoint('e-1', request => answerWhole(request))
    fixture = await startRelay(undefined, [endpoint], { maxDescriptors: MAX_DESCRIPTORS })
  })

  afterEach(async () => {
    for (const socket of crowd) socket.destroy()
    await fixture.close()
  })

  /** Opens connections with a request each that misses its last byte. */
  async function openCrowd (count: number, isOpenAtBothEnds = false): Promise<void> {
    for (let index = 0; index < count; index++) {
      const socket = net.connect({ port: fixture.port, host: '127.0.0.1', allowHalfOpen: isOpenAtBothEnds })
      socket.on('error', () => {})
      socket.resume()
      socket.write(buildCallerRequest({ id: `crowd-${index}`, method: 'POST', body: BODY }).slice(0, -1))
      crowd.push(socket)
    }
    await new Promise(resolve => setTimeout(resolve, 200))
  }

  for (const isOpenAtBothEnds of [false, true]) {
    it(`should leave connections for others, ${isOpenAtBothEnds ? 'also where they do not close theirs' : 'and be refused as not run'}`, async () => {
      await openCrowd(CONNECTIONS, isOpenAtBothEnds)
      const startedAtMs = performance.now()
      let served = 0
      let longestMs = 0
      for (let takenAtMs = startedAtMs; takenAtMs - startedAtMs < 2 * CONTACT_MS;) {
        const { text } = await sendRequest(fixture, { id: `a-${served}` })
        await new Promise(resolve => setTimeout(resolve, 50))
        if (!text.startsWith('HTTP/1.1 200 ')) {
          if (performance.now() - takenAtMs > CONTACT_MS) break
          continue
        }
        served += 1
        longestMs = Math.max(longestMs, performance.now() - takenAtMs)
        takenAtMs = performance.now()
      }
      expect(served).to.be.above(10)
      expect(longestMs).to.be.below(CONTACT_MS)
      expect(fixture.lines.filter(({ event }) => event === 'callerGaveWay').map(line => (line as { shortage?: string }).shortage)).to.include('connections')
      expect(endpoint.received.filter(({ requestId }) => requestId.startsWith('crowd'))).to.deep.equal([])
    }).timeout(15_000)
  }

  it('should be served where connections are left, however late the last byte comes', async () => {
    await openCrowd(CONNECTIONS / 2)
    await new Promise(resolve => setTimeout(resolve, 2500))
    expect((await sendRequest(fixture)).text).to.match(/^HTTP\/1\.1 200 /)
    for (const socket of crowd) socket.write(BODY.slice(-1))
    await waitUntil('all of them at the endpoint', () => endpoint.received.length === CONNECTIONS / 2 + 1)
  })

  it('should give way before a caller that goes on sending, byte by byte', async () => {
    await openCrowd(CONNECTIONS - 2)
    const text = buildCallerRequest({ id: 'slow', method: 'POST', body: BODY, timeoutMs: 10_000, headers: ['Connection: close'] })
    const socket = net.connect(fixture.port, '127.0.0.1')
    let reply = ''
    socket.on('data', bytes => { reply += bytes.toString('latin1') })
    socket.write(text.slice(0, -BODY.length))
    for (const byte of BODY) {
      await new Promise(resolve => setTimeout(resolve, 250))
      socket.write(byte)
      await sendRaw(fixture.port, buildCallerRequest({ id: 'other', headers: ['Connection: close'] }))
    }
    await waitUntil('the reply', () => reply !== '')
    expect(reply).to.match(/^HTTP\/1\.1 200 /)
  })
})
