import { expect } from 'chai'

import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, buildSettings, SIGNATURE_LINE, sendRaw, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { ReceivedRequest, RelayFixture } from './relayFixture'

function writeEvents (request: ReceivedRequest, ids: number[], isLast: boolean): void {
  const { socket, requestId } = request
  const chunks = ids.map(id => `id: ${id}\ndata: ${id}\n\n`).map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join('')
  socket.write(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nContent-Type: text/event-stream\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}${isLast ? '0\r\n\r\n' : ''}`)
}

function buildLongRequest (): string {
  return buildCallerRequest({ method: 'POST', body: 'question', headers: ['Connection: close'], timeoutMs: 8000 })
}

describe('endpoints whose answers stall or break off', () => {
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

  it('should retry an idempotent request at another endpoint when no answer arrives', async () => {
    const requests = await startTwo({}, () => {}, request => answerWhole(request, 'from the other'))
    expect((await sendRequest(fixture!)).text).to.match(/from the other$/)
    expect(requests).to.have.length(2)
  })

  it('should resume a resumable stream after the last complete event when it breaks off within an event', async () => {
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

  it('should resume a stalled resumable stream at another endpoint, even if its endpoint sends a byte or a comment now and then', async () => {
    for (const drip of [': p\n\n', 'd']) {
      let timer: NodeJS.Timeout | undefined
      const requests = await startTwo({ kind: 'streaming', resumable: true, targetGapMs: 100, timeoutMs: 8000 }, request => {
        writeEvents(request, [1], false)
        timer = setInterval(() => request.socket.write(`${drip.length}\r\n${drip}\r\n`), 200)
      }, request => writeEvents(request, [2], true))
      const answer = await sendRaw(fixture!.port, buildLongRequest())
      clearInterval(timer)
      expect(answer.text).to.match(/data: 1[^]*data: 2[^]*0\r\n\r\n$/)
      expect(requests).to.have.length(2)
      await fixture!.close()
    }
  })

  it('should not cut a slow stream whose events arrive in parts, nor a slow body', async () => {
    const sendSlowly = (request: ReceivedRequest, parts: string[]) => parts.forEach((part, index) => setTimeout(() => request.socket.write(part), 600 * index))
    const buildHead = (request: ReceivedRequest, rest: string) => `HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: ${request.requestId}\r\n${rest}\r\n\r\n`
    const stream = { kind: 'streaming', resumable: true, targetGapMs: 100, timeoutMs: 8000 }
    const streamed = await startTwo(stream, request => sendSlowly(request, [buildHead(request, 'Content-Type: text/event-stream\r\nContent-Length: 30'), 'id: 1\nda', 'ta: 1\n\n', 'id: 2\nda', 'ta: 2\n\n']), () => {})
    expect((await sendRaw(fixture!.port, buildLongRequest())).text).to.match(/data: 1[^]*data: 2/)
    expect(streamed).to.have.length(1)
    await fixture!.close()
    const collected = await startTwo({ timeoutMs: 8000, targetLatencyMs: 4000 }, request => sendSlowly(request, [buildHead(request, 'Content-Length: 400'), ...Array.from({ length: 4 }, () => 'x'.repeat(100))]), () => {})
    expect((await sendRaw(fixture!.port, buildLongRequest())).text).to.match(/x{400}$/)
    expect(collected).to.have.length(1)
  })

  it('should resume a started stream although the configuration can no longer be confirmed', async () => {
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
    await waitUntil('the configuration to be unconfirmed', () => fixture!.lines.some(line => line.event === 'configUnconfirmed'))
    closeStream()
    expect((await answer).text).to.match(/id: 2\ndata: 2\n\n\r\n0\r\n\r\n$/)
  })

  it('should cut a stream that may not be resumed, so that it does not look complete', async () => {
    const requests = await startTwo({ kind: 'streaming' }, request => {
      writeEvents(request, [1, 2], false)
      setImmediate(() => request.socket.resetAndDestroy())
    }, request => writeEvents(request, [3, 4], true))
    const answer = await sendRequest(fixture!, { method: 'POST', body: 'question' })
    expect(answer.text).not.to.match(/\r\n0\r\n\r\n$/)
    expect(requests).to.have.length(1)
  })

  it('should drop an event that is sent twice, and everything after it', async () => {
    await startTwo({ kind: 'streaming', resumable: true, maxAttempts: 1 }, request => writeEvents(request, [1, 2, 2], true), () => {})
    const answer = await sendRequest(fixture!, { method: 'POST', body: 'question' })
    expect(answer.text).not.to.match(/\r\n0\r\n\r\n$/)
  })
})
