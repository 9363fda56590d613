import net from 'node:net'

import { expect } from 'chai'

import { FaultProxy } from '../../standins/network/faultProxy'
import { waitUntil } from '../relay/relayFixture'

import type { AddressInfo, Server, Socket } from 'node:net'

describe('fault proxy', () => {
  let server: Server
  let proxy: FaultProxy
  let client: Socket
  let received: string
  let ended: string | null
  const accepted: Socket[] = []

  beforeEach(async () => {
    // echoes all bytes that it receives
    server = net.createServer(socket => {
      accepted.push(socket)
      socket.on('error', () => {})
      socket.pipe(socket)
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    proxy = new FaultProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    await proxy.open()
    const [host, port] = proxy.address.split(':')
    client = net.connect({ host, port: Number(port) })
    received = ''
    ended = null
    client.on('data', bytes => { received += bytes.toString() })
    client.on('error', () => { ended = 'reset' })
    client.on('end', () => { ended = 'closed' })
    client.write('a')
    await waitUntil('the echo', () => received === 'a')
  })

  afterEach(async () => {
    client.destroy()
    for (const socket of accepted.splice(0)) socket.destroy()
    await proxy.close()
    await new Promise(resolve => server.close(resolve))
  })

  it('should hold back a blocked direction and deliver it afterwards', async () => {
    let arrived = ''
    accepted[0]!.on('data', bytes => { arrived += bytes.toString() })
    proxy.setBlockedDirections(['back'])
    client.write('b')
    await waitUntil('the bytes to the target', () => arrived === 'b')
    expect(received).to.equal('a')
    proxy.setBlockedDirections([])
    await waitUntil('the bytes to the client', () => received === 'ab')
  })

  it('should delay both directions', async () => {
    proxy.setDelay(60)
    const startedAtMs = performance.now()
    client.write('b')
    await waitUntil('the echo', () => received === 'ab')
    expect(performance.now() - startedAtMs).to.be.at.least(119)
  })

  it('should reset connections', async () => {
    proxy.abortConnections()
    await waitUntil('the reset', () => ended === 'reset')
  })

  it('should stall open connections permanently, including their close, and let new ones work', async () => {
    proxy.setConnectionsStalled()
    client.write('b')
    accepted[0]!.destroy()
    const [host, port] = proxy.address.split(':')
    const second = net.connect({ host, port: Number(port) })
    const echoed = new Promise(resolve => second.once('data', resolve))
    second.write('c')
    await echoed
    second.destroy()
    expect(received).to.equal('a')
    expect(ended).to.equal(null)
  })
})
