import { expect } from 'chai'

import { buildPlatformConfig, buildRoute, formatChunk, isComplete, listEventIds, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay, writeFramed } from './relayFixture'

import type { EndpointFixture, RawAnswer, ReceivedRequest, RelayFixture } from './relayFixture'

type LineEnd = '\n' | '\r\n' | '\r'
type Kind = 'resumable' | 'streaming'

const KINDS: Kind[] = ['resumable', 'streaming']
const [EVENT_1, EVENT_2, EVENT_3] = [1, 2, 3].map(id => formatEvent(id)) as [string, string, string]

/** Writes an answer whose framing is complete and whose stream is not: the second event is cut. */
const CUTS: Record<string, (request: ReceivedRequest) => void> = {
  'half an event, in chunks': request => writeChunks(request, [EVENT_1, 'id: 2\nda']),
  'half an event, split over chunks': request => writeChunks(request, [EVENT_1, 'id: 2', '\ndata:', ' x']),
  'half an event in one chunk with a whole one': request => writeChunks(request, [`${EVENT_1}id: 2\nda`]),
  'the last event without its empty line': request => writeChunks(request, [EVENT_1, 'id: 2\ndata: 2\n']),
  'the last event without its empty line (CRLF)': request => writeChunks(request, [formatEvent(1, '\r\n'), 'id: 2\r\ndata: 2\r\n']),
  'the last event without its empty line (CR)': request => writeChunks(request, [formatEvent(1, '\r'), 'id: 2\rdata: 2\r']),
  'half an event, with a length': request => writeFramed(request, buildStreamHead(request), 'length', `${EVENT_1}id: 2\nda`),
  'half an event and trailers': request => request.socket.write([...buildStreamHead(request), 'Transfer-Encoding: chunked', 'Trailer: Checksum', '', `${formatChunk(`${EVENT_1}id: 2\nda`)}0\r\nChecksum: 1\r\n\r\n`].join('\r\n')),
  'half an event behind a comment': request => writeChunks(request, [EVENT_1, ': comment\nid: 2\nda'])
}

/** Bodies of two whole events. */
const WHOLE: Record<string, string[]> = {
  'events with LF': [EVENT_1, EVENT_2],
  'events with CRLF': [formatEvent(1, '\r\n'), formatEvent(2, '\r\n')],
  'events with CR': [formatEvent(1, '\r'), formatEvent(2, '\r')],
  'an end split between CR and LF': [formatEvent(1, '\r\n'), formatEvent(2, '\r\n').slice(0, -1), '\n'],
  'an end split before its last CR LF': [formatEvent(1, '\r\n'), formatEvent(2, '\r\n').slice(0, -2), '\r\n'],
  'a comment line behind the last event': [EVENT_1, EVENT_2, ': end\n'],
  'a comment without a line end behind the last event': [EVENT_1, EVENT_2, ': end'],
  'empty lines behind the last event': [EVENT_1, EVENT_2, '\n\n\n']
}

