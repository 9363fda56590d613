import { expect } from 'chai'

import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, formatChunk, isComplete, listEventIds, sendRaw, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay } from './relayFixture'

import type { EndpointFixture, RawAnswer, ReceivedRequest, RelayFixture } from './relayFixture'

type Kind = 'resumable' | 'idempotent'

interface SilentCase {
  kind: Kind
  /** Requests that are sent to the same endpoint at once. */
  requests: number
  /** Whether the endpoint falls silent behind the first event; otherwise before its answer. */
  hasBegun: boolean
}

const CASES: Record<string, SilentCase> = {
  'a stream pauses between two events': { kind: 'resumable', requests: 1, hasBegun: true },
  'two streams of one endpoint pause': { kind: 'resumable', requests: 2, hasBegun: true },
  'a stream has a long wait for its first event': { kind: 'resumable', requests: 1, hasBegun: false },
  'two streams of one endpoint have a long wait': { kind: 'resumable', requests: 2, hasBegun: false },
  'an idempotent request has a slow answer': { kind: 'idempotent', requests: 1, hasBegun: false }
}

/** Id of the request that spends the retries. */
const SPENDER = 'spender'
const STOP_SECONDS = 5
/** Longer than the whole stop, so that nothing is sent any more after the first part of the stop. */
const TIME_LIMIT_MS = 8000
/** Milliseconds from the signal at which requests are sent, and at which their endpoint goes on: over two seconds of silence, most of it after that part. */
const SENT_AFTER_MS = 1400
const ANSWERED_AFTER_MS = 4000

// an endpoint's silence is a reason to ask another one, and not to end an answer that none other may give
describe('an endpoint that is silent for a while', () => {
  let fixture: RelayFixture
  let endpoints: EndpointFixture[]

  afterEach(async () => {
    await fixture.close()
    for (const endpoint of endpoints) endpoint.close()
  })

  /** Starts a gateway and two endpoints, of which the first one that is asked gets all requests and answers when `answerHeld` is called. */
  async function start ({ kind, hasBegun }: SilentCase, retryRatio: number): Promise<{ answerHeld: () => void }> {
    const held: ReceivedRequest[] = []
    const spend = createSpender()
    const answer = (request: ReceivedRequest) => {
      if (request.requestId === SPENDER) return spend(request)
      held.push(request)
      if (hasBegun) writeEvents(request, [1])
    }
    endpoints = [await startEndpoint('e-1', answer), await startEndpoint('e-2', answer)]
    const route = buildRoute({ kind: kind === 'resumable' ? 'streaming' : kind, resumable: kind === 'resumable', targetLatencyMs: 800, targetGapMs: 100, timeoutMs: TIME_LIMIT_MS })
    fixture = await startRelay(buildPlatformConfig({ routes: [route] }), endpoints, { stopSeconds: STOP_SECONDS, retryRatio })
    const answerHeld = () => {
      for (const request of held) {
        if (kind === 'idempotent') answerWhole(request)
        else if (hasBegun) request.socket.write(`${formatEvents([2])}0\r\n\r\n`)
        else writeEvents(request, [1, 2], '0\r\n\r\n')
      }
    }
    return { answerHeld }
  }

  async function sendAll ({ requests, kind }: SilentCase): Promise<RawAnswer[]> {
    return await Promise.all(Array.from({ length: requests }, async (_, index) => await sendRaw(fixture.port, buildCallerRequest({
      id: `a-${index}`, method: 'POST', body: 'question', timeoutMs: TIME_LIMIT_MS, headers: ['Connection: close', ...kind === 'resumable' ? ['Tanagerwick-Prompt-Prefix: ab:900,cd:1'] : []]
    }))))
  }

  function expectWhole (replies: RawAnswer[], { kind }: SilentCase): void {
    for (const reply of replies) {
      expect(reply.text).to.match(/^HTTP\/1\.1 200 /)
      expect(isComplete(reply)).to.equal(true)
      if (kind === 'resumable') expect(listEventIds(reply.text)).to.deep.equal([1, 2])
    }
  }

  for (const [name, silentCase] of Object.entries(CASES)) {
    it(`should have its answers awaited late in a planned stop, where nothing is sent again (${name})`, async () => {
      const { answerHeld } = await start(silentCase, 2)
      const drained = fixture.relay.drain()
      await new Promise(resolve => setTimeout(resolve, SENT_AFTER_MS))
      const replies = sendAll(silentCase)
      setTimeout(answerHeld, ANSWERED_AFTER_MS - SENT_AFTER_MS)
      expectWhole(await replies, silentCase)
      await drained
    })

    it(`should have its answers awaited early in a planned stop, where the budget for retries is spent (${name})`, async () => {
      const { answerHeld } = await start(silentCase, 0)
      await useRetries()
      const drained = fixture.relay.drain()
      const replies = sendAll(silentCase)
      setTimeout(answerHeld, 3000)
      expectWhole(await replies, silentCase)
      await drained
    })
  }

  it('should have a late answer awaited where the budget for retries is spent', async () => {
    const late: SilentCase = { kind: 'idempotent', requests: 2, hasBegun: false }
    const { answerHeld } = await start(late, 0)
    await useRetries()
    const replies = sendAll(late)
    setTimeout(answerHeld, 3000)
    expectWhole(await replies, late)
  })

  async function useRetries (): Promise<void> {
    expect((await sendRequest(fixture, { id: SPENDER, method: 'POST' })).text).to.match(/^HTTP\/1\.1 200 /)
  }
})

/** Breaks the first attempt of a request off and answers the second one, which uses up the retries of a gateway without other requests. */
function createSpender (): (request: ReceivedRequest) => void {
  let sends = 0
  return request => {
    sends += 1
    if (sends === 1) request.socket.resetAndDestroy()
    else answerWhole(request)
  }
}

function formatEvents (ids: number[]): string {
  return ids.map(id => formatChunk(`id: ${id}\ndata: ${id}\n\n`)).join('')
}

function writeEvents ({ socket, requestId }: ReceivedRequest, ids: number[], end = ''): void {
  socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', formatEvents(ids) + end].join('\r\n'))
}
