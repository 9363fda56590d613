import { expect } from 'chai'

import { buildPlatformConfig, buildRoute, formatChunk, isComplete, listEventIds, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay, waitUntil, writeFramed } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

type Kind = 'idempotent' | 'non_idempotent' | 'resumable' | 'streaming'

const KINDS: Kind[] = ['idempotent', 'non_idempotent', 'resumable', 'streaming']
const [EVENT_1, EVENT_2, EVENT_3] = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n']
/** Part of a plain body, and all of it. */
const [PART, BODY] = ['half an ans', 'half an answer and the rest']

// the connections of a process that ends are closed in order, as after a sound answer without framing
describe('an answer that ends with its connection', () => {
  let fixture: RelayFixture | undefined
  let endpoints: EndpointFixture[] = []

  afterEach(async () => {
    await fixture?.close()
    for (const endpoint of endpoints) endpoint.close()
    fixture = undefined
    endpoints = []
  })

  /** Starts a gateway and endpoints that answer requests in the order in which these arrive. */
  async function start (kind: Kind, answers: Array<(request: ReceivedRequest, endpoint: EndpointFixture) => void>): Promise<void> {
    let sends = 0
    const startOne = async (id: string) => {
      const endpoint: EndpointFixture = await startEndpoint(id, request => {
        sends += 1
        answers[Math.min(sends, answers.length) - 1]!(request, endpoint)
      })
      endpoints.push(endpoint)
    }
    for (const id of ['e-1', 'e-2', 'e-3']) await startOne(id)
    const isStream = kind === 'resumable' || kind === 'streaming'
    const route = buildRoute({ kind: isStream ? 'streaming' : kind, resumable: kind === 'resumable', maxAttempts: answers.length })
    fixture = await startRelay(buildPlatformConfig({ routes: [route] }), endpoints, { retryRatio: 2 })
  }

  function countSends (): number {
    return endpoints.reduce((sum, { received }) => sum + received.length, 0)
  }

  it('should not end a chunked stream as complete where the endpoint that goes on with it crashes', async () => {
    await start('resumable', [sendBrokenStream, (request, endpoint) => sendThenCrash(request, endpoint, ['Content-Type: text/event-stream'], EVENT_2)])
    const reply = await sendRequest(fixture!)
    expect(reply.text).to.include(EVENT_1).and.to.include(EVENT_2)
    expect(countSends()).to.equal(2)
    expect(isComplete(reply)).to.equal(false)
  })

  it('should go on at a third endpoint after the last event of the one that crashed', async () => {
    await start('resumable', [sendBrokenStream, (request, endpoint) => sendThenCrash(request, endpoint, ['Content-Type: text/event-stream'], EVENT_2), request => answerUnframed(request, ['Content-Type: text/event-stream'], EVENT_3)])
    const reply = await sendRequest(fixture!)
    expect(listEventIds(reply.text)).to.deep.equal([1, 2, 3])
    expect(endpoints.flatMap(({ received }) => received).filter(({ text }) => text.includes('Last-Event-Id: 2'))).to.have.length(1)
    expect(isComplete(reply)).to.equal(true)
  })

  for (const kind of ['resumable', 'streaming'] as const) {
    it(`should not look complete where the endpoint of a stream crashes between two events (${kind})`, async () => {
      await start(kind, [(request, endpoint) => sendThenCrash(request, endpoint, ['Content-Type: text/event-stream'], EVENT_1)])
      const reply = await sendRequest(fixture!)
      expect(reply.text).to.include(EVENT_1)
      expect(isComplete(reply)).to.equal(false)
    })
  }

  it('should be sent again where a plain answer is cut by a crash and the request may run twice', async () => {
    await start('idempotent', [(request, endpoint) => sendThenCrash(request, endpoint, [], PART), request => answerUnframed(request, [], BODY)])
    const reply = await sendRequest(fixture!)
    expect(reply.text).to.match(/^HTTP\/1\.1 200 /).and.to.include(BODY)
    expect(countSends()).to.equal(2)
  })

  it('should be 502 where a plain answer is cut by a crash and the request may not run twice', async () => {
    await start('non_idempotent', [(request, endpoint) => sendThenCrash(request, endpoint, [], PART), request => answerUnframed(request, [], BODY)])
    const reply = await sendRequest(fixture!, { method: 'POST', body: 'order' })
    expect(reply.text).to.match(/^HTTP\/1\.1 502 /).and.not.to.include(PART)
    expect(countSends()).to.equal(1)
  })

  for (const kind of KINDS) {
    it(`should be passed on once and as whole where its endpoint lives (${kind})`, async () => {
      const isStream = kind === 'resumable' || kind === 'streaming'
      const answer = (request: ReceivedRequest) => answerUnframed(request, isStream ? ['Content-Type: text/event-stream'] : [], isStream ? EVENT_1 + EVENT_2 : BODY)
      await start(kind, [answer, answer])
      const requests = 20
      const replies = await Promise.all(Array.from({ length: requests }, async (_, index) => await sendRequest(fixture!, { id: `a-${index}`, method: 'POST', body: 'order' })))
      for (const reply of replies) {
        expect(reply.text).to.match(/^HTTP\/1\.1 200 /).and.to.include(isStream ? EVENT_2 : BODY)
        expect(isComplete(reply)).to.equal(true)
      }
      expect(countSends()).to.equal(requests)
    })
  }

  it('should be whole where an endpoint that leaves stops listening before its last plain answer, which may not run twice', async () => {
    await start('non_idempotent', [(request, endpoint) => {
      endpoint.stopListening()
      answerUnframed(request, ['Server-Leaving: 1'], BODY)
    }])
    const reply = await sendRequest(fixture!, { method: 'POST', body: 'order' })
    expect(reply.text).to.match(/^HTTP\/1\.1 200 /).and.to.include(BODY)
  })

  it('should leave a log line with what was known and decided', async () => {
    await start('non_idempotent', [(request, endpoint) => sendThenCrash(request, endpoint, [], PART)])
    await sendRequest(fixture!, { method: 'POST', body: 'order' })
    await waitUntil('the line', () => fixture!.lines.some(line => line.event === 'answerEndDecided'))
    expect(fixture!.lines.find(line => line.event === 'answerEndDecided')).to.include({ requestId: 'a-1', presence: 'refused', isLeaving: false, isStream: false, verdict: 'cut' })
  })
})

function buildHead ({ requestId }: ReceivedRequest, headers: string[]): string[] {
  return ['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, ...headers]
}

/** Sends a whole answer without framing. */
function answerUnframed (request: ReceivedRequest, headers: string[], body: string): void {
  writeFramed(request, buildHead(request, headers), 'connectionEnd', body)
}

/** Sends a part of an answer without framing; then the endpoint ends, and with it its connections. */
function sendThenCrash (request: ReceivedRequest, endpoint: EndpointFixture, headers: string[], text: string): void {
  request.socket.write([...buildHead(request, headers), '', text].join('\r\n'), () => endpoint.close())
}

/** Sends the first event of a chunked stream and closes the connection. */
function sendBrokenStream (request: ReceivedRequest): void {
  request.socket.end([...buildHead(request, ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']), '', formatChunk(EVENT_1)].join('\r\n'))
}
