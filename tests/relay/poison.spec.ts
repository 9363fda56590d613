import { expect } from 'chai'

import { answerWhole, registerEndpoint, sendRequest, startEndpoint, startRelay, waitUntil } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

describe('a request that crashes endpoints', () => {
  let fixtures: RelayFixture[] = []
  let endpoints: EndpointFixture[] = []

  afterEach(async () => {
    for (const fixture of fixtures) await fixture.close()
    for (const endpoint of endpoints) endpoint.close()
    fixtures = []
    endpoints = []
  })

  async function addCrashingEndpoint (fixture: RelayFixture, id: string): Promise<void> {
    const endpoint = await startEndpoint(id, request => {
      if (!request.text.startsWith('GET /archive/poison')) return answerWhole(request)
      endpoint.close()
    })
    endpoints.push(endpoint)
    registerEndpoint(fixture.store, endpoint)
  }

  it('should be refused with Retry-After after the third crash, while other requests are served', async () => {
    const fixture = await startRelay()
    fixtures.push(fixture)
    for (let crash = 1; crash <= 3; crash++) {
      await addCrashingEndpoint(fixture, `e-${crash}`)
      await waitUntil('the endpoint to be known', async () => (await sendRequest(fixture, { target: '/archive/good' })).text.startsWith('HTTP/1.1 200'))
      await sendRequest(fixture, { id: `p-${crash}`, target: '/archive/poison' })
      fixture.store.delete(`servers/e-${crash}`)
      await waitUntil('the crash to be counted', () => fixture.lines.filter(line => line.event === 'crashBlamed').length === crash)
    }
    await addCrashingEndpoint(fixture, 'e-4')
    await waitUntil('the endpoint to be known', async () => (await sendRequest(fixture, { target: '/archive/good' })).text.startsWith('HTTP/1.1 200'))
    const answer = await sendRequest(fixture, { id: 'p-4', target: '/archive/poison' })
    expect(answer.text).to.match(/^HTTP\/1\.1 503 [\s\S]*\r\nRetry-After: 600/)
    expect(endpoints[3]!.received.filter(request => request.requestId === 'p-4')).to.deep.equal([])
    expect(fixture.lines.some(line => line.event === 'requestRefused' && line.requestId === 'p-4' && line.code === 'request_crashes_endpoints')).to.equal(true)
  })
})
