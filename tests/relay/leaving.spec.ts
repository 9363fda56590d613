import { expect } from 'chai'

import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, registerEndpoint, SIGNATURE_LINE, sendRaw, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

const LEAVING = 'Server-Leaving: 1'

function answerLeaving (request: ReceivedRequest, status?: string, headers: string[] = []): void {
  answerWhole(request, 'last', status, [LEAVING, ...headers])
}

describe('an endpoint whose answers announce that it is leaving', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  /** Starts a gateway with one endpoint, and a second endpoint that is not listed yet. */
  async function start (answer: (request: ReceivedRequest) => void, config?: unknown): Promise<{ leavingEndpoint: EndpointFixture, other: EndpointFixture }> {
    const leavingEndpoint = await startEndpoint('e-1', answer)
    const other = await startEndpoint('e-2', request => answerWhole(request))
    fixture = await startRelay(config, [leavingEndpoint])
    return { leavingEndpoint, other }
  }

  async function registerAndWait (endpoint: EndpointFixture, overrides: Record<string, unknown> = {}): Promise<void> {
    const { store, lines } = fixture!
    const before = lines.length
    registerEndpoint(store, endpoint, overrides)
    await waitUntil('the entry to be read', () => lines.slice(before).some(line => line.event === 'endpointChanged' && line.endpoint === endpoint.id))
  }

  it('should receive no more requests once the answer was forwarded, not even on kept-alive connections', async () => {
    const { leavingEndpoint, other } = await start(request => answerLeaving(request))
    expect((await sendRequest(fixture!, { id: 'r-0' })).text).to.match(/last$/)
    await registerAndWait(other)
    for (let index = 1; index <= 6; index++) expect((await sendRequest(fixture!, { id: `r-${index}` })).text).to.match(/found$/)
    expect(leavingEndpoint.received).to.have.length(1)
    expect(fixture!.lines.filter(line => line.event === 'endpointLeaving')).to.have.length(1)
  })

  it('should receive neither retries nor queued requests when the answer is a refusal or a failure', async () => {
    for (const [status, ...headers] of [['503 Service Unavailable', 'Tanagerwick-Not-Executed: 1'], ['500 Internal Server Error']]) {
      const { leavingEndpoint } = await start(request => answerLeaving(request, status, headers))
      await sendRequest(fixture!, { id: 'r-0' })
      expect((await sendRequest(fixture!, { id: 'r-1' })).text).to.match(/^HTTP\/1\.1 503 /)
      expect(leavingEndpoint.received).to.have.length(1)
      await fixture!.close()
    }
  })

  it('should complete a running stream when the announcement is in its head', async () => {
    let stream: ReceivedRequest | undefined
    const config = buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming', resumable: true, targetGapMs: 200 })] })
    const { leavingEndpoint, other } = await start(request => {
      stream = request
      request.socket.write(`HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\n${LEAVING}\r\nContent-Type: text/event-stream\r\nTanagerwick-Request-Attempt-Id: ${request.requestId}\r\nTransfer-Encoding: chunked\r\n\r\n`)
    }, config)
    const answer = sendRaw(fixture!.port, buildCallerRequest({ id: 's-0', headers: ['Connection: close'] }))
    await waitUntil('the notice', () => fixture!.lines.some(line => line.event === 'endpointLeaving'))
    await registerAndWait(other)
    await sendRequest(fixture!, { id: 's-1' })
    const event = 'id: 1\ndata: whole\n\n'
    stream!.socket.write(`${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`)
    expect((await answer).text).to.contain('data: whole')
    expect([leavingEndpoint.received.length, other.received.length]).to.deep.equal([1, 1])
  })

  it('should receive requests again only after a restart under its id', async () => {
    const { leavingEndpoint, other } = await start(request => leavingEndpoint.received.length === 1 ? answerLeaving(request) : answerWhole(request, 'anew'))
    await sendRequest(fixture!, { id: 'r-0' })
    fixture!.store.delete('servers/e-1')
    await waitUntil('the entry to be removed', () => fixture!.lines.some(line => line.event === 'endpointChanged' && line.change === 'gone'))
    await registerAndWait(leavingEndpoint)
    await registerAndWait(other)
    for (let index = 1; index <= 4; index++) expect((await sendRequest(fixture!, { id: `r-${index}` })).text).to.match(/found$/)
    fixture!.store.delete('servers/e-2')
    await waitUntil('the other endpoint to be removed', () => fixture!.lines.some(line => line.event === 'endpointChanged' && line.change === 'gone' && line.endpoint === 'e-2'))
    await registerAndWait(leavingEndpoint, { born: 2 })
    expect((await sendRequest(fixture!, { id: 'r-9' })).text).to.match(/anew$/)
  })
})
