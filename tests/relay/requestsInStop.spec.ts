import { setTimeout as waitFor } from 'node:timers/promises'

import { expect } from 'chai'

import { PacedCaller } from '../fixtures/pacedCaller'
import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, formatChunk, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const STOP_SECONDS = 3
/** Milliseconds after the signal at which nothing is accepted any more. */
const ROTATION_MS = 1000
const BODY = 'b'.repeat(40_000)

describe('a request that arrives around a planned stop', () => {
  let fixture: RelayFixture
  let endpoint: EndpointFixture
  let caller: PacedCaller

  afterEach(async () => {
    caller.destroy()
    await fixture.close()
  })

  async function start (answer: (request: ReceivedRequest) => void = request => answerWhole(request)): Promise<void> {
    endpoint = await startEndpoint('e-1', answer)
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ timeoutMs: 9000 })] }), [endpoint], { stopSeconds: STOP_SECONDS })
    caller = new PacedCaller(fixture.port)
  }

  function countAnswers (): number {
    return (caller.text.match(/HTTP\/1.1 200/g) ?? []).length
  }

  // the first answer announced the close, and the second request ran without an answer
  it('should be answered although the one before it on its connection was read in the stop too', async () => {
    const held: ReceivedRequest[] = []
    await start(request => { held.push(request) })
    const drained = fixture.relay.drain()
    caller.write(buildCallerRequest({ id: 'first' }) + buildCallerRequest({ id: 'second' }))
    await waitUntil('both requests', () => held.length === 2)
    for (const request of held) answerWhole(request)
    await caller.waitForEnd()
    expect(countAnswers()).to.equal(2)
    caller.close()
    await drained
  })

  it('should not be sent when it follows an answer that has announced the close', async () => {
    await start(request => { setTimeout(() => answerWhole(request, 'b'.repeat(6_000_000)), 50) })
    const drained = fixture.relay.drain()
    caller.pause()
    caller.write(buildCallerRequest({ id: 'first' }))
    await waitUntil('the first request', () => endpoint.received.length === 1)
    await waitFor(300)
    caller.write(buildCallerRequest({ id: 'second' }))
    await waitFor(100)
    caller.resume()
    await caller.waitForEnd()
    caller.close()
    await drained
    expect([endpoint.received.length, countAnswers()]).to.deep.equal([1, 1])
  })

  // the caller waited for a `100 Continue` that did not come, or had its connection closed
  for (const atMs of [0, ROTATION_MS - 100, ROTATION_MS + 100]) {
    it(`should be told to go on with its body when its head has begun before the end of accepting and ends ${atMs} ms after the signal`, async () => {
      await start()
      // ends before the stop does, whatever the time at which it is sent
      const request = buildCallerRequest({ method: 'POST', body: BODY, timeoutMs: 1000, headers: ['Expect: 100-continue'] })
      const headEnd = request.indexOf('\r\n\r\n') + 4
      caller.write(request.slice(0, 30))
      await waitFor(50)
      const drained = fixture.relay.drain()
      await waitFor(atMs)
      caller.write(request.slice(30, headEnd))
      await waitUntil('the interim answer', () => caller.text.includes('100 Continue') || caller.hasEnded || caller.wasReset)
      caller.write(request.slice(headEnd))
      await caller.waitForEnd()
      expect([countAnswers(), caller.wasReset]).to.deep.equal([1, false])
      caller.close()
      await drained
    })
  }

  it('should be answered to a caller of HTTP/1.0', async () => {
    await start(request => { setTimeout(() => answerWhole(request, BODY), ROTATION_MS) })
    caller.write(buildCallerRequest().replace('HTTP/1.1', 'HTTP/1.0'))
    await waitUntil('the request', () => endpoint.received.length === 1)
    const drained = fixture.relay.drain()
    await caller.waitForEnd()
    expect([caller.text.endsWith(`\r\n\r\n${BODY}`), caller.wasReset]).to.deep.equal([true, false])
    caller.close()
    await drained
  })

  it('should be answered or refused as not run when its body ends late in the stop', async () => {
    await start()
    const request = buildCallerRequest({ method: 'POST', body: BODY, timeoutMs: 9000 })
    caller.write(request.slice(0, -1))
    await waitFor(50)
    const drained = fixture.relay.drain()
    await waitFor(0.8 * 1000 * STOP_SECONDS)
    caller.write(request.slice(-1))
    await caller.waitForEnd()
    expect(caller.text).to.match(/^HTTP\/1.1 (200|503)/)
    caller.close()
    await drained
  })

  // the refusal in place of a half-read head cut the answer before it
  it('should be answered although the head after it times out', async () => {
    await start(request => { setTimeout(() => answerWhole(request, BODY), 2200) })
    caller.write(buildCallerRequest({ timeoutMs: 9000 }) + buildCallerRequest().slice(0, 30))
    await waitUntil('the request', () => endpoint.received.length === 1)
    await caller.waitForEnd()
    expect(caller.text.endsWith(BODY)).to.equal(true)
  })

  it('should be refused readably when its head arrives too slowly', async () => {
    await start()
    caller.write(buildCallerRequest().slice(0, 30))
    const drained = fixture.relay.drain()
    await caller.waitForEnd()
    expect([caller.text.slice(0, 12), caller.wasReset]).to.deep.equal(['HTTP/1.1 400', false])
    caller.close()
    await drained
  })

  // a reset drops what the system has not sent
  it('should be refused readably while its caller still sends a body that is too large', async () => {
    await start()
    const drained = fixture.relay.drain()
    caller.pause()
    caller.write(buildCallerRequest({ method: 'POST', headers: ['Content-Length: 5000000'] }).replace('Content-Length: 0\r\n', ''))
    await caller.writeRepeatedly('y'.repeat(20_000), 20, 20)
    caller.resume()
    await caller.waitForEnd()
    expect([caller.text.slice(0, 12), caller.wasReset]).to.deep.equal(['HTTP/1.1 413', false])
    caller.close()
    await drained
  })

  it('should get an answer without a body whose connection ends in order', async () => {
    await start(({ socket, requestId }) => {
      setTimeout(() => socket.write(`HTTP/1.1 204 No Content\r\nTanagerwick-Runner-Seal: 1.2.3\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\n\r\n`), ROTATION_MS + 100)
    })
    caller.write(buildCallerRequest())
    await waitUntil('the request', () => endpoint.received.length === 1)
    const drained = fixture.relay.drain()
    await caller.waitForEnd()
    expect([caller.text.slice(0, 12), caller.wasReset]).to.deep.equal(['HTTP/1.1 204', false])
    caller.close()
    await drained
  })

  it('should not hold the stop up once it was refused before its body had arrived', async () => {
    await start()
    caller.write(buildCallerRequest({ method: 'POST', headers: ['Content-Length: 200000'] }).replace('Content-Length: 0\r\n', ''))
    await waitUntil('the refusal', () => caller.text.includes('HTTP/1.1 413'))
    caller.write('y'.repeat(200_000))
    await waitFor(200)
    const drained = fixture.relay.drain()
    await caller.waitForEnd()
    caller.close()
    await drained
    expect(fixture.lines.find(({ event }) => event === 'drained')).to.have.property('elapsedMs').that.is.below(0.8 * 1000 * STOP_SECONDS)
  })

  // a reply that waited for the one before it did not learn that its connection had ended
  it('should end with its connection although the one before it on the connection has no answer', async () => {
    await start(() => {})
    caller.write(buildCallerRequest({ id: 'first', timeoutMs: 9000 }) + buildCallerRequest({ id: 'second', timeoutMs: 9000 }))
    await waitUntil('both requests', () => endpoint.received.length === 2)
    caller.destroy()
    await waitUntil('the ends of both', () => fixture.lines.filter(({ event }) => event === 'requestEnded').length === 2)
    await fixture.relay.drain()
    expect(fixture.lines.find(({ event }) => event === 'drained')).to.include({ cutRequests: 0, unwritten: 0 })
  })

  it('should get the rest of its answer although its caller has closed its sending side', async () => {
    await start(request => answerWhole(request, 'b'.repeat(1_500_000)))
    caller.pause()
    caller.write(buildCallerRequest())
    await waitUntil('the request', () => endpoint.received.length === 1)
    await waitFor(200)
    caller.close()
    const drained = fixture.relay.drain()
    await waitFor(200)
    caller.resume()
    await caller.waitForEnd()
    await drained
    expect([caller.text.length > 1_500_000, caller.wasReset]).to.deep.equal([true, false])
  })

  // the end of the input after half a head was not taken for the end of the caller
  it('should be cancelled when its caller closes within the next head', async () => {
    await start(() => {})
    caller.write(buildCallerRequest({ timeoutMs: 9000 }) + buildCallerRequest().slice(0, 30))
    await waitUntil('the request', () => endpoint.received.length === 1)
    caller.close()
    await waitUntil('the end of the request', () => fixture.lines.some(line => line.event === 'requestEnded' && line.end === 'callerLeft'))
  })

  // the end of the stop closed the connection without a word, so its caller could not tell that nothing had run
  it('should be refused as not run when its body has not arrived at the end of the stop', async () => {
    await start()
    const request = buildCallerRequest({ method: 'POST', body: BODY, timeoutMs: 9000 })
    caller.write(request.slice(0, -1))
    await waitFor(50)
    const drained = fixture.relay.drain()
    await caller.waitForEnd()
    caller.write(request.slice(-1))
    await waitFor(100)
    caller.close()
    await drained
    expect([caller.text.slice(0, 12), caller.wasReset]).to.deep.equal(['HTTP/1.1 503', false])
    expect(endpoint.received).to.have.length(0)
    expect(fixture.lines.filter(({ event }) => event === 'requestRefused')).to.have.length(1)
  })

  // the end of an answer that had not announced the close dropped a request that had arrived unread
  it('should be answered when it has arrived as an answer ends that has not announced the close', async () => {
    await start(request => {
      if (request.requestId === 'second') return answerWhole(request, 'two')
      request.socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, 'Tanagerwick-Request-Attempt-Id: first', 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', formatChunk('id: 1\ndata: one\n\n')].join('\r\n'))
    })
    caller.write(buildCallerRequest({ id: 'first', timeoutMs: 9000 }))
    await waitUntil('the beginning of the answer', () => caller.text.includes('data: one'))
    const drained = fixture.relay.drain()
    await waitFor(ROTATION_MS + 200)
    endpoint.received[0]!.socket.write('0\r\n\r\n')
    caller.write(buildCallerRequest({ id: 'second', timeoutMs: 1000 }))
    await caller.waitForEnd()
    expect(caller.text).to.match(/data: one[^]*\r\n\r\ntwo$/)
    caller.close()
    await drained
  })
})
