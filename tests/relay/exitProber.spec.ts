import net from 'node:net'

import { expect } from 'chai'

import { ExitProber } from '../../src/relay/exitProber'
import { waitUntil } from './relayFixture'

import type { AddressInfo } from 'node:net'
import type { EndpointEntry } from '../../src/policy/directEndpoint'

describe('ExitProber', () => {
  let server: net.Server
  let prober: ExitProber
  let refused: string[]
  let nowMs: number
  let connections: number

  beforeEach(async () => {
    refused = []
    nowMs = 0
    connections = 0
    server = net.createServer(socket => {
      connections += 1
      socket.on('error', () => {})
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    prober = new ExitProber({ clock: { getMonotonicMs: () => nowMs, getWallMs: () => nowMs }, handleRefused: entry => { refused.push(entry.id) } })
  })

  afterEach(() => {
    prober.close()
    server.close()
  })

  function createEntry (id: string): EndpointEntry {
    return { id, service: 'archive', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, domain: 'a', version: 'v1', slots: 6, state: 'ready', bornAtMs: 1 }
  }

  it('should report an endpoint whose address refuses connections', async () => {
    const entry = createEntry('e-1')
    await new Promise(resolve => server.close(resolve))
    prober.probe(entry)
    await waitUntil('the report', () => refused.length === 1)
    expect(refused).to.deep.equal(['e-1'])
  })

  it('should open at most one connection in half a second to an endpoint that lives, and send nothing', async () => {
    const entry = createEntry('e-1')
    for (let index = 0; index < 10; index++) prober.probe(entry)
    await waitUntil('the connection', () => connections === 1)
    nowMs = 499
    prober.probe(entry)
    nowMs = 500
    prober.probe(entry)
    await waitUntil('the second connection', () => connections === 2)
    expect(refused).to.deep.equal([])
  })
})
