import { expect } from 'chai'

import { buildCallerRequest, buildPlatformConfig, buildRoute, formatChunk, isComplete, sendRaw, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RawAnswer, ReceivedRequest, RelayFixture } from './relayFixture'

type Protocol = 'HTTP/1.0' | 'HTTP/1.1'

const EVENT_1 = 'id: 1\ndata: a\n\n'
const EVENT_2 = 'id: 2\ndata: b\n\n'
const STOP_SECONDS = 1

// a caller must be able to tell a reply that this process cuts from a complete one, also where the endpoint gave no framing
describe('the reply to a stream whose endpoint answers without framing', () => {
  let fixture: RelayFixture
  let endpoint: EndpointFixture
  let request: ReceivedRequest | null

  beforeEach(async () => {
    request = null
    endpoint = await startEndpoint('e-1', received => {
      request = received
      received.socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${received.requestId}`, 'Content-Type: text/event-stream', 'Connection: close', '', EVENT_1].join('\r\n'))
    })
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', timeoutMs: 10_000, maxAttempts: 1 })] }), [endpoint], { stopSeconds: STOP_SECONDS })
  })

  afterEach(async () => {
    await fixture.close()
  })

  /** Sends the request, runs `act` once the first event has been sent, and returns the reply. */
  async function sendAndAct (protocol: Protocol, act: () => unknown): Promise<RawAnswer> {
    let received = ''
    const reply = sendRaw(fixture.port, buildCallerRequest({ timeoutMs: 10_000, headers: ['Connection: close'] }).replace('HTTP/1.1', protocol), undefined, text => { received = text })
    await waitUntil('the first event', () => received.includes(EVENT_1))
    await act()
    return await reply
  }

  it('should come in chunks', async () => {
    const reply = await sendAndAct('HTTP/1.1', () => request!.socket.end(EVENT_2))
    expect(reply.text).to.match(/\r\nTransfer-Encoding: chunked\r\n/i).and.to.include(formatChunk(EVENT_1))
    expect(isComplete(reply)).to.equal(true)
  })

  it('should end with its connection for a caller that knows no chunks', async () => {
    const reply = await sendAndAct('HTTP/1.0', () => request!.socket.end(EVENT_2))
    expect(reply.text).not.to.match(/transfer-encoding/i)
    expect(reply.text.endsWith(EVENT_1 + EVENT_2)).to.equal(true)
    expect(reply.end).to.equal('closed')
  })

  for (const protocol of ['HTTP/1.1', 'HTTP/1.0'] as const) {
    it(`should not look complete where a planned stop cuts it (${protocol})`, async () => {
      const reply = await sendAndAct(protocol, async () => {
        await fixture.relay.drain()
        // the system closes what is still open when the process has ended
        await fixture.relay.close()
      })
      expect(reply.text).to.include(EVENT_1)
      expect(isComplete(reply)).to.equal(false)
    })

    it(`should not look complete where its endpoint resets the connection (${protocol})`, async () => {
      const reply = await sendAndAct(protocol, () => request!.socket.resetAndDestroy())
      expect(isComplete(reply)).to.equal(false)
    })
  }

  it('should not look complete where this process ends and the system closes its connections in order', async () => {
    const reply = await sendAndAct('HTTP/1.1', async () => await fixture.relay.close())
    expect(reply.text).to.include(EVENT_1)
    expect(isComplete(reply)).to.equal(false)
  })
})

describe('the reply to a request without a body in its answer', () => {
  for (const [name, method, status] of [['status 204', 'GET', '204 No Content'], ['HEAD', 'HEAD', '200 OK']] as const) {
    it(`should have neither a length nor chunks (${name})`, async () => {
      const endpoint = await startEndpoint('e-1', ({ socket, requestId }) => socket.end(`HTTP/1.1 ${status}\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nConnection: close\r\n\r\n`))
      const fixture = await startRelay(undefined, [endpoint])
      const reply = await sendRaw(fixture.port, buildCallerRequest({ method, headers: ['Connection: close'] }))
      await fixture.close()
      expect(reply.text).to.match(new RegExp(`^HTTP/1\\.1 ${status}\r\n`)).and.not.to.match(/content-length|transfer-encoding/i)
      expect(reply.end).to.equal('closed')
    })
  }
})
