import net from 'node:net'

import { expect } from 'chai'

import { buildCallerRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

describe('a request whose caller has left', () => {
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

  it('should be taken back by a reset, lest bytes that the system still holds run it later', async () => {
    const caller = net.connect(fixture.port, '127.0.0.1', () => caller.write(buildCallerRequest()))
    await waitUntil('the request at the endpoint', () => endpoint.received.length === 1)
    caller.destroy()
    await waitUntil('the end of the connection', () => ends.length > 0)
    expect(ends).to.deep.equal(['ECONNRESET'])
  })

  it('should be taken back so as well when its time runs out', async () => {
    const caller = net.connect(fixture.port, '127.0.0.1', () => caller.write(buildCallerRequest().replace('Deadline-Ms: 1500', 'Deadline-Ms: 200')))
    await waitUntil('the end of the connection', () => ends.length > 0)
    expect(ends).to.deep.equal(['ECONNRESET'])
    caller.destroy()
  })
})
