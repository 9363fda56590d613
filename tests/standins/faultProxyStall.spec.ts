import { once } from 'node:events'
import { connect, createServer } from 'node:net'

import { expect } from 'chai'

import { startFaultProxy } from '../../standins/network/faultProxy'

import type { AddressInfo, Socket } from 'node:net'
import type { FaultProxy } from '../../standins/network/faultProxy'

describe('FaultProxy', () => {
  it('should stall open connections in both directions while new ones work', async () => {
    await withProxy(async (proxy, accepted) => {
      const stalled = await openConnection(proxy)
      stalled.write('before')
      expect(String((await once(stalled, 'data'))[0])).to.equal('before')
      proxy.setConnectionsStalled()
      let lateEvents = 0
      stalled.on('data', () => { lateEvents += 1 })
      accepted[0]!.on('data', () => { lateEvents += 1 })
      accepted[0]!.on('close', () => { lateEvents += 1 })
      stalled.write('lost')
      accepted[0]!.write('lost too')
      const next = await openConnection(proxy)
      next.write('after')
      expect(String((await once(next, 'data'))[0])).to.equal('after')
      stalled.destroy()
      next.destroy()
      await once(accepted[1]!, 'close')
      expect(lateEvents).to.equal(0)
    })
  })
})

/** Runs `test` with a proxy in front of an echo server and the connections that the server accepted. */
async function withProxy (test: (proxy: FaultProxy, accepted: Socket[]) => Promise<void>): Promise<void> {
  const accepted: Socket[] = []
  const server = createServer(socket => {
    accepted.push(socket)
    socket.on('error', () => {})
    socket.pipe(socket)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const proxy = await startFaultProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  try {
    await test(proxy, accepted)
  } finally {
    await proxy.close()
    for (const socket of accepted) socket.destroy()
    server.close()
  }
}

async function openConnection (proxy: FaultProxy): Promise<Socket> {
  const [host, port] = proxy.address.split(':')
  const socket = connect({ host, port: Number(port) })
  socket.on('error', () => {})
  await once(socket, 'connect')
  return socket
}
