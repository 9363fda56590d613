import { expect } from 'chai'

import { answerWhole, buildPlatformConfig, buildRoute, refuseRequest, SIGNATURE_LINE, sendRequest, startEndpoint, startRelay } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

describe('answers of endpoints', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  async function start (answer: (request: ReceivedRequest) => void, route: Record<string, unknown> = {}): Promise<EndpointFixture> {
    const endpoint = await startEndpoint('e-1', answer)
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute(route)] }), [endpoint])
    return endpoint
  }

  it('should forward status, body and signature unchanged', async () => {
    await start(request => answerWhole(request, 'formula 17'))
    const answer = await sendRequest(fixture!)
    expect(answer.text).to.match(/^HTTP\/1\.1 200 OK\r\n/)
    expect(answer.text).to.include(SIGNATURE_LINE)
    expect(answer.text).to.match(/\r\n\r\nformula 17$/)
  })

  it('should add the length to an answer without one, whose endpoint outlives it', async () => {
    await start(({ socket, requestId }) => socket.end(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nConnection: close\r\n\r\nan answer`))
    const answer = await sendRequest(fixture!)
    expect(answer.text).to.match(/\r\nContent-Length: 9\r\n/).and.to.match(/\r\n\r\nan answer$/)
    expect(answer).to.include({ end: 'closed' })
  })

  it('should say nothing of the length of an answer without one that its endpoint does not outlive', async () => {
    const endpoint = await start(({ socket, requestId }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nConnection: close\r\n\r\nhalf an ans`, () => endpoint.close())
    }, { maxAttempts: 1 })
    const answer = await sendRequest(fixture!)
    expect(answer.text).to.match(/^HTTP\/1\.1 502 /).and.not.to.include('half an ans')
  })

  it('should treat a body that is shorter than its length as incomplete', async () => {
    await start(({ socket, requestId }) => socket.end(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nContent-Length: 50\r\n\r\nhalf`), { maxAttempts: 1 })
    const answer = await sendRequest(fixture!)
    expect(answer.text).to.match(/^HTTP\/1\.1 502 /)
    expect(answer.text).not.to.include(SIGNATURE_LINE)
  })

  it("should drop an answer that carries another request's id", async () => {
    await start(({ socket }) => socket.write(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\nTanagerwick-Request-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nhi`), { maxAttempts: 1 })
    expect((await sendRequest(fixture!)).text).to.match(/^HTTP\/1\.1 502 /)
  })

  it('should not report a non-idempotent request as not run when its endpoint answers 503 without stating that', async () => {
    await start(({ socket, requestId }) => socket.write(`HTTP/1.1 503 Service Unavailable\r\nTanagerwick-Request-Attempt-Id: ${requestId}\r\nContent-Length: 0\r\n\r\n`), { kind: 'non_idempotent' })
    expect((await sendRequest(fixture!, { method: 'POST', body: 'x' })).text).to.match(/^HTTP\/1\.1 502 /)
  })

  it('should send Retry-After when the endpoints are at capacity', async () => {
    await start(refuseRequest)
    expect((await sendRequest(fixture!)).text).to.match(/^HTTP\/1\.1 503 [\s\S]*\r\nRetry-After: 0\.\d+\r\n/)
  })

  it('should run a non-idempotent request once when its connection breaks', async () => {
    const endpoint = await start(({ socket }) => socket.resetAndDestroy(), { kind: 'non_idempotent', maxAttempts: 3 })
    expect((await sendRequest(fixture!, { method: 'POST', body: 'x' })).text).to.match(/^HTTP\/1\.1 502 /)
    expect(endpoint.received).to.have.length(1)
  })
})
