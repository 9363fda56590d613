import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { answerWhole, buildCallerRequest, buildPlatformConfig, buildRoute, HOST, KEY, sendRaw, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, ReceivedRequest, RelayFixture } from './relayFixture'

describe('admission of requests', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  async function start (config?: unknown, answer: (request: ReceivedRequest) => void = request => answerWhole(request)): Promise<EndpointFixture> {
    const endpoint = await startEndpoint('e-1', answer)
    fixture = await startRelay(config, [endpoint])
    return endpoint
  }

  it('should send method, target, body and end-to-end headers unchanged, and replace system headers by its own', async () => {
    const endpoint = await start()
    await sendRequest(fixture!, { method: 'POST', target: '/archive/a%20b/../c?q=1&q=2', body: 'accord', headers: ['X-Note: As Sent', 'Kv-From: 1.2.3.4:5/6', 'Tanagerwick-Cache-Hold: h', 'Tanagerwick-Tenant-Id: other', 'Connection: keep-alive, X-Hop', 'X-Hop: 1'] })
    const { text } = endpoint.received[0]!
    expect(text).to.match(/^POST \/archive\/a%20b\/\.\.\/c\?q=1&q=2 HTTP\/1\.1\r\n/)
    expect(text).to.include('X-Note: As Sent').and.to.include(`Host: ${HOST}`).and.to.match(/\r\n\r\naccord$/)
    expect(text).not.to.match(/kv-from|cache-hold|x-hop|api-key/i)
    expect(text.match(/tanagerwick-tenant-id: (\S+)/gi)).to.deep.equal(['Tanagerwick-Tenant-Id: archivists'])
    expect(text).to.include('Tanagerwick-Expect-Runner: e-1').and.to.match(/Deadline-Ms: 1[0-4]\d\d\r\n/)
  })

  it('should accept a chunked body', async () => {
    const endpoint = await start()
    const head = buildCallerRequest({ headers: ['Transfer-Encoding: chunked', 'Connection: close'] }).replace('GET', 'POST')
    await sendRaw(fixture!.port, `${head}3\r\nacc\r\n3\r\nord\r\n0\r\n\r\n`)
    expect(endpoint.received[0]!.text).to.match(/Content-Length: 6\r\n[\s\S]*\r\n\r\naccord$/)
  })

  for (const [name, lines] of [
    ['two hosts', ['Host: other.example']],
    ['two lengths', ['Content-Length: 0', 'Content-Length: 5']],
    ['a length in addition to chunks', ['Content-Length: 5', 'Transfer-Encoding: chunked']],
    ['a folded header', ['X-Note: a', ' b']],
    ['a bare line feed', ['X-Note: a\nX-Smuggled: b']]
  ] as const) {
    it(`should refuse ${name} and forward nothing`, async () => {
      const endpoint = await start()
      const answer = await sendRaw(fixture!.port, buildCallerRequest({ headers: [...lines, 'Connection: close'] }))
      expect(answer.text).to.match(/^HTTP\/1\.1 400 /)
      expect(endpoint.received).to.have.length(0)
    })
  }

  it('should distinguish an unknown route from an unknown key, and answer 503 before the first configuration is read', async () => {
    await start()
    expect((await sendRequest(fixture!, { target: '/elsewhere/' })).text).to.match(/^HTTP\/1\.1 404 /)
    expect((await sendRequest(fixture!, { key: 'unknown' })).text).to.match(/^HTTP\/1\.1 401 /)
    await fixture!.close()
    fixture = await startRelay(null)
    expect((await sendRequest(fixture)).text).to.match(/^HTTP\/1\.1 503 [\s\S]*Retry-After: /)
  })

  it('should send the length of a refusal once', async () => {
    await start()
    const answer = await sendRequest(fixture!, { key: 'unknown' })
    expect(answer.text).to.match(/^HTTP\/1.1 401 /)
    expect(answer.text.match(/^content-length: /gim)).to.have.length(1)
  })

  it('should refuse a body above the configured limit', async () => {
    await start()
    expect((await sendRequest(fixture!, { method: 'POST', body: 'x'.repeat(70_000) })).text).to.match(/^HTTP\/1\.1 413 /)
  })

  it('should refuse a revoked key, and never return to an older configuration', async () => {
    const endpoint = await start()
    fixture!.store.put('config/main', buildPlatformConfig({ version: 5, tenants: [{ name: 'archivists', apiKeys: ['new-key'] }] }))
    await waitUntil('the new version', () => fixture!.lines.some(line => line.event === 'configInForce' && line.version === 5))
    expect((await sendRequest(fixture!)).text).to.match(/^HTTP\/1\.1 401 /)
    fixture!.store.put('config/main', buildPlatformConfig({ version: 4 }))
    expect((await sendRequest(fixture!, { key: 'new-key' })).text).to.match(/^HTTP\/1\.1 200 /)
    expect((await sendRequest(fixture!)).text).to.match(/^HTTP\/1\.1 401 /)
    expect(endpoint.received).to.have.length(1)
  })

  it('should refuse requests with keys during an outage of the object service that exceeds the key revocation time, and serve again afterwards', async () => {
    const endpoint = await startEndpoint('e-1', request => answerWhole(request))
    fixture = await startRelay(undefined, [endpoint], { revocationMs: 400 })
    fixture.service.setFaults({ outage: true })
    await waitUntil('the refusal', async () => (await sendRequest(fixture!)).text.startsWith('HTTP/1.1 503'))
    const refusal = fixture.lines.find(line => line.event === 'requestRefused')
    expect(refusal).to.include({ code: 'configuration_stale', execution: 'not_run' })
    fixture.service.setFaults({ outage: false })
    await waitUntil('requests to be served again', async () => (await sendRequest(fixture!)).text.startsWith('HTTP/1.1 200'))
  })

  it('should answer at the timeout of the route and cancel the request at the endpoint', async () => {
    let isClosed = false
    await start(buildPlatformConfig({ routes: [buildRoute({ timeoutMs: 200, kind: 'non_idempotent' })] }), request => request.socket.once('close', () => { isClosed = true }))
    expect((await sendRequest(fixture!, { method: 'POST', body: 'x' })).text).to.match(/^HTTP\/1\.1 504 /)
    await waitUntil('the connection to the endpoint to close', () => isClosed)
  })

  it('should cancel the request at the endpoint when the caller disconnects', async () => {
    let isClosed = false
    const endpoint = await start(undefined, request => request.socket.once('close', () => { isClosed = true }))
    sendRaw(fixture!.port, buildCallerRequest(), /never/).catch(() => {})
    await waitUntil('the request', () => endpoint.received.length === 1)
    await fixture!.close()
    await waitUntil('the connection to the endpoint to close', () => isClosed)
    fixture = undefined
  })

  it('should not forward a request whose caller disconnected before it was read', async () => {
    const endpoint = await start()
    const callers = Array.from({ length: 20 }, () => net.connect(fixture!.port, '127.0.0.1'))
    await Promise.all(callers.map(async caller => await once(caller, 'connect')))
    // the gateway reads nothing before this event-loop turn ends, so that request and disconnect are both waiting in the socket
    callers.forEach((caller, index) => caller.end(buildCallerRequest({ id: `left-${index}` })))
    const untilMs = performance.now() + 50
    while (performance.now() < untilMs);
    await Promise.all(callers.map(async caller => await once(caller.resume(), 'close')))
    expect((await sendRequest(fixture!, { id: 'after' })).text).to.match(/^HTTP\/1.1 200/)
    expect(endpoint.received.map(request => request.requestId)).to.deep.equal(['after'])
  })

  it('should write no key and no body to the log', async () => {
    await start()
    await sendRequest(fixture!, { method: 'POST', body: 'secret formula' })
    const text = JSON.stringify(fixture!.lines)
    expect(text).not.to.include(KEY)
    expect(text).not.to.include('secret formula')
  })
})
