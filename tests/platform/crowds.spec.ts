import { spawnSync } from 'node:child_process'

import { expect } from 'chai'

import { READY_PATH } from '../../platform/names'
import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, fetchStatus, formatChunk, HOST, KEY, sendRaw, SIGNATURE_LINE, waitUntil } from '../relay/relayFixture'
import { countDescriptors, Crowd, readPeakMemoryMb } from './crowd'
import { GatewayProgram } from './gatewayProgram'

import type { ReceivedRequest } from '../relay/relayFixture'
import type { CrowdOptions } from './crowd'

/** What a number of callers do; `kind` is part of the test's name. */
interface CrowdCase extends Omit<CrowdOptions, 'port'> {
  kind: string
  count: number
}

/** The smallest machine. */
const MEMORY_MB = 200
const MAX_DESCRIPTORS = 1000
const MAX_BODY_BYTES = 4_194_304
const CROWD_KEY = 'key-of-the-crowd'
/** Descriptors beyond those before the crowd that may stay open after it, such as idle connections to the endpoint. */
const SPARE_DESCRIPTORS = 80
const TEST_TIMEOUT_MS = 90_000
const TINY_CHUNKS = Buffer.from(formatChunk('x').repeat(3000))
const BLOCK = Buffer.alloc(65_536, 'x')
const BLOCK_CHUNK = Buffer.from(formatChunk('x'.repeat(65_536)))
/** More than the system keeps for a connection, and less than the largest answer that is relayed. */
const PLAIN_ANSWER = 'x'.repeat(6_291_456)
const NOTHING = Buffer.alloc(0)
const EVENT_DATA = 'x'.repeat(16_384)
const MAX_EVENTS = 500

const SIZES: CrowdCase[] = [
  { kind: 'bodies with a length that stop one byte short', count: 60, isReading: true, buildPieces: () => listPieces([`Content-Length: ${MAX_BODY_BYTES}`], [...listCopies(BLOCK, 63), BLOCK.subarray(1)]) },
  { kind: 'bodies of one chunk that stop one byte short, with an unknown key', count: 60, isReading: true, buildPieces: () => listPieces(['Transfer-Encoding: chunked'], [Buffer.from(`${MAX_BODY_BYTES.toString(16)}\r\n`), ...listCopies(BLOCK, 63), BLOCK.subarray(1)], 'key-of-nobody') },
  { kind: 'bodies of one chunk that stop one byte short', count: 60, isReading: true, buildPieces: () => listPieces(['Transfer-Encoding: chunked'], [Buffer.from(`${MAX_BODY_BYTES.toString(16)}\r\n`), ...listCopies(BLOCK, 63), BLOCK.subarray(1)]) },
  { kind: 'bodies of tiny chunks that do not end', count: 60, isReading: true, buildPieces: () => listPieces(['Transfer-Encoding: chunked'], listCopies(TINY_CHUNKS, 10)) },
  { kind: 'bodies announced as far over the limit', count: 60, isReading: true, buildPieces: () => listPieces([`Content-Length: ${8 * MAX_BODY_BYTES}`], listCopies(BLOCK, 511)) },
  { kind: 'bodies far over the limit without an announcement', count: 60, isReading: true, buildPieces: () => listPieces(['Transfer-Encoding: chunked'], listCopies(BLOCK_CHUNK, 512)) },
  { kind: 'heads that trickle', count: 250, isReading: true, pauseMs: 100, buildPieces: () => listPieces([], listCopies(Buffer.from(`X-Part: ${'x'.repeat(500)}\r\n`), 28), CROWD_KEY, '/archive/1', false) },
  { kind: 'requests behind a body whose answer does not come', count: 60, isReading: true, buildPieces: () => listCopies(Buffer.concat([buildHead([`Content-Length: ${2 * BLOCK.length}`], CROWD_KEY, '/archive/held'), BLOCK, BLOCK]), 32) },
  { kind: 'plain answers that are not read', count: 100, isReading: false, pauseMs: 100, buildPieces: index => [...listCopies(NOTHING, Math.floor(index / 2)), buildHead([], CROWD_KEY, '/archive/plain', 'GET')] },
  { kind: 'streams that are not read', count: 60, isReading: false, buildPieces: () => [buildHead([], CROWD_KEY, '/archive/stream', 'GET')] }
]
const ALL_AT_ONCE = SIZES.map(size => ({ ...size, count: 25 }))
const CONNECTIONS: CrowdCase = { kind: 'more connections than are allowed', count: 1500, isReading: true, buildPieces: () => [] }

