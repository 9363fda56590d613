import { expect } from 'chai'

import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { answerWhole, buildPlatformConfig, buildRoute, registerEndpoint, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

/** The target of the route is 300 ms, the caller's patience 1,500 ms. */
const MAX_SERVED_MS = 1000
const LARGE_SHARED_PART = '1a:13000'
const MAX_PARTS_TRIED = 64

describe('a prompt that waits for the endpoint that holds its shared part', () => {
  let relay: RelayFixture
  let endpoints: EndpointFixture[]

  beforeEach(async () => {
    endpoints = await Promise.all(['e-1', 'e-2'].map(async id => await startEndpoint(id, request => {
      if (!request.requestId.startsWith('stuck')) answerWhole(request)
    })))
    const store = new MemoryObjectStore()
    for (const endpoint of endpoints) registerEndpoint(store, endpoint, { slots: 64 })
    relay = await startRelay(buildPlatformConfig({ routes: [buildRoute({ kind: 'streaming' })] }), [], {}, store)
    await waitUntil('both endpoints to be known', () => relay.lines.filter(line => line.event === 'endpointChanged').length === 2)
  })

  afterEach(async () => {
    await relay.close()
    for (const endpoint of endpoints) endpoint.close()
  })

  it('should go to another endpoint with room once it is late, if larger ones may begin there', async () => {
    const home = await send('warm', `${LARGE_SHARED_PART},a1:3700`)
    const part = await findPartAt(home)
    const stuck = send('stuck', `${LARGE_SHARED_PART},a2:3700`)
    await waitUntil('the large prompt to be sent', () => listReceived().some(id => id === 'stuck'))
    const sentAtMs = performance.now()
    expect(await send('small', `${part}:6300,a3:2900`)).not.to.equal(home)
    expect(performance.now() - sentAtMs).to.be.below(MAX_SERVED_MS)
    await stuck
  })

  /** Sends a prompt; resolves with the id of the endpoint that got it, if any. */
  async function send (id: string, parts: string): Promise<string | undefined> {
    await sendRequest(relay, { id, headers: [`Tanagerwick-Prompt-Prefix: ${parts}`] })
    return endpoints.find(endpoint => endpoint.received.some(request => request.requestId === id))?.id
  }

  /** Finds a shared part whose home is the endpoint. */
  async function findPartAt (home: string | undefined): Promise<string> {
    for (let tried = 0; tried < MAX_PARTS_TRIED; tried++) {
      const part = `5ca1e${tried}`
      if (await send(`probe-${tried}`, `${part}:6300,a3:2900`) === home) return part
    }
    throw new Error(`no part of ${MAX_PARTS_TRIED} has its home at ${home}`)
  }

  function listReceived (): string[] {
    return endpoints.flatMap(endpoint => endpoint.received.map(request => request.requestId))
  }
})
