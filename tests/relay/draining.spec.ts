import net from 'node:net'

import { expect } from 'chai'

import { answerWhole, buildCallerRequest, fetchStatus, sendRaw, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const READY_PATH = '/tanagerwick/ready'

describe('a gateway that is draining', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  async function start (answer: (request: ReceivedRequest) => void, settings: Parameters<typeof startRelay>[2] = {}): Promise<EndpointFixture> {
    const endpoint = await startEndpoint('e-1', answer)
    fixture = await startRelay(undefined, [endpoint], settings)
    return endpoint
  }

  it('should leave the rotation immediately and serve requests that still arrive', async () => {
    await start(request => answerWhole(request))
    const drained = fixture!.relay.drain()
    expect(await fetchStatus(fixture!.readyPort, READY_PATH)).to.equal(503)
    const answer = await sendRaw(fixture!.port, buildCallerRequest())
    expect(answer.text).to.match(/^HTTP\/1\.1 200 [\s\S]*\r\nConnection: close\r\n/)
    await drained
  })

  it('should finish requests in flight and accept no more on their connections', async () => {
    const held: ReceivedRequest[] = []
    const endpoint = await start(request => { held.push(request) })
    const answer = sendRaw(fixture!.port, buildCallerRequest({ id: 'first' }))
    await waitUntil('the first request at the endpoint', () => held.length === 1)
    const drained = fixture!.relay.drain()
    await waitUntil('the gateway to accept nothing', async () => await fetchStatus(fixture!.port, '/') === 0)
    answerWhole(held[0]!, 'late but whole')
    expect(await answer).to.include({ end: 'closed' })
    expect((await answer).text).to.match(/late but whole$/)
    await drained
    expect(endpoint.received).to.have.length(1)
  })

  it('should wait for a request that is still being read when nothing else is in flight', async () => {
    const endpoint = await start(request => answerWhole(request))
    const text = buildCallerRequest({ id: 'slow', method: 'POST', body: 'half of it' })
    const caller = net.connect(fixture!.port, '127.0.0.1')
    let received = ''
    caller.on('data', bytes => { received += bytes.toString() })
    caller.write(text.slice(0, -5))
    // the gateway has read the head once it answers a later connection
    await sendRequest(fixture!, { id: 'other' })
    let isDrained = false
    const drained = fixture!.relay.drain().then(() => { isDrained = true })
    await waitUntil('the gateway to accept nothing', async () => await fetchStatus(fixture!.port, '/') === 0)
    await new Promise(resolve => setTimeout(resolve, 100))
    expect(isDrained).to.equal(false)
    caller.write(text.slice(-5))
    await drained
    await waitUntil('the answer', () => received.startsWith('HTTP/1.1 200'))
    expect(endpoint.received.map(request => request.requestId)).to.include('slow')
    caller.destroy()
  })

  it('should answer every connection that it accepted while callers keep connecting', async () => {
    // all requests that are accepted in this stop end before it, also where the event loop is late
    await start(request => setTimeout(() => answerWhole(request), 20), { stopSeconds: 8 })
    const answers: Array<ReturnType<typeof sendRaw>> = []
    const timer = setInterval(() => { for (let index = 0; index < 5; index++) answers.push(sendRaw(fixture!.port, buildCallerRequest({ id: `r-${answers.length}` }))) }, 5)
    await new Promise(resolve => setTimeout(resolve, 100))
    await fixture!.relay.drain()
    await new Promise(resolve => setTimeout(resolve, 50))
    clearInterval(timer)
    const ended = await Promise.all(answers)
    // callers that connect after the gateway has stopped accepting get no connection; all others get a complete answer
    const unanswered = ended.filter(({ text }) => !/^HTTP\/1\.1 200 [^]*found$/.test(text))
    expect(unanswered.every(({ text, end }) => text === '' && end === 'reset')).to.equal(true)
    const firstRefused = ended.findIndex(({ text }) => text === '')
    expect(ended.slice(firstRefused).every(({ text }) => text === '')).to.equal(true)
    expect(firstRefused).to.be.above(100)
  })

  it('should not exceed the stop time when an endpoint does not answer', async () => {
    const endpoint = await start(() => {})
    sendRequest(fixture!).catch(() => {})
    await waitUntil('the request at the endpoint', () => endpoint.received.length === 1)
    const startedAtMs = performance.now()
    await fixture!.relay.drain()
    expect(performance.now() - startedAtMs).to.be.below(3000)
  })
})
