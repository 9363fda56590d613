import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { ServiceClient } from '../../src/sidecar/endpoint/serviceClient'

import type { AddressInfo, Socket } from 'node:net'
import type { EndpointEnd } from '../../src/sidecar/endpoint/endpointRun'

const UPLOAD_BYTES = 3_000_000

// neither an invalid status nor part of an answer is an answer
describe('a plain service that answers a sidecar', () => {
  let server: net.Server
  let client: ServiceClient

  afterEach(() => {
    client.close()
    server.close()
  })

  async function run (answer: (socket: Socket) => void): Promise<EndpointEnd> {
    server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.pause()
        answer(socket)
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    client = new ServiceClient({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
    const target = { kind: 'service' as const, service: 'orders', method: 'POST', path: '/orders', contentType: 'text/plain', bodyBase64: Buffer.alloc(UPLOAD_BYTES).toString('base64') }
    return await client.run({ attemptId: 'a-1', tier: 1, idempotencyKey: undefined, target, silenceMs: 2000, signal: new AbortController().signal, onTexts: () => {} })
  }

  for (const status of ['000', '101', '600', '999']) {
    it(`should be broken where the status is ${status}`, async () => {
      expect((await run(socket => socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`))).kind).to.equal('broken')
    })
  }

  for (const delayMs of [0, 60]) {
    it(`should be broken where part of an answer without framing is reset after ${delayMs} ms, while the upload is written`, async () => {
      const end = await run(socket => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhalf an ans')
        setTimeout(() => socket.resetAndDestroy(), delayMs)
      })
      expect(end.kind).to.equal('broken')
    })
  }
})
