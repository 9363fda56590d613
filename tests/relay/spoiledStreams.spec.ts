import { expect } from 'chai'

import { buildPlatformConfig, buildRoute, formatChunk, isComplete, listEventIds, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const EVENTS = 6
/** Over the size limit of an event. */
const HUGE = 'x'.repeat(1_200_000)

/** What comes behind sound events in the same write. */
const SPOILS: Record<string, string> = {
  'the last event again': formatEvent(3),
  'an earlier event': formatEvent(1),
  'an earlier event and the rest': formatEvent(2) + formatEvent(4),
  'an event with the same id twice': 'id: 3\nid: 3\ndata: x\n\n',
  'half an event': 'id: 4\nda',
  'foreign bytes': 'HTTP/1.1 500 Internal Server Error',
  'an event without end': `id: 4\ndata: ${HUGE}`
}

// sound events that come in one write with a bad one reach the caller, or are asked for again, exactly once
describe('a stream whose endpoint sends sound events and bad bytes in one write', () => {
  let fixture: RelayFixture
  let endpoints: EndpointFixture[]

  afterEach(async () => {
    await fixture.close()
  })

  /** Starts a gateway and two endpoints, of which the first that is asked spoils its stream; the other one sends `comment` before its events. */
  async function start (spoil: (request: ReceivedRequest) => void, comment = ''): Promise<void> {
    let sends = 0
    const answer = (request: ReceivedRequest) => {
      sends += 1
      if (sends === 1) return spoil(request)
      const after = Number(/last-event-id: (\d+)/i.exec(request.text)?.[1] ?? 0)
      const rest = Array.from({ length: EVENTS - after }, (_, index) => formatChunk(formatEvent(after + 1 + index)))
      writeStream(request, [...comment === '' ? [] : [formatChunk(comment)], ...rest, '0\r\n\r\n'])
    }
    endpoints = [await startEndpoint('e-1', answer), await startEndpoint('e-2', answer)]
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', resumable: true, maxAttempts: 2 })] }), endpoints)
  }

  for (const [name, bytes] of Object.entries(SPOILS)) {
    for (const soundBefore of [0, 1]) {
      it(`should reach the caller whole (${name}, ${soundBefore === 0 ? 'in the first write' : 'after another write'})`, async () => {
        await start(request => {
          const sound = [1, 2, 3].map(formatEvent)
          writeStream(request, soundBefore === 0 ? [] : [formatChunk(sound[0]!)])
          const spoiled = `${sound.slice(soundBefore).join('')}${bytes}`
          setTimeout(() => request.socket.end(formatChunk(spoiled)), 10)
        })
        const reply = await sendRequest(fixture)
        expect(listEventIds(reply.text)).to.deep.equal([1, 2, 3, 4, 5, 6])
        expect(isComplete(reply)).to.equal(true)
        expect(endpoints.flatMap(({ received }) => received)).to.have.length(2)
      })
    }
  }

  it('should go on where the endpoint that continues it sends a comment first', async () => {
    await start(request => {
      writeStream(request, [formatChunk(formatEvent(1))])
      setTimeout(() => request.socket.destroy(), 10)
    }, ': still reading\n\n')
    const reply = await sendRequest(fixture)
    expect(listEventIds(reply.text)).to.deep.equal([1, 2, 3, 4, 5, 6])
    expect(isComplete(reply)).to.equal(true)
  })
})

function formatEvent (id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`
}

function writeStream ({ socket, requestId }: ReceivedRequest, chunks: string[]): void {
  socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', chunks.join('')].join('\r\n'))
}
