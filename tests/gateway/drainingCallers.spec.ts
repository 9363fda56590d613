import { setTimeout as waitFor } from 'node:timers/promises'

import { expect } from 'chai'

import { Progress } from '../../src/base/progress'
import { PacedCaller } from '../fixtures/pacedCaller'
import { waitUntil } from '../relay/relayFixture'
import { createChatBody, KEY_A, startServer } from './callerFixtures'

import type { RelayHandler, ServerFixture } from './callerFixtures'
import type { CallerAnswer } from '../../src/gateway/callerAnswer'

/** More than the system holds for a caller that does not read. */
const LARGE_TEXT = 'b'.repeat(6_000_000)
/** Less than the system holds, but more than it sends at once. */
const HELD_TEXT = 'b'.repeat(1_500_000)
const DRAIN_TIMEOUT_MS = 10_000
const STATE_REQUEST = 'GET /state HTTP/1.1\r\nhost: x\r\n\r\n'

describe('a gateway that drains while callers still read', () => {
  let fixture: ServerFixture
  let caller: PacedCaller

  async function start (handler: RelayHandler, limits: NonNullable<Parameters<typeof startServer>[1]>['limits'] = {}): Promise<void> {
    const handlers = { '/state': (_request: unknown, response: { end: (text: string) => void }) => response.end(LARGE_TEXT) }
    fixture = await startServer(handler, { handlers, limits })
    caller = new PacedCaller(fixture.port)
  }

  afterEach(() => {
    caller.destroy()
    fixture.server.close()
  })

  async function drain (): Promise<void> {
    await fixture.server.drain(new Progress({ title: 'draining', timeoutMs: DRAIN_TIMEOUT_MS }))
  }

  // the end of the server closed connections whose replies had ended here but were not yet written
  it('should not close a connection whose answer is ended but not yet written', async () => {
    await start(() => {})
    caller.pause()
    caller.write(STATE_REQUEST)
    await waitFor(200)
    const drained = drain()
    await waitFor(200)
    caller.resume()
    await caller.waitForEnd()
    expect(caller.text.length).to.be.above(LARGE_TEXT.length)
    caller.close()
    await drained
  })

  // the process ended once its replies had left it, whoever had them
  it('should not end before the caller has closed the connection of its answer', async () => {
    await start(async (_request, answer) => {
      await waitFor(200)
      answerText(answer, HELD_TEXT)
    })
    caller.pause()
    caller.write(buildChatRequest())
    await waitUntil('the request', () => fixture.relayed.length === 1)
    let hasDrained = false
    const drained = drain().then(() => { hasDrained = true })
    await waitFor(600)
    expect(hasDrained, 'drained while the caller had not read its answer').to.equal(false)
    caller.resume()
    await caller.waitForEnd()
    caller.close()
    await drained
    expect(caller.text.length).to.be.above(HELD_TEXT.length)
  })

  // a close with unread input resets the connection, and the system drops what it has not sent
  it('should deliver an answer although the caller has sent more than its request', async () => {
    await start(async (_request, answer) => {
      await waitFor(200)
      answerText(answer, HELD_TEXT)
    })
    caller.pause()
    caller.write(buildChatRequest())
    await waitUntil('the request', () => fixture.relayed.length === 1)
    const drained = drain()
    await caller.writeRepeatedly(STATE_REQUEST.slice(0, 10), 10, 50)
    caller.resume()
    await caller.waitForEnd()
    expect([caller.text.length > HELD_TEXT.length, caller.wasReset]).to.deep.equal([true, false])
    caller.close()
    await drained
  })

  // the end of the first answer closed the connection although a second request had been read
  it('should answer each request that was read on a connection', async () => {
    await start(async (_request, answer) => {
      await waitFor(200)
      answerText(answer, 'whole')
    })
    caller.write(buildChatRequest() + buildChatRequest())
    await waitUntil('both requests', () => fixture.relayed.length === 2)
    const drained = drain()
    await caller.waitForEnd()
    expect(caller.text.match(/"whole"/g)).to.have.length(2)
    caller.close()
    await drained
  })

  it('should answer a request whose head has begun to arrive', async () => {
    await start(() => {})
    const request = buildChatRequest()
    caller.write(request.slice(0, 20))
    await waitFor(100)
    let hasDrained = false
    const drained = drain().then(() => { hasDrained = true })
    await waitFor(400)
    expect(hasDrained, 'drained while a head was half read').to.equal(false)
    caller.write(request.slice(20))
    await caller.waitForEnd()
    expect(caller.text).to.match(/^HTTP\/1.1 503 [^]*"draining"/)
    caller.close()
    await drained
  })

  it('should end although a caller neither sends the rest of its head nor closes', async () => {
    await start(() => {}, { headerTimeoutMs: 60_000, requestTimeoutMs: 60_000, deliveryTimeoutMs: 500 })
    caller.write('POST /v1/chat')
    await waitFor(50)
    await drain()
  })

  // bytes after a whole request were answered in place of the request, or cut its answer
  it('should deliver an answer although the bytes after its request are none', async () => {
    await start(async (_request, answer) => {
      await waitFor(200)
      answerText(answer, 'whole')
    })
    caller.write(`${buildChatRequest()}these bytes are no request\r\n\r\n`)
    await caller.waitForEnd()
    expect(caller.text).to.match(/^HTTP\/1.1 200 [^]*"whole"/)
  })

  it('should let a caller read its refusal that still sends a header', async () => {
    await start(() => {})
    caller.pause()
    caller.write('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nx-large: ')
    await caller.writeRepeatedly('y'.repeat(20_000), 10, 20)
    caller.resume()
    await caller.waitForEnd()
    expect([caller.text.slice(0, 12), caller.wasReset]).to.deep.equal(['HTTP/1.1 431', false])
  })

  // a reply that waited for the one before it did not learn that its connection had ended, and held the drain up
  it('should not wait for a second request on a connection that has ended', async () => {
    const signals: AbortSignal[] = []
    await start(async (_request, answer) => {
      signals.push(answer.signal)
      await new Promise(resolve => answer.signal.addEventListener('abort', resolve))
    })
    caller.write(buildChatRequest() + buildChatRequest())
    await waitUntil('both requests', () => signals.length === 2)
    caller.destroy()
    await drain()
    expect(signals.map(({ aborted }) => aborted)).to.deep.equal([true, true])
  })
})

function buildChatRequest (): string {
  const body = createChatBody()
  return `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY_A}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
}

function answerText (answer: CallerAnswer, text: string): void {
  answer.writeText(text)
  answer.complete({ status: 200, contentType: '' })
}
