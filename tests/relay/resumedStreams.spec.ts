import { expect } from 'chai'

import { buildPlatformConfig, buildRoute, formatChunk, FRAMINGS, isComplete, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay, writeFramed } from './relayFixture'

import type { EndpointFixture, Framing, ReceivedRequest, RelayFixture } from './relayFixture'

type IdForm = 'own' | 'another' | 'none'
type SecondAnswer = 'error' | 'refusal' | 'plainSuccess' | 'streamError' | 'streamWithoutIds' | 'streamFromStart'

const SECOND_ANSWERS: SecondAnswer[] = ['error', 'refusal', 'plainSuccess', 'streamError', 'streamWithoutIds', 'streamFromStart']
const SECOND_TEXT = 'text-of-the-second'

// what the second endpoint answers is no part of the stream that the caller already reads
describe('a stream that broke off and is to be resumed at an endpoint that does not continue it', () => {
  let fixture: RelayFixture | undefined
  let endpoints: EndpointFixture[] = []

  afterEach(async () => {
    await fixture?.close()
    for (const endpoint of endpoints) endpoint.close()
    fixture = undefined
    endpoints = []
  })

  for (const first of FRAMINGS) {
    for (const second of SECOND_ANSWERS) {
      for (const framing of FRAMINGS) {
        for (const id of ['own', 'another', 'none'] satisfies IdForm[]) {
          it(`should end in a way that does not look complete (first ${first}, then ${second}, ${framing}, id ${id})`, async () => {
            let sends = 0
            const answer = (request: ReceivedRequest) => {
              sends += 1
              if (sends === 1) return endStreamEarly(request, first)
              writeSecond(request, second, framing, id)
            }
            endpoints = [await startEndpoint('e-1', answer), await startEndpoint('e-2', answer)]
            fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', resumable: true, maxAttempts: 2 })] }), endpoints)
            const reply = await sendRequest(fixture, { timeoutMs: 1000 })
            expect(sends).to.equal(2)
            expect(reply.text).to.match(/^HTTP\/1\.1 200 OK\r\n/).and.to.include('id: 1\ndata: a\n\n')
            expect(reply.text).not.to.include(SECOND_TEXT)
            expect(reply.text.match(/HTTP\/1\.1/g)).to.have.length(1)
            expect(isComplete(reply)).to.equal(false)
          })
        }
      }
    }
  }

  it('should not be begun again where its events had no ids', async () => {
    let sends = 0
    const answer = (request: ReceivedRequest) => {
      sends += 1
      if (sends > 1) return writeAnswer(request, '200 OK', 'chunks', 'own', ['Content-Type: text/event-stream', SIGNATURE_LINE], `id: 1\ndata: ${SECOND_TEXT}\n\n`)
      request.socket.end(['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${request.requestId}`, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked', '', formatChunk('data: a\n\n')].join('\r\n'))
    }
    endpoints = [await startEndpoint('e-1', answer), await startEndpoint('e-2', answer)]
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', resumable: true, maxAttempts: 2 })] }), endpoints)
    const reply = await sendRequest(fixture, { timeoutMs: 1000 })
    expect(reply.text).to.include('data: a').and.not.to.include(SECOND_TEXT)
    expect(isComplete(reply)).to.equal(false)
  })

  for (const first of FRAMINGS) {
    for (const framing of FRAMINGS) {
      it(`should be whole where the second endpoint continues it (first ${first}, then ${framing})`, async () => {
        let sends = 0
        const answer = (request: ReceivedRequest) => {
          sends += 1
          if (sends === 1) return endStreamEarly(request, first)
          writeAnswer(request, '200 OK', framing, 'own', ['Content-Type: text/event-stream', SIGNATURE_LINE], 'id: 2\ndata: b\n\n')
        }
        endpoints = [await startEndpoint('e-1', answer), await startEndpoint('e-2', answer)]
        fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', resumable: true, maxAttempts: 2 })] }), endpoints)
        const reply = await sendRequest(fixture, { timeoutMs: 1000 })
        expect(reply.text).to.include('id: 1\ndata: a\n\n').and.to.include('id: 2\ndata: b\n\n')
        expect(isComplete(reply)).to.equal(true)
        expect(fixture.lines.find(line => line.event === 'streamContinued')).to.include({ requestId: 'a-1', version: 'v1', versionBefore: 'v1', resumes: null, afterEventId: 1 })
      })
    }
  }
})

/** Sends the first event and a part of the second one, and ends the connection. */
function endStreamEarly ({ socket, requestId }: ReceivedRequest, framing: Framing): void {
  const head = ['HTTP/1.1 200 OK', SIGNATURE_LINE, `Tanagerwick-Request-Attempt-Id: ${requestId}`, 'Content-Type: text/event-stream']
  const [event, part] = ['id: 1\ndata: a\n\n', 'id: 2\nda']
  switch (framing) {
    case 'length':
      socket.end([...head, 'Content-Length: 400', '', event + part].join('\r\n'))
      return
    case 'chunks':
      socket.end([...head, 'Transfer-Encoding: chunked', '', formatChunk(event) + formatChunk(part)].join('\r\n'))
      return
    case 'connectionEnd':
      socket.end([...head, '', event + part].join('\r\n'))
  }
}

function writeSecond (request: ReceivedRequest, second: SecondAnswer, framing: Framing, id: IdForm): void {
  switch (second) {
    case 'error': return writeAnswer(request, '500 Internal Server Error', framing, id, [SIGNATURE_LINE], SECOND_TEXT)
    case 'refusal': return writeAnswer(request, '503 Service Unavailable', framing, id, ['Tanagerwick-Not-Executed: 1'], SECOND_TEXT)
    case 'plainSuccess': return writeAnswer(request, '200 OK', framing, id, [SIGNATURE_LINE, 'Content-Type: application/json'], SECOND_TEXT)
    case 'streamError': return writeAnswer(request, '500 Internal Server Error', framing, id, [SIGNATURE_LINE, 'Content-Type: text/event-stream'], `id: 2\ndata: ${SECOND_TEXT}\n\n`)
    case 'streamWithoutIds': return writeAnswer(request, '200 OK', framing, id, [SIGNATURE_LINE, 'Content-Type: text/event-stream'], `data: ${SECOND_TEXT}\n\n`)
    case 'streamFromStart': return writeAnswer(request, '200 OK', framing, id, [SIGNATURE_LINE, 'Content-Type: text/event-stream'], `id: 1\ndata: ${SECOND_TEXT}\n\n`)
  }
}

function writeAnswer (request: ReceivedRequest, status: string, framing: Framing, id: IdForm, headers: string[], body: string): void {
  const ids = { own: [`Tanagerwick-Request-Attempt-Id: ${request.requestId}`], another: ['Tanagerwick-Request-Attempt-Id: another'], none: [] }
  writeFramed(request, [`HTTP/1.1 ${status}`, ...headers, ...ids[id]], framing, body)
}
