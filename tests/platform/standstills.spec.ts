import { spawnSync } from 'node:child_process'
import { setTimeout as sleep } from 'node:timers/promises'

import { expect } from 'chai'

import { buildCallerRequest, buildRoute, formatChunk, isComplete, listEventIds, sendRaw, SIGNATURE_LINE, waitUntil } from '../relay/relayFixture'
import { startPausedGateway } from './pausedGateway'

import type { DecisionLine } from '../../src/base/decisionEvents'
import type { RawAnswer, ReceivedRequest } from '../relay/relayFixture'
import type { PausedGateway } from './pausedGateway'

const STANDSTILLS_MS = [300, 800, 1500, 3000, 6000]
const STREAMS = 8
const EVENTS = 25
const EVENT_GAP_MS = 100
/** Milliseconds without an event after which a stream counts as stalled. */
const STALL_LIMIT_MS = 1500
/** Milliseconds by which a busy machine may run this process late. */
const BUSY_MACHINE_MS = 1000
const TIMEOUT_MS = 20_000
const STREAM_ROUTE = buildRoute({ name: 'r-s', pathPrefix: '/archive/s', kind: 'streaming', resumable: true, targetGapMs: EVENT_GAP_MS, timeoutMs: TIMEOUT_MS })
const PLAIN_ROUTE = buildRoute({ name: 'r-p', pathPrefix: '/archive/p', kind: 'non_idempotent', timeoutMs: TIMEOUT_MS })

