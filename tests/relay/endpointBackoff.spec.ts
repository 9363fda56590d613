import { expect } from 'chai'

import { answerWhole, refuseRequest, sendRequest, startEndpoint, startRelay } from './relayFixture'

import type { EndpointFixture, RelayFixture } from './relayFixture'

describe('an endpoint that refuses a request with Retry-After', () => {
  let fixture: RelayFixture | undefined

  afterEach(async () => {
    await fixture?.close()
    fixture = undefined
  })

  async function startRefusingEndpoint (retryAfter: string, others: EndpointFixture[] = []): Promise<EndpointFixture> {
    const full = await startEndpoint('e-1', request => full.received.length === 1 ? refuseRequest(request, [`Retry-After: ${retryAfter}`]) : answerWhole(request, 'room'))
    fixture = await startRelay(undefined, [full, ...others])
    return full
  }

  it('should receive nothing from this gateway for that time while other endpoints accept requests', async () => {
    const other = await startEndpoint('e-2', request => answerWhole(request))
    const full = await startRefusingEndpoint('2', [other])
    for (let index = 0; full.received.length === 0; index++) await sendRequest(fixture!, { id: `r-${index}` })
    for (let index = 0; index < 20; index++) expect((await sendRequest(fixture!, { id: `s-${index}` })).text).to.match(/found$/)
    expect(full.received).to.have.length(1)
    expect(fixture!.lines.some(line => line.event === 'endpointQuiet' && line.endpoint === 'e-1' && line.askedMs === 2000)).to.equal(true)
  })

  it('should receive the queued request once the time has passed, and not before', async () => {
    const full = await startRefusingEndpoint('0.4')
    await sendRequest(fixture!, { id: 'r-0' })
    const sentAtMs = performance.now()
    expect((await sendRequest(fixture!, { id: 'r-1' })).text).to.match(/room$/)
    expect(performance.now() - sentAtMs).to.be.within(300, 1000)
    expect(full.received).to.have.length(2)
  })

  it('should have callers refused immediately with Retry-After when no other endpoint can serve them in time', async () => {
    const full = await startRefusingEndpoint('30')
    await sendRequest(fixture!, { id: 'r-0' })
    const sentAtMs = performance.now()
    const { text } = await sendRequest(fixture!, { id: 'r-1' })
    expect(text).to.match(/^HTTP\/1\.1 503 /)
    expect(Number(/Retry-After: (\S+)/i.exec(text)?.[1])).to.be.within(28, 30)
    expect(performance.now() - sentAtMs).to.be.below(300)
    expect(full.received).to.have.length(1)
  })
})
