import { expect } from 'chai'

import { RPC_PATH } from '../../src/protocol/attemptMessages'
import { findFreePorts } from '../../standins/shared/freePorts'
import { answerWhole, buildPlatformConfig, buildRoute, buildSettings, startEndpoint, startRelay } from './relayFixture'

import type { LoadUpdate } from '../../src/protocol/viewMessages'
import type { RelayFixture } from './relayFixture'

describe('what gateways report about engines', () => {
  let fixture: RelayFixture
  let port: number

  beforeEach(async () => {
    [port] = await findFreePorts(1) as [number]
    const endpoint = await startEndpoint('e-1', request => answerWhole(request))
    fixture = await startRelay(buildPlatformConfig({ routes: [buildRoute()] }), [endpoint], { listen: { ...buildSettings().listen, peers: { host: '127.0.0.1', port } } })
  })

  afterEach(async () => {
    await fixture.close()
  })

  async function sendUpdate (update: Partial<LoadUpdate>): Promise<LoadUpdate> {
    const params = { domain: null, gateways: 1, loads: [], ...update }
    const response = await fetch(`http://127.0.0.1:${port}${RPC_PATH}`, { method: 'POST', body: JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'exchangeLoads', params }) })
    return (await response.json() as { result: LoadUpdate }).result
  }

  it('should be summed for the other gateways, also with one that reports nothing about engines', async () => {
    await sendUpdate({ teller: 'gateway-7', loads: [['e-1', 1, 0, 0]] })
    await sendUpdate({ teller: 'gateway-8', loads: [['e-1', 1, 0, 0]], engines: [[100, 300, 2000]] })
    await sendUpdate({ teller: 'gateway-9', loads: [['e-2', 1, 0, 0], ['e-1', 2, 0, 0]], engines: [[], [50, 60, 1000]] })
    const { loads, engines } = await sendUpdate({ teller: 'gateway-6' })
    expect(loads.find(([id]) => id === 'e-1')![1]).to.equal(4)
    expect(engines[loads.findIndex(([id]) => id === 'e-1')]).to.deep.equal([150, 360, 3000])
    expect(engines[loads.findIndex(([id]) => id === 'e-2')]).to.deep.equal([])
  })

  it('should be absent where no service has engines', async () => {
    await sendUpdate({ teller: 'gateway-7', loads: [['e-1', 1, 0, 0]] })
    expect((await sendUpdate({ teller: 'gateway-6' })).engines).to.deep.equal([])
  })
})
