import { once } from 'node:events'
import net from 'node:net'

import { expect } from 'chai'

import { buildCallerRequest, buildPlatformConfig, buildRoute, isComplete, sendRaw, SIGNATURE_LINE, startRelay } from './relayFixture'

import type { AddressInfo } from 'node:net'
import type { RawAnswer, RelayFixture } from './relayFixture'

const BODY = 'b'.repeat(3_000_000)
const CONTENT = { plain: { type: 'text/plain', part: 'half an ans', kind: 'non_idempotent' }, stream: { type: 'text/event-stream', part: 'id: 1\ndata: a\n\n', kind: 'streaming' } } as const

type Content = keyof typeof CONTENT
type Ending = 'reset' | 'close'
type Upload = 'length' | 'chunks'

// an endpoint that answers before it has read a long upload, without framing, and goes away loses the rest of its answer
describe('part of an answer without framing, cut off while the upload is still written', () => {
  let fixture: RelayFixture | undefined
  let server: net.Server

  afterEach(async () => {
    await fixture?.close()
    server.close()
    fixture = undefined
  })

  async function send (content: Content, ending: Ending, upload: Upload, delayMs: number): Promise<RawAnswer> {
    const { type, part, kind } = CONTENT[content]
    server = net.createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', bytes => {
        socket.pause()
        const id = /attempt-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
        socket.write(['HTTP/1.1 200 OK', `Tanagerwick-Request-Attempt-Id: ${id}`, SIGNATURE_LINE, `Content-Type: ${type}`, '', part].join('\r\n'))
        // a close with unread bytes resets the connection as well
        setTimeout(() => ending === 'reset' ? socket.resetAndDestroy() : socket.destroy(), delayMs)
      })
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const endpoint = { id: 'e-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, received: [], stopListening: () => {}, close: () => {} }
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 5000 }
    fixture = await startRelay(buildPlatformConfig({ limits, routes: [buildRoute({ kind })] }), [endpoint])
    return await sendRaw(fixture.port, buildUpload(upload))
  }

  for (const content of ['plain', 'stream'] as const) {
    for (const ending of ['reset', 'close'] as const) {
      for (const upload of ['length', 'chunks'] as const) {
        for (const delayMs of [0, 60]) {
          it(`should not look complete (${content}, ${ending} after ${delayMs} ms, upload with ${upload})`, async () => {
            const reply = await send(content, ending, upload, delayMs)
            if (content === 'plain') expect(reply.text).to.match(/^HTTP\/1\.1 502 /)
            else expect(isComplete(reply)).to.equal(false)
          })
        }
      }
    }
  }
})

function buildUpload (upload: Upload): string {
  const headers = ['Connection: close']
  if (upload === 'length') return buildCallerRequest({ method: 'POST', body: BODY, headers })
  const head = buildCallerRequest({ method: 'POST', headers: [...headers, 'Transfer-Encoding: chunked'] }).replace('Content-Length: 0\r\n', '')
  return `${head}${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`
}
