import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

import { expect } from 'chai'

import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, formatChunk, isComplete, sendRaw, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { Socket } from 'node:net'
import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const TIMEOUT_MS = 4000
/** Far below the timeout of the request: such bytes are detected by their form, not by their duration. */
const MAX_CLOSE_MS = 2500
const CHUNK_BYTES = 16_384
const CHUNK = 'x'.repeat(CHUNK_BYTES)

/** Place in an answer at which the endless bytes occur. */
type EndlessPlace = 'statusLine' | 'header' | 'headers' | 'interimHeads' | 'chunkExtension' | 'trailers' | 'failureBody' | 'tinyChunks' | 'event' | 'eventInTinyChunks' | StreamFiller
/** Complete events that bring no data. */
type StreamFiller = 'emptyLines' | 'unframedEmptyLines' | 'emptyLinesInTinyChunks' | 'comments' | 'retryFields' | 'ids'

const STREAM_FILLERS: StreamFiller[] = ['emptyLines', 'unframedEmptyLines', 'emptyLinesInTinyChunks', 'comments', 'retryFields', 'ids']
/** Bytes that may reach the caller before the endpoint is disconnected: the bound, and one more read of a connection. */
const MAX_FILLER_BYTES = 2 * 65_536

/** Writes `text` repeatedly until the connection is closed, at the rate at which it is read. */
function writeEndlessly (socket: Socket, text: string): void {
  const write = () => {
    if (!socket.destroyed && socket.write(text)) setImmediate(write)
  }
  socket.on('drain', write)
  write()
}

function answerEndlessly (place: EndlessPlace, { socket, requestId }: ReceivedRequest): void {
  const buildHead = (status: string, rest: string) => `HTTP/1.1 ${status}\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nTanagerwick-Runner-Seal: 1.2.3\r\n${rest}`
  const chunked = 'Transfer-Encoding: chunked\r\n\r\n'
  switch (place) {
    case 'statusLine': return writeEndlessly(socket, CHUNK)
    case 'header':
      socket.write('HTTP/1.1 200 OK\r\nX-Long: ')
      return writeEndlessly(socket, CHUNK)
    case 'headers':
      socket.write('HTTP/1.1 200 OK\r\n')
      return writeEndlessly(socket, 'X-Many: 1\r\n'.repeat(200))
    case 'interimHeads': return writeEndlessly(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(200))
    case 'chunkExtension':
      socket.write(buildHead('200 OK', `${chunked}5;`))
      return writeEndlessly(socket, CHUNK)
    case 'trailers':
      socket.write(buildHead('200 OK', `${chunked}5\r\nfound\r\n0\r\n`))
      return writeEndlessly(socket, 'X-Trailer: 1\r\n'.repeat(200))
    case 'failureBody':
      socket.write(buildHead('500 Failed', chunked))
      return writeEndlessly(socket, `${CHUNK_BYTES.toString(16)}\r\n${CHUNK}\r\n`)
    case 'tinyChunks':
      socket.write(buildHead('200 OK', chunked))
      return writeEndlessly(socket, '1\r\nx\r\n'.repeat(2000))
    case 'event':
      socket.write(buildHead('200 OK', `Content-Type: text/event-stream\r\n${chunked}`))
      return writeEndlessly(socket, `${CHUNK_BYTES.toString(16)}\r\n${CHUNK}\r\n`)
    case 'unframedEmptyLines':
      socket.write(buildHead('200 OK', 'Content-Type: text/event-stream\r\n\r\n'))
      return writeEndlessly(socket, '\n\n'.repeat(8000))
    case 'eventInTinyChunks':
    case 'emptyLines':
    case 'emptyLinesInTinyChunks':
    case 'comments':
    case 'retryFields':
    case 'ids':
      socket.write(buildHead('200 OK', `Content-Type: text/event-stream\r\n${chunked}`))
      return writeEndlessly(socket, buildFiller(place))
  }
}

function buildFiller (place: EndlessPlace): string {
  let id = 0
  switch (place) {
    case 'eventInTinyChunks': return '1\r\nx\r\n'.repeat(2000)
    case 'emptyLinesInTinyChunks': return '1\r\n\n\r\n'.repeat(2000)
    case 'comments': return formatChunk(': still here\n\n'.repeat(1000))
    case 'retryFields': return formatChunk('retry: 100\n\n'.repeat(1000))
    // one repetition exceeds the bound, because the ids of a second one would be out of order
    case 'ids': return formatChunk(Array.from({ length: 20_000 }, () => `id: ${++id}\n\n`).join(''))
    default: return formatChunk('\n\n'.repeat(8000))
  }
}

