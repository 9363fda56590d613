import { once } from 'node:events'
import { Worker } from 'node:worker_threads'

import { expect } from 'chai'

import { EndpointAgent } from '../../src/relay/endpointAgent'
import { runExchange } from './exchangeFixture'

import type { HeadDecision, ExchangeResult } from '../../src/relay/endpointExchange'

type Ending = 'reset' | 'orderly'

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
const EXCHANGES = 20
/** Milliseconds for which the event loop is blocked, so that bytes and the end of a connection are read in one turn. */
const BLOCKED_MS = 20

/** Answers each request with `text` and ends the connection at once, in a thread of its own. */
const SERVER = `
const net = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const server = net.createServer(socket => {
  socket.on('error', () => {})
  socket.once('data', () => {
    socket.write(workerData.text)
    if (workerData.ending === 'reset') socket.resetAndDestroy()
    else socket.end()
  })
})
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port))
`

// an answer without framing that is reset is not whole, however soon the reset follows the bytes
describe('an answer without framing whose end arrives together with its bytes', () => {
  let worker: Worker

  afterEach(async () => {
    await worker.terminate()
  })

  async function startServer (text: string, ending: Ending): Promise<number> {
    worker = new Worker(SERVER, { eval: true, workerData: { text, ending } })
    const [port] = await once(worker, 'message')
    return port
  }

  for (const decision of ['collect', 'pass'] as const) {
    for (const isKept of [true, false]) {
      const title = `${decision}, connections ${isKept ? 'kept' : 'not kept'}`

      it(`should be broken where the connection is reset (${title})`, async () => {
        const port = await startServer(`${HEAD}half an ans`, 'reset')
        for (let index = 0; index < EXCHANGES; index++) expect((await runBlocked(port, decision, isKept)).kind).to.equal('broken')
      })

      it(`should be told from a reset where the connection is closed in order (${title})`, async () => {
        const port = await startServer(`${HEAD}an answer`, 'orderly')
        for (let index = 0; index < EXCHANGES; index++) expect(await runBlocked(port, decision, isKept)).to.include({ kind: decision === 'collect' ? 'collected' : 'passed', end: 'closed' })
      })
    }
  }
})

/** Runs an exchange during which the event loop is blocked from when the request was sent. */
async function runBlocked (port: number, decision: HeadDecision, isKept: boolean): Promise<ExchangeResult> {
  const agent = isKept ? new EndpointAgent({ idleMs: 1000, maxIdle: 1 }) : false
  const block = setInterval(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS), 0)
  const result = await runExchange(port, { agent, decision })
  clearInterval(block)
  if (agent !== false) agent.destroy()
  return result
}
