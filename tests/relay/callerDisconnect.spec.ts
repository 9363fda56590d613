import net from 'node:net'

import { expect } from 'chai'

import { buildCallerRequest, refuseRequest, registerEndpoint, sendRaw, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

describe('a request whose caller has disconnected', () => {
  let fixture: RelayFixture
  let endpoint: EndpointFixture
  let ends: string[]

  beforeEach(async () => {
    ends = []
    endpoint = await startEndpoint('e-1', ({ socket }) => {
      socket.on('error', (error: NodeJS.ErrnoException) => ends.push(error.code ?? ''))
      socket.on('end', () => ends.push('closed'))
    })
    fixture = await startRelay(undefined, [endpoint])
  })

  afterEach(async () => await fixture.close())

  it('should be cancelled by a reset, so that bytes buffered by the operating system do not run it later', async () => {
    const caller = net.connect(fixture.port, '127.0.0.1', () => caller.write(buildCallerRequest()))
    await waitUntil('the request at the endpoint', () => endpoint.received.length === 1)
    caller.destroy()
    await waitUntil('the end of the connection', () => ends.length > 0)
    expect(ends).to.deep.equal(['ECONNRESET'])
  })

  it('should not be forwarded when the gateway was busy and has not read the disconnect of its caller', async () => {
    const { port, lines } = fixture
    let isFull = true
    const backingOff = await startEndpoint('e-2', request => {
      if (isFull) refuseRequest(request, ['Retry-After: 0.4'])
      isFull = false
    })
    registerEndpoint(fixture.store, backingOff)
    fixture.store.delete('servers/e-1')
    await waitUntil('the endpoint to be known', () => lines.filter(line => line.event === 'endpointChanged').length === 3)
    const startedAtMs = performance.now()
    await sendRaw(port, buildCallerRequest({ id: 'refused', headers: ['Connection: close'] }))
    const caller = net.connect(port, '127.0.0.1', () => caller.write(buildCallerRequest({ id: 'gone' })))
    await new Promise(resolve => setTimeout(resolve, 200))
    caller.destroy()
    // the process is busy until the endpoint accepts requests again, so that disconnect and capacity are noticed together
    while (performance.now() - startedAtMs < 600);
    await waitUntil('the end of the request', () => lines.some(line => line.event === 'requestEnded' && line.requestId === 'gone'))
    expect(backingOff.received.map(({ requestId }) => requestId)).to.deep.equal(['refused'])
    backingOff.close()
  })

  it('should be cancelled by a reset when its deadline passes', async () => {
    const caller = net.connect(fixture.port, '127.0.0.1', () => caller.write(buildCallerRequest({ timeoutMs: 200 })))
    await waitUntil('the end of the connection', () => ends.length > 0)
    expect(ends).to.deep.equal(['ECONNRESET'])
    caller.destroy()
  })
})
