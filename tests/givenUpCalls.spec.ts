import http from 'node:http'
import net from 'node:net'

import { expect } from 'chai'

import { PlatformStore } from '../platform/platformStore'
import { UsageClient } from '../platform/usageClient'
import { Progress } from '../src/base/progress'
import { RpcClient } from '../src/protocol/rpcClient'
import { createOrderSender } from '../src/sidecar/endpoint/orderSender'
import { ServiceClient } from '../src/sidecar/endpoint/serviceClient'
import { sendHttpCall } from '../src/store/httpCall'
import { runExchange } from './relay/exchangeFixture'

import type { AddressInfo, Server, Socket } from 'node:net'

/** Milliseconds after which each call is given up. */
const TIMEOUT_MS = 100
const LARGE_BODY = 'x'.repeat(8_000_000)

/** Makes a call to an address of this machine, and gives it up. */
type Call = (address: string) => Promise<unknown>

const CALLS: Record<string, Call> = {
  'a usage report': async address => {
    const client = new UsageClient(`http://${address}`)
    await client.sendUsage({ holder: 'gateway-1', number: 1, intent: [12, [['archivists', 7]]] }, createProgress())
    client.close()
  },
  'a usage report whose gateway stops': async address => {
    const client = new UsageClient(`http://${address}`)
    await client.sendUsage({ holder: 'gateway-1', number: 1, intent: [12, [['archivists', 7]]] }, createProgress(AbortSignal.timeout(TIMEOUT_MS), 10_000))
    client.close()
  },
  'a write to the store': async address => {
    const store = new PlatformStore(`http://${address}`)
    await store.put('duties/usage', { holder: 'gateway-1' }, { kind: 'absent' }, createProgress())
    store.close()
  },
  'a call that is larger than the system sends at once': async address => await sendHttpCall(new http.Agent(), { method: 'POST', url: new URL(`http://${address}/`), body: LARGE_BODY, timeoutMs: TIMEOUT_MS, maxResponseBytes: 1000 }, createProgress(undefined, 10_000)),
  'a message to another gateway': async address => {
    const client = new RpcClient({ address, fleetSecret: null })
    await client.call('exchangeLoads', {}, { progress: createProgress(), firstMessageMs: TIMEOUT_MS, silenceMs: TIMEOUT_MS })
    client.close()
  },
  'a message to another gateway, of a gateway that ends': async address => {
    const client = new RpcClient({ address, fleetSecret: null })
    setTimeout(() => client.close(), TIMEOUT_MS)
    await client.call('exchangeLoads', {}, { progress: createProgress(undefined, 10_000), firstMessageMs: 10_000, silenceMs: 10_000 })
  },
  'an order to an endpoint': async address => await createOrderSender(address)({ fencingNumber: 1, order: { kind: 'load', model: 'm' } as never }, createProgress()),
  'a call that a sidecar cancels': async address => {
    const client = new ServiceClient({ address })
    await client.run({ attemptId: 'a-1', tier: 1, idempotencyKey: undefined, target: { kind: 'service', method: 'POST', path: '/', contentType: 'text/plain', bodyBase64: 'eA==' } as never, silenceMs: 10_000, signal: AbortSignal.timeout(TIMEOUT_MS), onTexts: () => {} })
    client.close()
  },
  'a request to an endpoint': async address => await runExchange(Number(address.split(':')[1]), { signal: AbortSignal.timeout(TIMEOUT_MS) })
}

// after an orderly close, the system delivers what a broken link held up, and the receiver acts on a call that was given up
describe('a call that its sender has given up', () => {
  let server: Server
  let sockets: Socket[]
  let address: string

  beforeEach(async () => {
    sockets = []
    // nothing is read until the call is given up
    server = net.createServer({ pauseOnConnect: true }, socket => sockets.push(socket))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  for (const [name, call] of Object.entries(CALLS)) {
    it(`should have its connection reset, so that nothing of it arrives later (${name})`, async () => {
      await call(address)
      expect(sockets).to.have.length(1)
      const { end, bytes } = await readUntilEnd(sockets[0]!)
      expect(end).to.equal('reset')
      expect(bytes).to.be.below(LARGE_BODY.length)
    })
  }

  it('should leave the connection of an answered call open for the next one', async () => {
    const answering = http.createServer((_request, response) => response.end('{}'))
    const ports = new Set<number | undefined>()
    answering.on('request', request => ports.add(request.socket.remotePort))
    await new Promise<void>(resolve => answering.listen(0, '127.0.0.1', resolve))
    const url = new URL(`http://127.0.0.1:${(answering.address() as AddressInfo).port}/`)
    const agent = new http.Agent({ keepAlive: true })
    for (let index = 0; index < 5; index++) {
      const controller = new AbortController()
      const { kind } = await sendHttpCall(agent, { method: 'GET', url, timeoutMs: 1000, maxResponseBytes: 1000 }, createProgress(controller.signal, 1000))
      controller.abort()
      expect(kind).to.equal('answered')
      await new Promise(resolve => setImmediate(resolve))
    }
    expect(ports.size).to.equal(1)
    agent.destroy()
    answering.close()
  })
})

function createProgress (signal?: AbortSignal, timeoutMs = TIMEOUT_MS): Progress {
  return new Progress({ title: 'testing', timeoutMs, signal })
}

async function readUntilEnd (socket: Socket): Promise<{ end: 'closed' | 'reset', bytes: number }> {
  return await new Promise(resolve => {
    let bytes = 0
    socket.on('data', part => { bytes += part.length })
    // where bytes and a reset are read in one turn, Node.js reports an orderly end, and the system no longer knows the other side's address
    socket.prependListener('end', () => resolve({ end: socket.remoteAddress === undefined ? 'reset' : 'closed', bytes }))
    socket.on('error', () => resolve({ end: 'reset', bytes }))
    socket.resume()
  })
}
