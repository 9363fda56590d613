import { expect } from 'chai'

import { RPC_PATH } from '../../src/protocol/attemptMessages'
import { findFreePorts } from '../../standins/shared/freePorts'
import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { answerWhole, buildPlatformConfig, buildRoute, buildSettings, registerEndpoint, sendRaw, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { RelaySettings } from '../../src/config/processSettings'
import type { EndpointFixture, RelayFixture } from './relayFixture'

interface PairFixture {
  store: MemoryObjectStore
  /** Reads the object service for both gateways. */
  reader: RelayFixture
  /** `host:port` at which the reader serves peer gateways. */
  readerAddress: string
  /** Uses the reader's view of the object service. */
  follower: RelayFixture
}

describe('gateways of one failure domain', () => {
  let pair: PairFixture
  let endpoint: EndpointFixture

  beforeEach(async () => {
    endpoint = await startEndpoint('e-1', request => answerWhole(request))
    pair = await startPair(endpoint)
  })

  afterEach(async () => {
    await pair.reader.close()
    await pair.follower.close()
  })

  it('should read the object service through one of them, and apply its changes at the other', async () => {
    const { store, follower } = pair
    await waitUntil('the follower to use the reader', () => isFollowing(follower))
    // watches that were open when it began to use the reader end by themselves
    await waitUntil("the end of the follower's own watches", async () => await countCalls(follower, 1500) === 0)
    store.put('config/main', buildPlatformConfig({ version: 2, routes: [buildRoute({ pathPrefix: '/moved/' })] }))
    await waitUntil('the change', () => follower.lines.some(line => line.event === 'configInForce' && line.version === 2))
    expect((await sendRequest(follower, { target: '/moved/1' })).text).to.match(/^HTTP\/1.1 200 /)
    expect((await sendRequest(follower, { target: '/archive/1' })).text).to.match(/^HTTP\/1.1 404 /)
  })

  it('should read the object service directly as soon as the reader has stopped', async () => {
    const { store, reader, follower } = pair
    await waitUntil('the follower to use the reader', () => isFollowing(follower))
    await reader.close()
    store.put('config/main', buildPlatformConfig({ version: 2, routes: [buildRoute({ pathPrefix: '/moved/' })] }))
    const startedAtMs = performance.now()
    await waitUntil('the change', () => follower.lines.some(line => line.event === 'configInForce' && line.version === 2))
    expect(performance.now() - startedAtMs).to.be.below(2000)
  })

  it('should read the object service directly when only the reader has lost it', async () => {
    const { store, reader, follower } = pair
    await waitUntil('the follower to use the reader', () => isFollowing(follower))
    reader.service.setFaults({ outage: true })
    store.put('config/main', buildPlatformConfig({ version: 2, routes: [buildRoute({ pathPrefix: '/moved/' })] }))
    const startedAtMs = performance.now()
    await waitUntil('the change', () => follower.lines.some(line => line.event === 'configInForce' && line.version === 2))
    expect(performance.now() - startedAtMs).to.be.below(2000)
  })

  it('should send nothing to an endpoint that announced to another gateway that it is leaving', async () => {
    const { store, reader, follower } = pair
    await waitUntil('the follower to use the reader', () => isFollowing(follower))
    const leavingEndpoint = await startEndpoint('e-9', request => answerWhole(request, 'last', '200 OK', ['Server-Leaving: 1']))
    store.delete('servers/e-1')
    registerEndpoint(store, leavingEndpoint)
    await waitUntil('the endpoint to be known', () => [reader, follower].every(gateway => gateway.lines.some(line => line.event === 'endpointChanged' && line.endpoint === 'e-9')))
    await sendRequest(follower, { id: 'l-1' })
    await waitUntil('the notice to be reported', () => reader.lines.some(line => line.event === 'endpointLeaving' && line.source === 'peer'))
    expect((await sendRequest(reader, { id: 'l-2' })).text).to.match(/^HTTP\/1\.1 503 /)
    expect(leavingEndpoint.received).to.have.length(1)
    leavingEndpoint.close()
  })

  it('should continue to serve when invalid messages arrive', async () => {
    const { reader, follower, readerAddress } = pair
    await waitUntil('the follower to use the reader', () => isFollowing(follower))
    const url = `http://${readerAddress}${RPC_PATH}`
    for (const body of ['no json', '[]', 'null', '{"jsonrpc":"2.0","id":1,"method":"exchangeLoads","params":{"teller":7,"leaving":"e-1"}}', '{"jsonrpc":"2.0","id":1,"method":"exchangeNews"}']) {
      await fetch(url, { method: 'POST', body }).then(async answer => await answer.text(), () => '')
    }
    await sendRaw(Number(readerAddress.split(':')[1]), 'no request\r\n\r\n')
    for (const gateway of [reader, follower]) expect((await sendRequest(gateway)).text).to.match(/^HTTP\/1\.1 200 /)
    expect(reader.lines.filter(line => line.event === 'unexpectedError')).to.deep.equal([])
  })

  it('should refuse a request that crashed endpoints at another gateway, even while all writes to the object service are lost', async () => {
    const { store, reader, follower } = pair
    await waitUntil('the follower to use the reader', () => isFollowing(follower))
    reader.service.setFaults({ lostWrites: 1000 })
    store.delete('servers/e-1')
    for (let crash = 1; crash <= 3; crash++) {
      const crashing = await startEndpoint(`c-${crash}`, () => crashing.close())
      registerEndpoint(store, crashing)
      await waitUntil('the endpoint to be known', () => reader.lines.some(line => line.event === 'endpointChanged' && line.change === 'joined' && line.endpoint === crashing.id))
      await sendRequest(reader, { id: `p-${crash}`, target: '/archive/poison' })
      store.delete(`servers/${crashing.id}`)
      await waitUntil('the crash to be counted', () => reader.lines.filter(line => line.event === 'crashBlamed').length === crash)
    }
    await waitUntil('the crashes to be reported', () => follower.lines.some(line => line.event === 'crashLearned' && line.crashes === 3))
    expect((await sendRequest(follower, { id: 'p-4', target: '/archive/poison' })).text).to.match(/^HTTP\/1\.1 503 [\s\S]*\r\nRetry-After: 600/)
  })
})

async function startPair (endpoint: EndpointFixture): Promise<PairFixture> {
  const store = new MemoryObjectStore()
  const ports = await findFreePorts(2)
  const peers = [`127.0.0.1:${ports[0]}`]
  const build = (id: string, port: number): Partial<RelaySettings> => ({ id, peers, listen: { ...buildSettings().listen, peers: { host: '127.0.0.1', port } } })
  const reader = await startRelay(buildPlatformConfig(), [endpoint], build('gateway-1', ports[0]!), store)
  const follower = await startRelay(buildPlatformConfig(), [], build('gateway-2', ports[1]!), store)
  return { store, reader, follower, readerAddress: peers[0]! }
}

function isFollowing (gateway: RelayFixture): boolean {
  return gateway.lines.some(line => line.event === 'viewSourceChanged' && line.reader === 'gateway-1')
}

/** Counts the calls to the object service in the next `milliseconds`, except those for crash records. */
async function countCalls (gateway: RelayFixture, milliseconds: number): Promise<number> {
  const before = gateway.service.log.length
  await new Promise(resolve => setTimeout(resolve, milliseconds))
  return gateway.service.log.slice(before).filter(call => !call.includes('poison/')).length
}