/** Writes the events after the caller's last one, until `isSilent`. */
function writeStream (request: ReceivedRequest, isSilent: () => boolean): void {
  const { socket, requestId, text } = request
  let id = Number(/last-event-id: (\d+)/i.exec(text)?.[1] ?? 0)
  socket.write(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nContent-Type: text/event-stream\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nTransfer-Encoding: chunked\r\n\r\n`)
  const timer = setInterval(() => {
    if (isSilent()) return
    id += 1
    socket.write(`${formatChunk(`id: ${id}\ndata: ${id}\n\n`)}${id < EVENTS ? '' : '0\r\n\r\n'}`)
    if (id >= EVENTS || socket.destroyed) clearInterval(timer)
  }, EVENT_GAP_MS)
}

interface Outcome {
  whole: number
  stalled: number
  repeats: number
  ejected: number
}

function countOutcome (answers: RawAnswer[], lines: DecisionLine[]): Outcome {
  const count = (matches: (line: DecisionLine) => boolean) => lines.filter(matches).length
  return {
    whole: answers.filter(answer => isComplete(answer) && listEventIds(answer.text).join() === Array.from({ length: EVENTS }, (_, index) => index + 1).join()).length,
    stalled: count(line => line.event === 'sendEnded' && line.detail === 'streamStalled'),
    repeats: count(line => line.event === 'repeatDecided'),
    ejected: count(line => line.event === 'endpointEjected')
  }
}

const UNDISTURBED: Outcome = { whole: STREAMS, stalled: 0, repeats: 0, ejected: 0 }

describe('a gateway that stands still', () => {
  let programs: PausedGateway[] = []

  before(() => { spawnSync(process.execPath, ['scripts/buildPlatform.mjs']) })

  afterEach(async () => {
    await Promise.all(programs.map(async program => await program.close()))
    programs = []
  })

  async function start (answers: Array<(request: ReceivedRequest) => void>, stopSeconds?: number): Promise<PausedGateway> {
    const program = await startPausedGateway({ routes: [STREAM_ROUTE, PLAIN_ROUTE], answers, stopSeconds })
    programs.push(program)
    return program
  }

  function sendStreams (program: PausedGateway): Array<Promise<RawAnswer>> {
    const headers = ['Connection: close']
    return Array.from({ length: STREAMS }, async (_, index) => await sendRaw(program.port, buildCallerRequest({ id: `a-${index}`, method: 'POST', target: `/archive/s/${index}`, headers, body: 'q', timeoutMs: TIMEOUT_MS })))
  }

  /** Plays streams of sound endpoints while `disturb` runs. */
  async function playStreams (disturb: (program: PausedGateway) => Promise<void>): Promise<Outcome> {
    const answer = (request: ReceivedRequest) => writeStream(request, () => false)
    const program = await start([answer, answer])
    const streams = sendStreams(program)
    await waitUntil('the streams to begin', () => program.endpoints.reduce((sum, { received }) => sum + received.length, 0) === STREAMS)
    await sleep(4 * EVENT_GAP_MS)
    await disturb(program)
    return countOutcome(await Promise.all(streams), program.listLines())
  }

  // its own standstill was taken for the silence of its endpoints
  it('should cut no stream of a sound endpoint, repeat none and eject no endpoint', async () => {
    const outcomes = await Promise.all(STANDSTILLS_MS.map(async milliseconds => await playStreams(async program => await program.pause(milliseconds))))
    expect(outcomes).to.deep.equal(STANDSTILLS_MS.map(() => UNDISTURBED))
  })

  it('should cut no stream that ends in time where it stands still right before, during and right after the signal of a planned stop', async () => {
    const outcomes = await Promise.all(STANDSTILLS_MS.flatMap(milliseconds => [
      playStreams(async program => {
        await program.pause(milliseconds)
        program.child.kill('SIGTERM')
      }),
      playStreams(async program => {
        const paused = program.pause(milliseconds)
        await sleep(milliseconds / 2)
        program.child.kill('SIGTERM')
        await paused
      }),
      playStreams(async program => {
        program.child.kill('SIGTERM')
        await sleep(EVENT_GAP_MS)
        await program.pause(milliseconds)
      })
    ]))
    expect(outcomes).to.deep.equal(STANDSTILLS_MS.flatMap(() => [UNDISTURBED, UNDISTURBED, UNDISTURBED]))
  })

  // patience after a standstill must not hide an endpoint that is silent in truth
  it('should find an endpoint that is silent in truth within one time limit after it went on', async () => {
    const outcomes = await Promise.all(STANDSTILLS_MS.map(async milliseconds => {
      let isSilent = false
      const program = await start([request => writeStream(request, () => isSilent), request => writeStream(request, () => false)])
      const streams = sendStreams(program)
      await waitUntil('the streams to begin', () => program.endpoints.reduce((sum, { received }) => sum + received.length, 0) === STREAMS)
      const silentStreams = program.endpoints[0]!.received.length
      await sleep(4 * EVENT_GAP_MS)
      isSilent = true
      await program.pause(milliseconds)
      const wentOnAtMs = Date.now()
      await Promise.all(streams)
      const stalls = program.listLines().filter(line => line.event === 'sendEnded' && (line.detail === 'streamStalled' || line.detail === 'endpointSilent'))
      const latestMs = Math.max(...stalls.map(line => Date.parse((line as unknown as { time: string }).time))) - wentOnAtMs
      return { silentStreams, found: stalls.length, latestMs }
    }))
    for (const { silentStreams, found, latestMs } of outcomes) {
      expect(silentStreams).to.be.above(0)
      expect(found).to.equal(silentStreams)
      expect(latestMs).to.be.below(STALL_LIMIT_MS + BUSY_MACHINE_MS)
    }
  })

  // the stop was counted from the turn in which its signal was handled, and the platform ended the process first
  it('should count a planned stop from its signal, also where it could not handle the signal', async () => {
    const stopSeconds = 4
    const program = await start([() => {}], stopSeconds)
    const headers = ['Connection: close']
    const sendPlain = async (id: string) => await sendRaw(program.port, buildCallerRequest({ id, method: 'POST', target: '/archive/p', headers, body: 'q', timeoutMs: TIMEOUT_MS }))
    const open = sendPlain('a-0')
    await waitUntil('the request to be sent', () => program.endpoints[0]!.received.length === 1)
    program.child.kill('SIGSTOP')
    program.child.kill('SIGTERM')
    const signalAtMs = performance.now()
    await sleep(1500)
    program.child.kill('SIGCONT')
    // at three eighths of the stop, streams are no longer sent that may not end before the process does
    await sleep(100)
    const late = await sendRaw(program.port, buildCallerRequest({ id: 'a-1', method: 'POST', target: '/archive/s/1', headers, body: 'q', timeoutMs: TIMEOUT_MS }))
    expect(late.text).to.match(/^HTTP\/1.1 503 /)
    await open
    await waitUntil('the process to end', () => program.endedAtMs !== null)
    expect(program.endedAtMs! - signalAtMs).to.be.below(1000 * stopSeconds)
  })
})
