import net from 'node:net'

import { expect } from 'chai'

import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, formatChunk, refuseRequest, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

/** How a request reaches a gateway that stops. */
type Arrival = 'newConnection' | 'keptConnection' | 'slowUpload' | 'queued' | 'retried'

const ARRIVALS: Arrival[] = ['newConnection', 'keptConnection', 'slowUpload', 'queued', 'retried']
const KINDS = ['idempotent', 'non_idempotent', 'streaming']
const STOP_SECONDS = 3
/** Time limit of the callers, longer than the whole stop. */
const LIMIT_MS = 6000
/** Time that an endpoint takes. */
const ANSWER_MS = 1500
/** Milliseconds after the signal at which a late request is complete. */
const LATE_MS = 2000

/** One caller on a connection of its own. */
class LateCaller {
  readonly #socket: net.Socket
  text = ''
  hasEnded = false

  constructor (port: number) {
    this.#socket = net.connect(port, '127.0.0.1')
    this.#socket.on('data', bytes => { this.text += bytes.toString('latin1') })
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => { this.hasEnded = true })
  }

  write (text: string): void {
    this.#socket.write(text)
  }

  destroy (): void {
    this.#socket.destroy()
  }

  /** Returns the last answer; an empty text when there is none after the first `skip` answers. */
  readAnswer (skip = 0): string {
    return this.text.split(/(?=HTTP\/1\.1 \d)/)[skip] ?? ''
  }
}

describe('requests that come late in a planned stop', () => {
  let fixture: RelayFixture
  let endpoints: EndpointFixture[]
  let caller: LateCaller

  afterEach(async () => {
    caller.destroy()
    await fixture.close()
    for (const endpoint of endpoints) endpoint.close()
  })

  async function start (kind: string, arrival: Arrival): Promise<void> {
    const answer = (request: ReceivedRequest) => {
      if (request.requestId.startsWith('first')) return answerWhole(request)
      if (request.requestId.startsWith('held')) return
      const isRefused = arrival === 'retried' && countSends(request.requestId) === 1
      setTimeout(() => isRefused ? refuseRequest(request) : writeAnswer(request, kind), isRefused ? LATE_MS - 200 : ANSWER_MS)
    }
    endpoints = await Promise.all((arrival === 'retried' ? ['e-1', 'e-2'] : ['e-1']).map(async id => await startEndpoint(id, answer)))
    const config = buildPlatformConfig({
      routes: [buildRoute({ kind, resumable: true, timeoutMs: LIMIT_MS, targetLatencyMs: 300 })],
      services: [{ name: 'archive', healthPath: '/health', maxConnections: arrival === 'queued' ? 1 : 100 }]
    })
    fixture = await startRelay(config, endpoints, { stopSeconds: STOP_SECONDS })
  }

  function countSends (requestId: string): number {
    return endpoints.flatMap(({ received }) => received).filter(request => request.requestId === requestId).length
  }

  /** Sends a request so that it could be sent to an endpoint `LATE_MS` after the signal. Resolves once the gateway has stopped. */
  async function playStop (arrival: Arrival): Promise<void> {
    const text = buildCallerRequest({ id: 'late', method: 'POST', body: 'what it holds', timeoutMs: LIMIT_MS })
    caller = new LateCaller(fixture.port)
    const holder = new LateCaller(fixture.port)
    if (arrival === 'keptConnection') {
      caller.write(buildCallerRequest({ id: 'first' }))
      await waitUntil('the first answer', () => caller.text.includes('found'))
    }
    if (arrival === 'slowUpload') caller.write(text.slice(0, -5))
    if (arrival === 'queued') {
      holder.write(buildCallerRequest({ id: 'held', timeoutMs: LIMIT_MS }))
      await waitUntil('the endpoint to be full', () => countSends('held') === 1)
      caller.write(text)
    }
    if (arrival === 'retried') caller.write(text)
    await new Promise(resolve => setTimeout(resolve, 50))
    const drained = fixture.relay.drain()
    if (arrival === 'queued') setTimeout(() => answerWhole(endpoints[0]!.received[0]!), LATE_MS)
    if (arrival === 'slowUpload') setTimeout(() => caller.write(text.slice(-5)), LATE_MS)
    // new connections end with the rotation, and kept ones are closed with them
    if (arrival === 'newConnection' || arrival === 'keptConnection') setTimeout(() => caller.write(text), arrival === 'newConnection' ? 900 : 950)
    await drained
    await new Promise(resolve => setTimeout(resolve, 30))
    holder.destroy()
  }

  for (const arrival of ARRIVALS) {
    for (const kind of KINDS) {
      it(`should have an answer that is true before the process ends (${arrival}, ${kind})`, async () => {
        await start(kind, arrival)
        await playStop(arrival)
        const reply = caller.readAnswer(arrival === 'keptConnection' ? 1 : 0)
        const sends = countSends('late')
        if (arrival === 'keptConnection' && reply === '') {
          // the connection was closed before the request was read
          expect([sends, caller.hasEnded]).to.deep.equal([0, true])
          return
        }
        if (/^HTTP\/1.1 503 /.test(reply)) {
          expect(sends).to.equal(arrival === 'retried' ? 1 : 0)
          expect(reply).to.match(/\r\nretry-after: /i)
          return
        }
        expect(reply, `after ${sends} sends`).to.match(/^HTTP\/1.1 200 [^]*(found|0\r\n\r\n)$/)
      })
    }
  }

  it('should be passed on where their time limit ends before the process does', async () => {
    await start('non_idempotent', 'slowUpload')
    caller = new LateCaller(fixture.port)
    const text = buildCallerRequest({ id: 'short', method: 'POST', body: 'what it holds', timeoutMs: 1600 })
    await new Promise(resolve => setTimeout(resolve, 20))
    const drained = fixture.relay.drain()
    setTimeout(() => caller.write(text), 700)
    await drained
    // the stop may end in the turn of the event loop in which the answer was written, before the caller reads it
    await waitUntil('the end of the connection', () => caller.hasEnded)
    expect(countSends('short')).to.equal(1)
    expect(caller.readAnswer()).to.match(/^HTTP\/1.1 200 /)
  })

  it('should be refused soon, and not only when the process ends', async () => {
    await start('non_idempotent', 'queued')
    const startedAtMs = performance.now()
    let refusedAtMs = 0
    const poll = setInterval(() => { if (refusedAtMs === 0 && caller?.text.includes('503')) refusedAtMs = performance.now() }, 10)
    await playStop('queued')
    clearInterval(poll)
    expect(refusedAtMs - startedAtMs).to.be.within(1, 1500)
  })
})

function writeAnswer (request: ReceivedRequest, kind: string): void {
  if (kind !== 'streaming') return answerWhole(request)
  request.socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${request.requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', `${formatChunk('id: 1\ndata: a\n\n')}0\r\n\r\n`].join('\r\n'))
}