// the framing of an answer says nothing about the events inside: a client must not take the events before a cut for the whole stream
describe('a stream that ends within an event, in an answer with complete framing', () => {
  let fixture: RelayFixture | undefined
  let endpoints: EndpointFixture[] = []

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
    endpoints = []
  })

  /** Starts a gateway and endpoints that answer requests in the order in which these arrive. */
  async function start (kind: Kind, answers: Array<(request: ReceivedRequest) => void>, endpointCount = answers.length): Promise<void> {
    let sends = 0
    for (let index = 0; index < endpointCount; index++) {
      endpoints.push(await startEndpoint(`e-${index + 1}`, request => {
        sends += 1
        answers[Math.min(sends, answers.length) - 1]!(request)
      }))
    }
    const route = buildRoute({ kind: 'streaming', resumable: kind === 'resumable', maxAttempts: 2 })
    fixture = await startRelay(buildPlatformConfig({ routes: [route] }), endpoints, { retryRatio: 2 })
  }

  function listReceived (): ReceivedRequest[] {
    return endpoints.flatMap(({ received }) => received)
  }

  for (const [name, cut] of Object.entries(CUTS)) {
    it(`should not look complete (${name})`, async () => {
      await start('streaming', [cut])
      const reply = await sendRequest(fixture!)
      expect(listIds(reply)).to.deep.equal([1])
      expect(isComplete(reply)).to.equal(false)
    })

    it(`should go on at another endpoint after the last whole event, once (${name})`, async () => {
      await start('resumable', [cut, request => writeChunks(request, [EVENT_2, EVENT_3])])
      const reply = await sendRequest(fixture!)
      expect(listIds(reply)).to.deep.equal([1, 2, 3])
      expect(isComplete(reply)).to.equal(true)
      expect(listReceived().filter(({ text }) => text.includes('Last-Event-Id: 1\r\n'))).to.have.length(1)
    })
  }

  it('should not look complete where no other endpoint serves', async () => {
    await start('resumable', [request => writeChunks(request, [EVENT_1, 'id: 2\nda'])])
    const reply = await sendRequest(fixture!)
    expect(listIds(reply)).to.deep.equal([1])
    expect(isComplete(reply)).to.equal(false)
  })

  it('should be 502 where not one event is whole', async () => {
    await start('streaming', [request => writeChunks(request, ['id: 1\nda'])])
    const reply = await sendRequest(fixture!)
    expect(reply.text).to.match(/^HTTP\/1\.1 502 /).and.not.to.include('id: 1')
  })

  it('should not be held against its prompt as a crash', async () => {
    await start('streaming', [request => writeChunks(request, [EVENT_1, 'id: 2\nda'])])
    await sendRequest(fixture!)
    expect(fixture!.lines.filter(({ event }) => event === 'answerBroken')).to.deep.equal([])
    expect(fixture!.lines.find(({ event }) => event === 'sendEnded')).to.include({ outcome: 'mayHaveRun', detail: 'the stream ended within an event' })
  })

  it('should have its endpoint avoided while others serve', async () => {
    const bad = await startEndpoint('e-1', request => writeChunks(request, [EVENT_1, 'id: 2\nda']))
    const sound = await Promise.all(['e-2', 'e-3', 'e-4'].map(async id => await startEndpoint(id, request => writeChunks(request, [EVENT_1, EVENT_2]))))
    endpoints = [bad, ...sound]
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming' })] }), endpoints)
    for (let index = 0; index < 30; index++) await sendRequest(fixture, { id: `a-${index}` })
    expect(bad.received.length).to.be.at.most(2)
  })

  for (const kind of KINDS) {
    for (const [name, chunks] of Object.entries(WHOLE)) {
      for (const framing of ['length', 'chunks'] as const) {
        it(`should be told from a whole stream, which is passed on byte for byte (${name}, ${framing}, ${kind})`, async () => {
          await start(kind, [request => framing === 'chunks' ? writeChunks(request, chunks) : writeFramed(request, buildStreamHead(request), 'length', chunks.join(''))], 2)
          const reply = await sendRequest(fixture!)
          expect(readBody(reply)).to.equal(chunks.join(''))
          expect(isComplete(reply)).to.equal(true)
          expect(listReceived()).to.have.length(1)
        })
      }
    }
  }

  it('should have events that end with CR passed on as they arrive', async () => {
    await start('streaming', [request => {
      writeHeadOfChunks(request)
      request.socket.write(formatChunk(formatEvent(1, '\r')))
    }])
    const startedAtMs = performance.now()
    const reply = await sendRequest(fixture!, { timeoutMs: 700 })
    expect(performance.now() - startedAtMs).to.be.at.least(500)
    expect(listIds(reply)).to.deep.equal([1])
  })
})

function formatEvent (id: number, lineEnd: LineEnd = '\n'): string {
  return [`id: ${id}`, `data: ${id}`, '', ''].join(lineEnd)
}

function buildStreamHead ({ requestId }: ReceivedRequest): string[] {
  return ['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream']
}

function writeHeadOfChunks (request: ReceivedRequest): void {
  request.socket.write([...buildStreamHead(request), 'Transfer-Encoding: chunked', '', ''].join('\r\n'))
}

/** Sends a whole chunked answer, each chunk in a write of its own. */
function writeChunks (request: ReceivedRequest, chunks: string[]): void {
  writeHeadOfChunks(request)
  const writeNext = (index: number): void => {
    if (index === chunks.length) {
      request.socket.write('0\r\n\r\n')
      return
    }
    request.socket.write(formatChunk(chunks[index]!))
    setTimeout(() => writeNext(index + 1), 5)
  }
  writeNext(0)
}

/** Returns the body of a reply without its chunk framing. */
function readBody ({ text }: RawAnswer): string {
  const headEnd = text.indexOf('\r\n\r\n') + 4
  if (!/\r\ntransfer-encoding: chunked\r\n/i.test(text.slice(0, headEnd))) return text.slice(headEnd)
  let body = ''
  for (let start = headEnd; start < text.length;) {
    const sizeEnd = text.indexOf('\r\n', start)
    const size = parseInt(text.slice(start, sizeEnd), 16)
    if (!(size > 0)) break
    body += text.slice(sizeEnd + 2, sizeEnd + 2 + size)
    start = sizeEnd + 2 + size + 2
  }
  return body
}

/** Lists the ids of the events in a reply, whatever ends their lines. */
function listIds (reply: RawAnswer): number[] {
  return listEventIds(readBody(reply).replace(/\r\n?/g, '\n'))
}