describe('an endpoint that sends endless bytes instead of a valid answer', () => {
  let fixture: RelayFixture | undefined
  let endpoint: EndpointFixture

  afterEach(async () => {
    await fixture?.close()
    endpoint.close()
  })

  for (const place of ['statusLine', 'header', 'headers', 'interimHeads', 'chunkExtension', 'trailers', 'failureBody', 'tinyChunks', 'event', 'eventInTinyChunks'] as const) {
    it(`should be disconnected soon, and its caller's request ended (${place})`, async () => {
      let endless: Socket | null = null
      endpoint = await startEndpoint('e-1', request => {
        if (endless !== null) return answerWhole(request, 'next')
        endless = request.socket
        answerEndlessly(place, request)
      })
      const isStream = place === 'event' || place === 'eventInTinyChunks'
      const route = buildRoute({ kind: isStream ? 'streaming' : 'non_idempotent', timeoutMs: TIMEOUT_MS, targetGapMs: 100 })
      fixture = await startRelay(buildPlatformConfig({ routes: [route] }), [endpoint])
      const startedAtMs = performance.now()
      const answer = await sendRaw(fixture.port, buildCallerRequest({ id: 'endless', method: 'POST', body: 'question', timeoutMs: TIMEOUT_MS }), /^HTTP\/1\.1 5[^]*\r\n\r\n/)
      expect(answer.text === '' || answer.text.startsWith('HTTP/1.1 502')).to.equal(true)
      await waitUntil('the connection to be closed', () => endless?.destroyed === true)
      expect(performance.now() - startedAtMs).to.be.below(MAX_CLOSE_MS)
      const next = await sendRaw(fixture.port, buildCallerRequest({ id: 'next', method: 'POST', body: 'question' }), /next$/)
      expect(next.text).to.match(/next$/)
    }).timeout(3 * TIMEOUT_MS)
  }

  // such bytes are complete events, so they are passed on until they exceed the bound
  for (const place of STREAM_FILLERS) {
    it(`should be disconnected after some bytes that bring no data, and its stream cut (${place})`, async () => {
      let endless: Socket | null = null
      endpoint = await startEndpoint('e-1', request => {
        if (endless !== null) return answerWhole(request, 'next')
        endless = request.socket
        answerEndlessly(place, request)
      })
      fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', timeoutMs: TIMEOUT_MS, targetGapMs: 100 })] }), [endpoint])
      const startedAtMs = performance.now()
      const answer = await sendRaw(fixture.port, buildCallerRequest({ id: 'endless', method: 'POST', body: 'question', timeoutMs: TIMEOUT_MS }))
      expect(isComplete(answer)).to.equal(false)
      await waitUntil('the connection to be closed', () => endless?.destroyed === true)
      expect(performance.now() - startedAtMs).to.be.below(MAX_CLOSE_MS)
      expect(fixture.lines.find(line => line.event === 'requestEnded')).to.have.property('sentBytes').that.is.below(MAX_FILLER_BYTES)
      expect(fixture.lines.find(line => line.event === 'sendEnded')).to.include({ detail: 'noData' })
    }).timeout(3 * TIMEOUT_MS)
  }

  it('should let a stream live whose comments come between events', async () => {
    const comments = ': still here\n\n'.repeat(100)
    endpoint = await startEndpoint('e-1', ({ socket, requestId }) => {
      const events = Array.from({ length: 100 }, (_, index) => formatChunk(`${comments}id: ${index + 1}\ndata: a\n\n`))
      socket.write(`HTTP/1.1 200 OK\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nTanagerwick-Runner-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${events.join('')}0\r\n\r\n`)
    })
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', timeoutMs: TIMEOUT_MS, targetGapMs: 100 })] }), [endpoint])
    const answer = await sendRaw(fixture.port, buildCallerRequest({ method: 'POST', body: 'question', headers: ['Connection: close'] }))
    expect(isComplete(answer)).to.equal(true)
  })

  it('should not use up the memory with many concurrent endless answers', async () => {
    const requests = 40
    endpoint = await startEndpoint('e-1', request => answerEndlessly('failureBody', request))
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'non_idempotent', timeoutMs: TIMEOUT_MS })] }), [endpoint])
    const { port } = fixture
    const idleBytes = process.memoryUsage().arrayBuffers
    let mostBytes = 0
    const timer = setInterval(() => { mostBytes = Math.max(mostBytes, process.memoryUsage().arrayBuffers - idleBytes) }, 5)
    await Promise.all(Array.from({ length: requests }, async (_, index) => await sendRaw(port, buildCallerRequest({ id: `r-${index}`, method: 'POST', body: 'q', timeoutMs: TIMEOUT_MS }), /^HTTP\/1\.1 5[^]*\r\n\r\n/)))
    clearInterval(timer)
    // a small production instance has 178 MB of memory, of which the runtime uses 40 MB
    expect(mostBytes).to.be.below(100_000_000)
  }).timeout(30_000)

  for (const place of ['tinyChunks', 'event', 'eventInTinyChunks'] as const) {
    it(`should not use up the memory with 100 concurrent endless answers (${place})`, async () => {
      const requests = 100
      endpoint = await startEndpoint('e-1', request => answerEndlessly(place, request))
      const isStream = place === 'event' || place === 'eventInTinyChunks'
      fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: isStream ? 'streaming' : 'non_idempotent', timeoutMs: TIMEOUT_MS })] }), [endpoint])
      const { port } = fixture
      const idleBytes = countMemory()
      let mostBytes = 0
      const timer = setInterval(() => { mostBytes = Math.max(mostBytes, countMemory() - idleBytes) }, 50)
      await Promise.all(Array.from({ length: requests }, async (_, index) => await sendRaw(port, buildCallerRequest({ id: `r-${index}`, method: 'POST', body: 'q', timeoutMs: TIMEOUT_MS }), /^HTTP\/1\.1 5[^]*\r\n\r\n/)))
      clearInterval(timer)
      // a small production instance has 178 MB of memory, of which the runtime uses 40 MB
      expect(mostBytes).to.be.below(100_000_000)
    }).timeout(30_000)
  }
})

/** Counts the bytes of memory in use, without those that the runtime may free. */
function countMemory (): number {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
  const { arrayBuffers, heapUsed } = process.memoryUsage()
  return arrayBuffers + heapUsed
}
