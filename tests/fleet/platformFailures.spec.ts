import { expect } from 'chai'

import { countExecutions } from './answers'
import { callService, sendChat } from './callers'
import { MODEL, readState, startFleet, waitUntil } from './fleetFixture'

import type { Fleet } from './fleetFixture'

const MAX_PROPAGATION_MS = 4000
const BOOKING = { idempotencyKey: 'booking-1', body: '{"mandrel":1}' }

describe('platform failures', () => {
  let fleet: Fleet

  afterEach(async () => {
    await fleet.stop()
  })

  for (const outage of ['answer503', 'hang', 'refuse'] as const) {
    it(`should refuse a booking immediately and serve all other requests during an outage, ${outage}`, async () => {
      fleet = await startFleet({ gateways: 2, services: [{}] })
      await fleet.platform.setFaults({ outage })
      const booking = await callService(fleet.gateways[0]!, 'desk/bookings', BOOKING)
      expect(booking).to.include({ status: 503, code: 'claim_store_unavailable', execution: 'not_run' })
      expect(booking.retryAfterS).to.be.at.least(1)
      expect(booking.elapsedMs).to.be.below(2500)
      expect((await callService(fleet.gateways[0]!, 'desk/status', { method: 'GET' })).status).to.equal(200)
      expect((await sendChat(fleet.gateways[1]!, 'a question')).isComplete).to.equal(true)
      expect(fleet.desks[0]!.getRecord().executions.filter(execution => execution.method === 'POST')).to.deep.equal([])
      await fleet.platform.setFaults({ outage: 'none' })
      await waitUntil('the booking to be made', async () => (await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)).status === 200, 15_000)
      expect(fleet.desks[0]!.getRecord().executions.filter(execution => execution.method === 'POST')).to.have.length(1)
    })
  }

  it('should book once when the claim is written but its answer is lost', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [{}, {}] })
    await fleet.platform.setFaults({ applyThenLoseAnswer: 1, applyThenLoseAnswerPrefix: 'claims/' })
    await waitUntil('the booking to be made', async () => (await callService(fleet.gateways[0]!, 'desk/bookings', BOOKING)).status === 200)
    const again = await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)
    expect(again.status).to.equal(200)
    expect(countExecutions(fleet.desks)).to.equal(1)
  })

  it('should apply a configuration everywhere although the platform fails right after accepting it', async () => {
    fleet = await startFleet({ gateways: 2, engines: [{}, {}] })
    await fleet.platform.setFaults({ watchDelayMs: 60_000 })
    const generation = await fleet.applyConfig({ ...fleet.tree, settings: { ...fleet.tree.settings, poisonCrashLimit: 5 } })
    const informedGateway = await fleet.startGateway('gateway-informed')
    await waitForGeneration([informedGateway], generation)
    await fleet.platform.setFaults({ outage: 'answer503' })
    const startMs = Date.now()
    for (const engine of fleet.engines) {
      await waitUntil('a request to reach the engine', async () => {
        await sendChat(informedGateway, 'a question that spreads the configuration')
        return engine.getRecord().runs.length > 0
      })
    }
    await waitForGeneration(fleet.sidecars, generation)
    await waitUntil('requests to reach the other gateways', async () => {
      await Promise.all(fleet.gateways.map(async gateway => await sendChat(gateway, 'another question')))
      return (await listGenerations(fleet.gateways)).every(other => other === generation)
    })
    expect(Date.now() - startMs).to.be.below(MAX_PROPAGATION_MS)
  })

  it('should start a gateway with the configuration of its peers during an outage', async () => {
    fleet = await startFleet({ gateways: 1 })
    await fleet.platform.setFaults({ outage: 'answer503' })
    const lateGateway = await fleet.startGateway('gateway-late', ['--peers', fleet.gateways[0]!.address])
    await waitForGeneration([lateGateway], 1)
    const models = await fetch(`${lateGateway.url}/v1/models`, { headers: { authorization: 'Bearer key-of-shop' } })
    expect((await models.json() as any).data.map((model: any) => model.id)).to.deep.equal([MODEL])
  })

  it('should never return to an older configuration that a watch delivers late', async () => {
    fleet = await startFleet({ gateways: 1 })
    await fleet.platform.setFaults({ replayOldEvents: 4 })
    for (let change = 0; change < 3; change++) {
      const generation = await fleet.applyConfig({ ...fleet.tree, settings: { ...fleet.tree.settings, poisonCrashLimit: 3 + change } })
      await waitForGeneration([...fleet.gateways, ...fleet.sidecars], generation)
    }
    const adopted = fleet.gateways[0]!.lines.map(line => line.generation as number | undefined).filter(generation => generation !== undefined)
    expect(adopted.length).to.be.at.least(3)
    expect(adopted).to.deep.equal([...adopted].sort((one, other) => one - other))
  })
})

async function listGenerations (processes: Fleet['gateways']): Promise<number[]> {
  return await Promise.all(processes.map(async process => (await readState(process)).configGeneration))
}

async function waitForGeneration (processes: Fleet['gateways'], generation: number): Promise<void> {
  await waitUntil(`generation ${generation} everywhere`, async () => (await listGenerations(processes)).every(other => other >= generation), MAX_PROPAGATION_MS)
}
