import { expect } from 'chai'

import { findLongPrompt, LONG_CHAT, waitForRunningEngine } from './answers'
import { getExpectedAnswer, sendChat } from './callers'
import { readState, startFleet, waitUntil } from './fleetFixture'

import type { Fleet } from './fleetFixture'

const STREAM_COUNT = 6

describe('draining', () => {
  let fleet: Fleet

  afterEach(async () => {
    await fleet.stop()
  })

  it('should interrupt no stream when a gateway and a sidecar drain at the same time', async () => {
    fleet = await startFleet({ gateways: 2, engines: [{}, {}] })
    const prompts = Array.from({ length: STREAM_COUNT }, (_, index) => findLongPrompt(index))
    const answers = Promise.all(prompts.map(async (prompt, index) => await sendChat(fleet.gateways[index % 2]!, prompt, LONG_CHAT)))
    await waitUntil('every stream to run', () => fleet.engines.flatMap(engine => engine.getRecord().runs).filter(run => run.tokens > 2).length === STREAM_COUNT)
    const stopping = [fleet.gateways[0]!, fleet.sidecars[0]!]
    stopping.forEach(process => process.kill('SIGTERM'))
    const results = await answers
    expect(results.map(result => result.isComplete)).to.deep.equal(prompts.map(() => true))
    expect(results.map(result => result.text)).to.deep.equal(prompts.map(prompt => getExpectedAnswer(prompt, LONG_CHAT)))
    expect(fleet.engines.flatMap(engine => engine.getRecord().runs), 'no run was retried').to.have.length(STREAM_COUNT)
    expect(await Promise.all(stopping.map(async process => await process.waitForExit()))).to.deep.equal([0, 0])
  })

  it('should send no new work to a draining endpoint while the platform is down and its list is stale', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    await fleet.platform.setFaults({ outage: 'answer503', staleList: true })
    const long = sendChat(fleet.gateways[0]!, findLongPrompt(), LONG_CHAT)
    const leaving = await waitForRunningEngine(fleet.engines)
    const index = fleet.engines.indexOf(leaving)
    fleet.sidecars[index]!.kill('SIGTERM')
    await fleet.sidecars[index]!.waitForLogLine(line => line.event === 'draining', 5000)
    const before = leaving.getRecord().runs.length
    const results = await Promise.all(Array.from({ length: 10 }, async (_, number) => await sendChat(fleet.gateways[0]!, `after ${number}`)))
    expect(results.every(result => result.isComplete)).to.equal(true)
    expect(leaving.getRecord().runs.length).to.equal(before)
    expect((await long).isComplete).to.equal(true)
    expect(await fleet.sidecars[index]!.waitForExit()).to.equal(0)
  })

  it('should send no new work to an instance that the platform lists as leaving', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    fleet.platform.setInstances([{ instanceId: 'sidecar-1', role: 'sidecar', address: fleet.sidecars[0]!.address, domain: 'a', state: 'leaving' }])
    await waitUntil('the gateway to mark the endpoint as draining', async () => (await readState(fleet.gateways[0]!)).endpoints.some((endpoint: any) => endpoint.draining), 8000)
    const name = (await readState(fleet.gateways[0]!)).endpoints.find((endpoint: any) => endpoint.draining).name
    const leaving = fleet.engines.find(engine => engine.host.name === name)!
    const before = leaving.getRecord().runs.length
    await Promise.all(Array.from({ length: 10 }, async (_, number) => await sendChat(fleet.gateways[0]!, `later ${number}`)))
    expect(leaving.getRecord().runs.length).to.equal(before)
  })
})
