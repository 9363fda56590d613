import { expect } from 'chai'

import { MemoryObjectStore } from '../fakes/memoryObjectService'
import { answerWhole, buildPlatformConfig, buildRoute, registerEndpoint, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

/** Maximum milliseconds until the prompt is answered; the route's target is 300 ms, the caller's timeout 1,500 ms. */
const MAX_SERVED_MS = 1000
const LARGE_SHARED_PART = '1a:13000'
const MAX_PARTS_TRIED = 64

describe('a prompt queued for the home endpoint of its shared part', () => {
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

  it('should be sent to another endpoint with capacity once it is late, if larger prompts may start there', async () => {
    const home = await send('warm', `${LARGE_SHARED_PART},a1:3700`)
    const part = await findPartAt(home)
    const stuck = send('stuck', `${LARGE_SHARED_PART},a2:3700`)
    await waitUntil('the large prompt to be sent', () => listReceived().some(id => id === 'stuck'))
    const sentAtMs = performance.now()
    expect(await send('small', `${part}:6300,a3:2900`)).not.to.equal(home)
    expect(performance.now() - sentAtMs).to.be.below(MAX_SERVED_MS)
    await stuck
  })

  /** Sends a prompt and returns the id of the endpoint that received it, if any. */
  async function send (id: string, parts: string): Promise<string | undefined> {
    await sendRequest(relay, { id, headers: [`Tanagerwick-Prompt-Prefix: ${parts}`] })
    return endpoints.find(endpoint => endpoint.received.some(request => request.requestId === id))?.id
  }

  /** Finds a shared part whose home endpoint is `home`. */
  async function findPartAt (home: string | undefined): Promise<string> {
    for (let tried = 0; tried < MAX_PARTS_TRIED; tried++) {
      const part = `5ca1e${tried}`
      if (await send(`probe-${tried}`, `${part}:6300,a3:2900`) === home) return part
    }
    throw new Error(`none of ${MAX_PARTS_TRIED} parts has ${home} as its home endpoint`)
  }

  function listReceived (): string[] {
    return endpoints.flatMap(endpoint => endpoint.received.map(request => request.requestId))
  }
})
