import { expect } from 'chai'

import { answerWhole, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { ReceivedRequest, RelayFixture } from './relayFixture'

const IDLE_MS = 60

/** Time at which the duplicate of an answer arrives, relative to the next request on its connection. */
type DuplicateTime = 'atOnce' | 'whileIdle' | 'beforeTheNextAnswer' | 'inParts'

describe('an endpoint that sends an answer twice on a kept-alive connection', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  /** Starts an endpoint that sends its first answer twice, and returns the requests that it received. */
  async function startDuplicatingEndpoint (time: DuplicateTime): Promise<ReceivedRequest[]> {
    const requests: ReceivedRequest[] = []
    const endpoint = await startEndpoint('e-1', request => {
      requests.push(request)
      const [first] = requests
      if (requests.length === 2 && first!.socket === request.socket && time === 'beforeTheNextAnswer') answerWhole(first!, 'first')
      if (requests.length > 1) return answerWhole(request, `own of ${request.requestId}`)
      answerWhole(request, 'first')
      if (time === 'atOnce') answerWhole(request, 'first')
      if (time === 'whileIdle') setTimeout(() => answerWhole(request, 'first'), IDLE_MS / 2)
      if (time === 'inParts') setTimeout(() => request.socket.write(`HTTP/1.1 200 OK\r\nTanagerwick-Request-Attempt-Id: ${request.requestId}\r\nConte`), IDLE_MS / 2)
    })
    fixture = await startRelay(undefined, [endpoint])
    return requests
  }

  for (const time of ['atOnce', 'whileIdle', 'beforeTheNextAnswer', 'inParts'] as const) {
    it(`should never have the duplicate sent to the next caller (${time})`, async () => {
      const requests = await startDuplicatingEndpoint(time)
      expect((await sendRequest(fixture!, { id: 'first' })).text).to.match(/\r\n\r\nfirst$/)
      await new Promise(resolve => setTimeout(resolve, IDLE_MS))
      for (const id of ['second', 'third', 'fourth']) {
        const { text } = await sendRequest(fixture!, { id })
        expect(text).not.to.match(/first/)
        // after a rejected answer, the gateway mistrusts the endpoint for a while and opens a new connection for each request to it
        expect(text).to.match(/^HTTP\/1\.1 (200 OK[^]*own of|502 )/)
        expect(text.startsWith('HTTP/1.1 503')).to.equal(false)
      }
      await waitUntil('all requests', () => requests.length >= 4)
      expect((await sendRequest(fixture!, { id: 'last' })).text).to.match(/own of last$/)
    })
  }
})
