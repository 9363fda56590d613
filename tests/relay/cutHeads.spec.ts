import net from 'node:net'

import { expect } from 'chai'

import { runExchange } from './exchangeFixture'
import { FRAMINGS, sendRequest, SIGNATURE_LINE, startEndpoint, startRelay } from './relayFixture'

import type { AddressInfo } from 'node:net'
import type { Framing, RelayFixture } from './relayFixture'

const ID_LINE = 'Tanagerwick-Request-Attempt-Id: a-1'
const BODIES: Record<Framing, string[]> = {
  length: ['Content-Length: 12', '', 'twelve bytes'],
  chunks: ['Transfer-Encoding: chunked', '', 'c', 'twelve bytes', '0', '', ''],
  connectionEnd: ['Connection: close', '', 'twelve bytes']
}

// a head that is not whole must not become a success with an empty or short body
describe('an endpoint that stops within its answer and closes the connection', () => {
  let server: net.Server | undefined
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    server?.close()
    await fixture?.close()
    server = undefined
    fixture = undefined
  })

  for (const framing of FRAMINGS) {
    for (const end of ['close', 'reset'] as const) {
      it(`should never have a cut answer taken for a whole one, wherever it is cut (${framing}, ${end})`, async () => {
        const text = ['HTTP/1.1 200 OK', SIGNATURE_LINE, ID_LINE, 'Content-Type: text/event-stream', ...BODIES[framing]].join('\r\n')
        const headEnd = text.indexOf('\r\n\r\n') + 4
        let cutAt = 0
        server = net.createServer(socket => {
          socket.on('error', () => {})
          socket.once('data', () => {
            if (end === 'close') return socket.end(text.slice(0, cutAt))
            socket.write(text.slice(0, cutAt), () => { setTimeout(() => socket.resetAndDestroy(), 1) })
          })
        })
        await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
        const { port } = server.address() as AddressInfo
        for (cutAt = 0; cutAt < text.length; cutAt++) {
          const { kind } = await runExchange(port)
          // without framing, the end of the body is the end of the connection, unless that is reset
          const mayBeWhole = framing === 'connectionEnd' && end === 'close' && cutAt >= headEnd
          expect(['broken', 'garbled', ...mayBeWhole ? ['collected'] : []], `cut after ${JSON.stringify(text.slice(0, cutAt))}`).to.include(kind)
        }
      })
    }
  }

  it('should have callers told 502, and no part of the head', async () => {
    const cuts = ['HTTP/1.1 200 OK\r\n', `HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\n`, `HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\n${ID_LINE}\r\n`, `HTTP/1.1 200 OK\r\n${SIGNATURE_LINE}\r\n${ID_LINE}\r\nContent-Length: 1`]
    for (const cut of cuts) {
      const endpoint = await startEndpoint('e-1', ({ socket }) => socket.end(cut))
      fixture = await startRelay(undefined, [endpoint])
      expect((await sendRequest(fixture)).text).to.match(/^HTTP\/1\.1 502 /).and.not.to.include(SIGNATURE_LINE)
      await fixture.close()
    }
  })
})
