import { expect } from 'chai'

import { answerWhole, buildPlatformConfig, buildRoute, buildSettings, SEAL, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { ReceivedRequest, RelayFixture } from './relayFixture'

function writeEvents (request: ReceivedRequest, ids: number[], isLast: boolean): void {
  const { socket, requestId } = request
  const chunks = ids.map(id => `id: ${id}\ndata: ${id}\n\n`).map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')
  socket.write(`HTTP/1.1 200 OK\r\n${SEAL}\r\nContent-Type: text/event-stream\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}${isLast ? '0\r\n\r\n' : ''}`)
}

describe('endpoints that fall silent or break off', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  async function startTwo (route: Record<string, unknown>, answerFirst: (request: ReceivedRequest) => void, answerSecond: (request: ReceivedRequest) => void): Promise<ReceivedRequest[]> {
    const requests: ReceivedRequest[] = []
    const answer = (request: ReceivedRequest) => {
      requests.push(request)
      if (requests.length === 1) answerFirst(request)
      else answerSecond(request)
    }
    const endpoints = [await startEndpoint('e-1', answer), await startEndpoint('e-2', answer)]
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute(route)] }), endpoints)
    return requests
  }

  it('should ask another endpoint for an idempotent answer that does not come', async () => {
    const requests = await startTwo({}, () => {}, request => answerWhole(request, 'from the other'))
    expect((await sendRequest(fixture!)).text).to.match(/from the other$/)
    expect(requests).to.have.length(2)
  })

  it('should go on after the last whole event when a resumable stream breaks off in the middle of one', async () => {
    const route = { kind: 'streaming', resumable: true, targetGapMs: 100 }
    const requests = await startTwo(route, request => {
      writeEvents(request, [1, 2], false)
      request.socket.write('7\r\nid: 3\nd\r\n', () => request.socket.resetAndDestroy())
    }, request => writeEvents(request, [3, 4], true))
    const answer = await sendRequest(fixture!, { method: 'POST', body: 'question' })
    const ids = [...answer.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
    expect(ids).to.deep.equal([1, 2, 3, 4])
    expect(answer.text).to.match(/0\r\n\r\n$/)
    expect(requests[1]!.text).to.match(/\r\nLast-Event-Id: 2\r\n/)
  })

  it('should go on with a stream that has begun though the configuration cannot be confirmed any more', async () => {
    const route = { kind: 'streaming', resumable: true }
    let closeStream = () => {}
    const requests = await startTwo(route, request => {
      writeEvents(request, [1], false)
      closeStream = () => request.socket.resetAndDestroy()
    }, request => writeEvents(request, [2], true))
    fixture!.relay.applySettings(buildSettings({ revocationMs: 300 }))
    const answer = sendRequest(fixture!, { method: 'POST', body: 'question' })
    await waitUntil('the first event', () => requests.length === 1)
    fixture!.service.setFaults({ outage: true })
    await waitUntil('the doubt', () => fixture!.lines.some(line => line.event === 'configUnconfirmed'))
    closeStream()
    expect((await answer).text).to.match(/id: 2\ndata: 2\n\n\r\n0\r\n\r\n$/)
  })

  it('should cut a stream that may not be resumed, so that it does not look whole', async () => {
    const requests = await startTwo({ kind: 'streaming' }, request => {
      writeEvents(request, [1, 2], false)
      setImmediate(() => request.socket.resetAndDestroy())
    }, request => writeEvents(request, [3, 4], true))
    const answer = await sendRequest(fixture!, { method: 'POST', body: 'question' })
    expect(answer.text).not.to.match(/\r\n0\r\n\r\n$/)
    expect(requests).to.have.length(1)
  })

  it('should drop an event that comes twice with all that follows it', async () => {
    await startTwo({ kind: 'streaming', resumable: true, maxAttempts: 1 }, request => writeEvents(request, [1, 2, 2], true), () => {})
    const answer = await sendRequest(fixture!, { method: 'POST', body: 'question' })
    expect(answer.text).not.to.match(/\r\n0\r\n\r\n$/)
  })
})
