import { expect } from 'chai'

import { PacedCaller } from '../fixtures/pacedCaller'
import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, formatChunk, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const STOP_SECONDS = 3
/** Milliseconds after the signal at which nothing is accepted any more. */
const ROTATION_MS = 1000
/** Milliseconds after the signal at which the platform kills the process. */
const KILL_MS = 1000 * STOP_SECONDS
/** More than the system holds for a caller that does not read. */
const LARGE_BODY = 'b'.repeat(6_000_000)

async function waitFor (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

describe('a planned stop while callers read slowly', () => {
  let fixture: RelayFixture
  let endpoint: EndpointFixture
  let caller: PacedCaller

  afterEach(async () => {
    caller.destroy()
    await fixture.close()
  })

  async function start (answer: (request: ReceivedRequest) => void): Promise<void> {
    endpoint = await startEndpoint('e-1', answer)
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ timeoutMs: 9000 })] }), [endpoint], { stopSeconds: STOP_SECONDS })
    caller = new PacedCaller(fixture.port)
  }

  async function waitForSends (count: number): Promise<void> {
    await waitUntil('the endpoint to receive the requests', () => endpoint.received.length === count)
  }

  /** Returns whether the text ends with the whole body, and says how much of it came. */
  function describeBody (text: string, body: string): string {
    const received = text.slice(text.lastIndexOf('\r\n\r\n') + 4)
    return received === body ? 'whole' : `${received.length} of ${body.length} bytes`
  }

  // the end of accepting closed connections whose replies had ended here but were not yet written
  it('should not close a connection whose answer is ended but not yet written', async () => {
    await start(request => answerWhole(request, LARGE_BODY))
    caller.pause()
    caller.write(buildCallerRequest())
    await waitForSends(1)
    await waitFor(200)
    const drained = fixture.relay.drain()
    await waitFor(ROTATION_MS + 300)
    caller.resume()
    await waitUntil('the end of the connection', () => caller.hasEnded || caller.wasReset)
    expect(describeBody(caller.text, LARGE_BODY)).to.equal('whole')
    caller.close()
    await drained
  })

  // the process ended once its replies had left it, whoever had them
  it('should not end the process before the caller has closed the connection of its answer', async () => {
    await start(request => setTimeout(() => answerWhole(request, 'b'.repeat(20_000)), ROTATION_MS + 100))
    caller.write(buildCallerRequest())
    await waitForSends(1)
    caller.pause()
    let hasDrained = false
    const drained = fixture.relay.drain().then(() => { hasDrained = true })
    await waitFor(ROTATION_MS + 800)
    expect(hasDrained, 'drained while the caller had not read its answer').to.equal(false)
    caller.resume()
    await waitUntil('the end of the connection', () => caller.hasEnded || caller.wasReset)
    caller.close()
    const closedAtMs = performance.now()
    await drained
    expect(performance.now() - closedAtMs).to.be.below(200)
    expect(describeBody(caller.text, 'b'.repeat(20_000))).to.equal('whole')
  })

  it('should end the process before the platform kills it, whatever its callers do', async () => {
    await start(request => answerWhole(request, LARGE_BODY))
    caller.pause()
    caller.write(buildCallerRequest())
    await waitForSends(1)
    const startedAtMs = performance.now()
    await fixture.relay.drain()
    expect(performance.now() - startedAtMs).to.be.within(0.8 * KILL_MS, KILL_MS - 250)
    expect(fixture.lines).to.deep.include.members([{ ...fixture.lines.find(({ event }) => event === 'replyNotWhole'), requestId: 'a-1', stage: 'delivering', endedBy: 'stop' }])
  })

  // a close with unread input resets the connection, and the system drops what it has not sent
  it('should deliver an answer although the caller has sent more than its request', async () => {
    await start(request => answerWhole(request, 'b'.repeat(1_500_000)))
    caller.pause()
    const drained = fixture.relay.drain()
    caller.write(buildCallerRequest())
    await waitForSends(1)
    await waitFor(100)
    for (let count = 0; count < 5; count++) {
      caller.write(buildCallerRequest({ id: `next-${count}` }))
      await waitFor(50)
    }
    caller.resume()
    await waitUntil('the end of the connection', () => caller.hasEnded || caller.wasReset)
    expect([describeBody(caller.text, 'b'.repeat(1_500_000)), caller.wasReset]).to.deep.equal(['whole', false])
    expect(endpoint.received).to.have.length(1)
    caller.close()
    await drained
  })

  // the end of the first answer closed the connection although a second request had been read
  it('should answer each request that was read on a connection', async () => {
    const held: ReceivedRequest[] = []
    await start(request => { held.push(request) })
    caller.write(buildCallerRequest({ id: 'first' }) + buildCallerRequest({ id: 'second' }))
    await waitForSends(2)
    const drained = fixture.relay.drain()
    await waitFor(ROTATION_MS + 100)
    answerWhole(held[0]!, 'one')
    await waitFor(100)
    answerWhole(held[1]!, 'two')
    await waitUntil('the end of the connection', () => caller.hasEnded || caller.wasReset)
    expect(caller.text).to.match(/one[^]*two$/)
    caller.close()
    await drained
  })

  it('should finish reading a request whose head has begun to arrive', async () => {
    await start(request => answerWhole(request))
    caller.write(buildCallerRequest({ id: 'first' }))
    await waitUntil('the first answer', () => caller.text.includes('found'))
    // ends before the stop does, also where the event loop is late
    const text = buildCallerRequest({ id: 'second', timeoutMs: 1000 })
    caller.write(text.slice(0, 20))
    await waitFor(50)
    const drained = fixture.relay.drain()
    await waitFor(ROTATION_MS + 50)
    caller.write(text.slice(20))
    await waitUntil('the end of the connection', () => caller.hasEnded || caller.wasReset)
    expect(caller.text.match(/found/g)).to.have.length(2)
    caller.close()
    await drained
  })

  // an answer written before the signal was cut once its connection was idle
  it('should deliver an answer that was written just before the signal, although the caller has sent more', async () => {
    const body = 'b'.repeat(1_500_000)
    await start(request => answerWhole(request, body))
    caller.pause()
    caller.write(buildCallerRequest({ id: 'first' }))
    await waitForSends(1)
    await waitFor(200)
    const drained = fixture.relay.drain()
    await waitFor(ROTATION_MS + 1400)
    caller.write(buildCallerRequest({ id: 'second' }))
    await waitFor(100)
    caller.resume()
    await waitUntil('the end of the connection', () => caller.hasEnded || caller.wasReset)
    expect([describeBody(caller.text, body), caller.wasReset]).to.deep.equal(['whole', false])
    caller.close()
    await drained
  })

  // an answer cut by the end of the stop left no line
  it('should log each answer that the end of the stop cuts, with its endpoint', async () => {
    await start(request => {
      request.socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, 'Tanagerwick-Request-Attempt-Id: a-1', 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', formatChunk('id: 1\ndata: one\n\n')].join('\r\n'))
    })
    caller.write(buildCallerRequest({ timeoutMs: 9000 }))
    await waitUntil('the first event', () => caller.text.includes('one'))
    await fixture.relay.drain()
    const cut = fixture.lines.find(({ event }) => event === 'replyNotWhole')
    expect(cut).to.include({ requestId: 'a-1', stage: 'answering', endpoint: 'e-1', endedBy: 'stop' })
    expect(cut).to.have.property('stopAgeMs').that.is.within(0.85 * KILL_MS, KILL_MS)
  })
})
