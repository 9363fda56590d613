import { setTimeout as waitFor } from 'node:timers/promises'

import { expect } from 'chai'

import { HttpListener } from '../src/base/httpListener'
import { RpcServer } from '../src/protocol/rpcServer'
import { PacedCaller } from './fixtures/pacedCaller'
import { waitUntil } from './relay/relayFixture'

/** More than the system holds for a caller that does not read. */
const LARGE_TEXT = 'b'.repeat(6_000_000)
/** Less than the system holds, but more than it sends at once. */
const HELD_TEXT = 'b'.repeat(1_500_000)
const LARGE_REQUEST = 'GET /large HTTP/1.1\r\nhost: x\r\n\r\n'
const SLOW_REQUEST = 'GET /slow HTTP/1.1\r\nhost: x\r\n\r\n'
/** Milliseconds after which a request to `/slow` is answered. */
const ANSWER_DELAY_MS = 200

describe('HttpListener', () => {
  let listener: HttpListener
  let caller: PacedCaller
  let served: number

  beforeEach(async () => {
    served = 0
    const rpc = new RpcServer({ fleetSecret: 'secret' })
    listener = new HttpListener({
      handlers: {
        '/large': (_request, response) => { response.end(LARGE_TEXT) },
        '/slow': (_request, response) => {
          served += 1
          setTimeout(() => response.end(HELD_TEXT), ANSWER_DELAY_MS)
        },
        '/rpc': (request, response) => rpc.handle(request, response)
      }
    })
    const address = await listener.listen({ host: '127.0.0.1', port: 0 })
    caller = new PacedCaller(Number(address.split(':')[1]))
  })

  afterEach(() => {
    caller.destroy()
    listener.close()
  })

  // the end of the server closed connections whose replies had ended here but were not yet written
  it('should not close a connection whose answer is ended but not yet written while it drains', async () => {
    caller.pause()
    caller.write(LARGE_REQUEST)
    await waitFor(200)
    const drained = listener.drain()
    await waitFor(200)
    caller.resume()
    await caller.waitForEnd()
    expect(caller.text.length).to.be.above(LARGE_TEXT.length)
    caller.close()
    await drained
  })

  // a close with unread input resets the connection, and the system drops what it has not sent
  it('should deliver an answer although its caller sends more while it drains', async () => {
    caller.pause()
    caller.write(SLOW_REQUEST)
    await waitUntil('the request', () => served === 1)
    let hasDrained = false
    const drained = listener.drain().then(() => { hasDrained = true })
    await caller.writeRepeatedly(SLOW_REQUEST.slice(0, 10), 10, 50)
    expect(hasDrained, 'drained while the caller had not read its answer').to.equal(false)
    caller.resume()
    await caller.waitForEnd()
    expect([caller.text.length > HELD_TEXT.length, caller.wasReset]).to.deep.equal([true, false])
    caller.close()
    await drained
  })

  it('should answer each request that was read on a connection while it drains', async () => {
    caller.write(SLOW_REQUEST + SLOW_REQUEST)
    await waitUntil('both requests', () => served === 2)
    const drained = listener.drain()
    await caller.waitForEnd()
    expect(caller.text.match(/HTTP\/1.1 200/g)).to.have.length(2)
    caller.close()
    await drained
  })

  // a connection with half a head kept the process alive for ever
  it('should end its drain although a peer never sends the rest of its head', async () => {
    caller.write('GET /la')
    await waitFor(50)
    await listener.drain()
  })

  it('should deliver an answer although the bytes after its request are none', async () => {
    caller.write(`${SLOW_REQUEST}these bytes are no request\r\n\r\n`)
    await caller.waitForEnd()
    expect(caller.text.length).to.be.above(HELD_TEXT.length)
  })

  it('should let a caller read its refusal that still sends a body', async () => {
    caller.pause()
    caller.write('POST /rpc HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n')
    await caller.writeRepeatedly('y'.repeat(20_000), 10, 20)
    caller.resume()
    await caller.waitForEnd()
    expect([caller.text.slice(0, 12), caller.wasReset]).to.deep.equal(['HTTP/1.1 401', false])
  })
})