// one after another, apart from other load
describe('a gateway under a crowd of callers that nobody controls', function () {
  this.timeout(TEST_TIMEOUT_MS)

  let program: GatewayProgram
  let crowd: Crowd

  before(() => { spawnSync(process.execPath, ['scripts/buildPlatform.mjs']) })

  beforeEach(async () => {
    crowd = new Crowd()
    program = new GatewayProgram({
      settings: { maxDescriptors: MAX_DESCRIPTORS, memoryMb: MEMORY_MB },
      config: buildPlatformConfig({
        routes: [buildRoute({ timeoutMs: 10_000 }), buildRoute({ name: 'r-2', kind: 'streaming', pathPrefix: '/archive/stream', timeoutMs: 10_000 })],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 5000, idleTimeoutMs: 5000 },
        tenants: [{ name: 'archivists', apiKeys: [KEY] }, { name: 'crowd', apiKeys: [CROWD_KEY] }]
      }),
      slots: 200,
      answer: answerByPath
    })
    await program.start()
    await program.waitUntilReady()
  })

  afterEach(async () => {
    crowd.close()
    await program.close()
  })

  async function expectOrdinaryAnswers (): Promise<void> {
    const small = await sendRaw(program.port, buildCallerRequest({ timeoutMs: 10_000, headers: ['Connection: close'] }))
    expect(small.text).to.match(/^HTTP\/1\.1 200 [\s\S]*found$/)
    const large = await sendRaw(program.port, buildCallerRequest({ method: 'POST', body: 'x'.repeat(MAX_BODY_BYTES), timeoutMs: 10_000, headers: ['Connection: close'] }))
    expect(large.text).to.match(/^HTTP\/1\.1 200 [\s\S]*found$/)
  }

  function expectWithinBounds (): void {
    expect(program.isRunning, 'the process lives').to.equal(true)
    expect(readPeakMemoryMb(program.pid), 'MB of memory').to.be.below(MEMORY_MB)
    expect(countDescriptors(program.pid), 'descriptors').to.be.below(MAX_DESCRIPTORS)
  }

  /** Lets the crowd do what it can, with an ordinary caller beside it, and checks the process during and after it. */
  async function expectToBear (cases: CrowdCase[]): Promise<void> {
    const descriptors = countDescriptors(program.pid)
    for (const { count, ...options } of cases) crowd.open(count, { ...options, port: program.port })
    const beside = sendRaw(program.port, buildCallerRequest({ timeoutMs: 10_000, headers: ['Connection: close'] }))
    await crowd.waitUntilQuiet()
    expectWithinBounds()
    expect(await fetchStatus(program.readyPort, READY_PATH), 'readiness').to.be.oneOf([200, 503])
    crowd.close()
    await beside
    await waitUntil('the crowd to be gone', () => countDescriptors(program.pid) <= descriptors + SPARE_DESCRIPTORS)
    await expectOrdinaryAnswers()
    expectWithinBounds()
  }

  for (const size of [...SIZES, CONNECTIONS]) {
    it(`should bear ${size.kind}`, async () => await expectToBear([size]))
  }

  it('should bear all of these at once', async () => await expectToBear(ALL_AT_ONCE))

  it('should serve requests inside the limits in calm', async () => {
    await expectOrdinaryAnswers()
    expectWithinBounds()
  })
})

function * listCopies (piece: Buffer, count: number): Iterable<Buffer> {
  for (let index = 0; index < count; index++) yield piece
}

function * listPieces (headers: string[], body: Iterable<Buffer>, key = CROWD_KEY, target = '/archive/1', isWholeHead = true): Iterable<Buffer> {
  const head = buildHead(headers, key, target)
  yield isWholeHead ? head : head.subarray(0, -2)
  yield * body
}

function buildHead (headers: string[], key: string, target: string, method = 'POST'): Buffer {
  return Buffer.from([`${method} ${target} HTTP/1.1`, `Host: ${HOST}`, 'Tanagerwick-Request-Attempt-Id: c-1', 'Tanagerwick-Request-Deadline-Ms: 10000', `Api-Key: ${key}`, ...headers, '', ''].join('\r\n'))
}

function answerByPath (request: ReceivedRequest): void {
  if (request.text.includes(' /archive/held ')) return
  if (request.text.includes(' /archive/stream ')) return sendEvents(request)
  answerWhole(request, request.text.includes(' /archive/plain ') ? PLAIN_ANSWER : 'found')
}

/** Sends events as fast as they are read. */
function sendEvents ({ socket, requestId }: ReceivedRequest): void {
  let index = 0
  const sendMore = (): void => {
    while (index < MAX_EVENTS && !socket.destroyed) {
      index += 1
      if (socket.write(formatChunk(`id: ${index}\ndata: ${EVENT_DATA}\n\n`))) continue
      socket.once('drain', sendMore)
      return
    }
  }
  socket.write(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', ''].join('\r\n'))
  sendMore()
}
