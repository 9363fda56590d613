import { expect } from 'chai'

import { sendChat } from './callers'
import { MODEL, readState, startFleet, waitUntil } from './fleetFixture'

import type { Fleet } from './fleetFixture'

describe('placement', () => {
  let fleet: Fleet

  afterEach(async () => {
    await fleet.stop()
  })

  for (const checksFencing of [true, false]) {
    it(`should be ordered by the sidecar under its lease, and again after the engine restarts, fencing ${checksFencing ? 'checked' : 'ignored'}`, async () => {
      fleet = await startFleet({ engines: [{ models: [], checksFencing, restartMs: 50 }] })
      const engine = fleet.engines[0]!
      await waitUntil('an answer', async () => (await sendChat(fleet.gateways[0]!, 'a question')).isComplete)
      await engine.host.killAndRestart()
      await waitUntil('an answer after the restart', async () => (await sendChat(fleet.gateways[0]!, 'another question')).isComplete)
      const loads = engine.getRecord().orders.filter(({ order }) => order.kind === 'loadModel')
      expect(loads.map(({ order }) => order)).to.deep.equal([{ kind: 'loadModel', model: MODEL }, { kind: 'loadModel', model: MODEL }])
      const { placement } = await readState(fleet.sidecars[0]!)
      expect(loads.map(load => load.fencingNumber)).to.deep.equal([placement.lease.fencingNumber, placement.lease.fencingNumber])
    })
  }
})
