import http from 'node:http'
import net from 'node:net'
import { setImmediate as waitForTurn } from 'node:timers/promises'

import { expect } from 'chai'

import { systemClock } from '../../src/base/clock'
import { Progress } from '../../src/base/progress'
import { buildDirectEndpoint } from '../../src/policy/directEndpoint'
import { RpcClient } from '../../src/protocol/rpcClient'
import { PresenceChecker } from '../../src/relay/presenceChecker'
import { sendHttpCall } from '../../src/store/httpCall'
import { runExchange } from './exchangeFixture'
import { answerWhole, buildPlatformConfig, buildRoute, sendRequest, startEndpoint, startRelay } from './relayFixture'

import type { AddressInfo, Server, Socket } from 'node:net'

const LIMIT_MS = 60
/** Milliseconds of one turn of the event loop, in which the limit passes. */
const LONG_TURN_MS = 150
/** Milliseconds of an answer that are more than what counts of a standstill. */
const SLOW_ANSWER_MS = 400

/** Keeps the event loop busy, so that nothing is read. */
function runLongTurn (milliseconds = LONG_TURN_MS): void {
  for (const untilMs = performance.now() + milliseconds; performance.now() < untilMs;);
}

describe('a time limit that passes while what it waits for lies unread', () => {
  let server: Server | undefined
  let sockets: Socket[]

  beforeEach(() => { sockets = [] })

  afterEach(() => {
    server?.close()
    for (const socket of sockets) socket.destroy()
  })

  async function listen (handleConnection: (socket: Socket) => void): Promise<number> {
    server = net.createServer(socket => {
      sockets.push(socket.on('error', () => {}))
      handleConnection(socket)
    })
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
    return (server!.address() as AddressInfo).port
  }

  /** Answers each request, and holds up the process until the limit has passed. */
  async function listenAndAnswer (body: string): Promise<number> {
    return await listen(socket => {
      socket.on('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
        runLongTurn()
      })
    })
  }

  function createProgress (timeoutMs: number): Progress {
    return new Progress({ title: 'testing', timeoutMs, clock: systemClock })
  }

  it('should not lose the answer of the store', async () => {
    const url = new URL(`http://127.0.0.1:${await listenAndAnswer('value')}/x`)
    const result = await sendHttpCall(new http.Agent(), { method: 'GET', url, timeoutMs: LIMIT_MS, maxResponseBytes: 100 }, createProgress(5000))
    expect(result).to.include({ kind: 'answered', body: 'value' })
  })

  it('should not lose the answer of a peer', async () => {
    const client = new RpcClient({ address: `127.0.0.1:${await listenAndAnswer('{"jsonrpc":"2.0","id":1,"result":7}\n')}`, fleetSecret: null })
    const result = await client.call('getLoad', {}, { progress: createProgress(5000), firstMessageMs: LIMIT_MS, silenceMs: LIMIT_MS })
    client.close()
    expect(result.isOk).to.equal(true)
  })

  it('should not end an operation whose result has arrived', async () => {
    const port = await listenAndAnswer('value')
    const arrived = new Promise<string>(resolve => {
      const socket = net.connect(port, '127.0.0.1', () => socket.write('question'))
      socket.on('data', bytes => resolve(String(bytes).slice(-5)))
      sockets.push(socket)
    })
    expect(await createProgress(LIMIT_MS).wait('the answer', arrived)).to.equal('value')
  })

  it('should not take an endpoint for unreachable that has accepted the connection', async () => {
    const port = await listen(socket => { socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')) })
    const exchange = runExchange(port, { connectTimeoutMs: LIMIT_MS })
    for (let ticks = 0; ticks < 5; ticks++) await new Promise<void>(resolve => process.nextTick(resolve))
    runLongTurn()
    expect((await exchange).kind).to.equal('collected')
  })

  it('should not take an endpoint for alive that has closed the connection and ended', async () => {
    const port = await listen(socket => {
      const end = async () => {
        for (let turn = 0; turn < 5; turn++) await waitForTurn()
        socket.resetAndDestroy()
        server!.close()
        runLongTurn()
      }
      end().catch(() => {})
    })
    const endpoint = buildDirectEndpoint({ id: 'e-1', service: 'archive', address: `127.0.0.1:${port}`, domain: 'a', version: null, slots: 1, state: 'ready', bornAtMs: 1 })
    expect(await new PresenceChecker({ clock: systemClock }).check(endpoint, LIMIT_MS)).to.equal('refused')
  })

  it('should not turn an answer into a timeout that arrived within the time limit of the caller', async () => {
    const endpoint = await startEndpoint('e-1', request => {
      answerWhole(request)
      runLongTurn(2 * LONG_TURN_MS)
    })
    const relay = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'non_idempotent' })] }), [endpoint])
    const answer = await sendRequest(relay, { method: 'POST', body: 'question', timeoutMs: LONG_TURN_MS })
    await relay.close()
    expect(answer.text).to.match(/^HTTP\/1.1 200 /)
  })

  // the endpoint looked slow, so that a later late answer would have been waited for too long
  it('should not count as time that the endpoint took', async () => {
    const endpoint = await startEndpoint('e-1', request => {
      answerWhole(request)
      runLongTurn(SLOW_ANSWER_MS + LONG_TURN_MS)
    })
    const relay = await startRelay(buildPlatformConfig(), [endpoint])
    await sendRequest(relay)
    const state = await (await fetch(`http://127.0.0.1:${relay.adminPort}/state`)).json() as { endpoints: Array<{ answerMs: number }> }
    await relay.close()
    expect(state.endpoints[0]!.answerMs).to.be.within(1, SLOW_ANSWER_MS)
  })
})
