import { expect } from 'chai'

import { answerWhole, buildPlatformConfig, buildRoute, FRAMINGS, sendRequest, startEndpoint, startRelay, writeFramed } from './relayFixture'

import type { EndpointFixture, Framing, ReceivedRequest, RelayFixture } from './relayFixture'

type IdForm = 'earlier' | 'none'

interface RefusalForm {
  status: '503 Service Unavailable' | '429 Too Many Requests' | '421 Misdirected Request' | '400 Bad Request'
  id: IdForm
  framing: Framing
}

const STATUSES: Array<RefusalForm['status']> = ['503 Service Unavailable', '429 Too Many Requests', '421 Misdirected Request', '400 Bad Request']

// the copy must not be taken for the answer to the next request, which the endpoint runs
describe('an endpoint that writes an earlier refusal once more on a kept connection', () => {
  let fixture: RelayFixture | undefined
  let other: EndpointFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    other?.close()
    fixture = undefined
    other = undefined
  })

  for (const status of STATUSES) {
    for (const id of ['earlier', 'none'] satisfies IdForm[]) {
      for (const framing of FRAMINGS) {
        it(`should not have the next caller told that its request did not run, nor run it twice (${status}, id ${id}, ${framing})`, async () => {
          const runs: ReceivedRequest[] = []
          let refused: ReceivedRequest | null = null
          const refusing = await startEndpoint('e-1', request => {
            if (request.requestId.startsWith('warm')) return answerWhole(request, 'warm')
            if (refused === null) {
              refused = request
              return writeRefusal(request, { status, id: 'earlier', framing: 'length' }, request.requestId)
            }
            runs.push(request)
            if (request.socket === refused.socket) writeRefusal(request, { status, id, framing }, refused.requestId)
            if (!request.socket.writableEnded) setTimeout(() => { answerWhole(request, 'own') }, 20)
          })
          fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'non_idempotent', maxAttempts: 2 })] }), [refusing])
          await sendRequest(fixture, { id: 'warm-1', method: 'POST', body: 'x' })
          expect((await sendRequest(fixture, { id: 'refused', method: 'POST', body: 'x' })).text).to.match(/^HTTP\/1\.1 (503|400) /)
          const { text } = await sendRequest(fixture, { id: 'next', method: 'POST', body: 'x' })
          expect(runs.map(run => run.requestId)).to.deep.equal(['next'])
          expect(runs[0]!.socket).to.equal(refused!.socket)
          expect(text).to.match(/^HTTP\/1\.1 (200 OK[^]*own$|502 )/)
        })
      }
    }
  }

  it('should not run a request again at another endpoint', async () => {
    const runs: string[] = []
    const answer = (request: ReceivedRequest, isDuplicating: boolean) => {
      if (request.requestId.startsWith('warm')) return answerWhole(request, 'warm')
      runs.push(request.requestId)
      if (isDuplicating) writeRefusal(request, { status: '503 Service Unavailable', id: 'none', framing: 'length' }, 'warm-1')
      setTimeout(() => answerWhole(request, 'own'), 20)
    }
    const one = await startEndpoint('e-1', request => answer(request, true))
    other = await startEndpoint('e-2', request => answer(request, true))
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'non_idempotent', maxAttempts: 3 })] }), [one, other])
    for (let index = 1; index <= 6; index++) await sendRequest(fixture, { id: `warm-${index}`, method: 'POST', body: 'x' })
    await sendRequest(fixture, { id: 'once', method: 'POST', body: 'x' })
    expect(runs).to.deep.equal(['once'])
  })

  it('should believe a refusal without an id on a connection that had no other request', async () => {
    const refusing = await startEndpoint('e-1', request => writeRefusal(request, { status: '503 Service Unavailable', id: 'none', framing: 'length' }, ''))
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'non_idempotent' })] }), [refusing])
    expect((await sendRequest(fixture, { method: 'POST', body: 'x' })).text).to.match(/^HTTP\/1\.1 503 /)
  })
})

function writeRefusal (request: ReceivedRequest, { status, id, framing }: RefusalForm, requestId: string): void {
  const idLines = id === 'none' ? [] : [`Tanagerwick-Request-Attempt-Id: ${requestId}`]
  writeFramed(request, [`HTTP/1.1 ${status}`, 'Tanagerwick-Not-Executed: 1', ...idLines], framing, 'full')
}
