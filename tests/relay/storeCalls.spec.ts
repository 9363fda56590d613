import { expect } from 'chai'

import { answerWhole, registerEndpoint, startEndpoint, startRelay, waitUntil } from './relayFixture'

const TEST_DURATION_MS = 2000
const CHANGE_INTERVAL_MS = 20
/** Four watches per second while changes are frequent, and some more until the delays have grown. */
const MAX_WATCHES = 4 * TEST_DURATION_MS / 1000 + 6

describe('a gateway whose list of endpoints changes frequently', () => {
  it('should watch it only a few times per second, and still apply the last change', async () => {
    const endpoint = await startEndpoint('e-1', request => answerWhole(request))
    const fixture = await startRelay(undefined, [endpoint])
    const { store, service, lines } = fixture
    const before = service.log.length
    let changes = 0
    const timer = setInterval(() => registerEndpoint(store, endpoint, { born: ++changes }), CHANGE_INTERVAL_MS)
    await new Promise(resolve => setTimeout(resolve, TEST_DURATION_MS))
    clearInterval(timer)
    const watches = service.log.slice(before).filter(call => call.startsWith('watch') && call.includes('servers/'))
    expect(watches).to.have.length.within(4, MAX_WATCHES)
    registerEndpoint(store, endpoint, { state: 'draining', born: changes })
    await waitUntil('the last change', () => lines.some(line => line.event === 'endpointChanged' && line.change === 'draining'))
    await fixture.close()
  })
})
