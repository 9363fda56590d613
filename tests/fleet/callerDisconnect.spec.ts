import { expect } from 'chai'

import { sendChat } from './callers'
import { readState, startFleet, waitUntil } from './fleetFixture'

import type { Fleet } from './fleetFixture'

describe('caller disconnect', () => {
  let fleet: Fleet
  afterEach(async () => { await fleet.stop() })

  it('should cancel the generation and not count as a failure of the endpoint', async () => {
    fleet = await startFleet({ engines: [{ stepMs: 20 }] })
    const caller = new AbortController()
    await sendChat(fleet.gateways[0]!, 'a long answer', { maxTokens: 2_000, signal: caller.signal, onText: () => caller.abort() }).catch(() => {})
    await waitUntil('the generation to be cancelled', () => fleet.engines[0]!.getRecord().runs.every(run => run.state === 'cancelled'))
    await waitUntil('the gateway to have nothing in flight', async () => (await readState(fleet.gateways[0]!)).gateway.inFlight === 0)
    const { endpoints } = await readState(fleet.gateways[0]!)
    expect(endpoints.map((endpoint: { failures: number, ejectedUntilMs: number }) => [endpoint.failures, endpoint.ejectedUntilMs])).to.deep.equal([[0, 0]])
  })
})
