import { expect } from 'chai'

import { findLongPrompt, LONG_CHAT, waitForRunningEngine } from './answers'
import { callService, getExpectedAnswer, sendChat } from './callers'
import { startFleet, waitUntil } from './fleetFixture'

import type { ServiceServer } from '../../standins/service/serviceServer'
import type { Fleet } from './fleetFixture'

const CRASH_MARKER = 'crash-the-engine'

describe('endpoint failures', () => {
  let fleet: Fleet

  afterEach(async () => {
    await fleet.stop()
  })

  it('should finish a stream on another engine when its engine crashes', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    const prompt = findLongPrompt()
    const answer = sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)
    const engine = await waitForRunningEngine(fleet.engines)
    await engine.host.killAndRestart()
    expect(await answer).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
  })

  it('should finish a stream whose connection to the engine stalled', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    const prompt = findLongPrompt()
    const answer = sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)
    const engine = await waitForRunningEngine(fleet.engines)
    await engine.host.setFaults({ freeze: true })
    expect(await answer).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
  })

  it('should finish an answer that the engine ends before its end marker', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    for (const engine of fleet.engines) await engine.host.setFaults({ cutAnswers: 1 })
    const prompt = findLongPrompt()
    expect(await sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
    expect(fleet.engines.flatMap(engine => engine.getRecord().runs).length).to.be.above(1)
  })

  it('should never report a truncated answer as complete when no engine remains', async () => {
    fleet = await startFleet({ engines: [{ restartMs: 60_000 }] })
    const answer = sendChat(fleet.gateways[0]!, findLongPrompt(), LONG_CHAT)
    const engine = await waitForRunningEngine(fleet.engines)
    await engine.host.killAndRestart()
    expect(await answer).to.include({ isComplete: false, execution: 'may_have_run' })
  })

  it('should limit the engines that one request crashes to the configured number, and serve other requests', async () => {
    fleet = await startFleet({ gateways: 2, engines: [{ restartMs: 50 }, { restartMs: 50 }, { restartMs: 50 }], settings: { poisonCrashLimit: 2 } })
    for (const engine of fleet.engines) await engine.host.setFaults({ crashMarker: CRASH_MARKER })
    for (let send = 0; send < 6; send++) {
      const result = await sendChat(fleet.gateways[send % 2]!, CRASH_MARKER)
      expect(result.isComplete).to.equal(false)
    }
    const starts = fleet.engines.flatMap(engine => engine.getRecord().runs).filter(run => run.state === 'crashed')
    expect(starts.length).to.be.at.most(2)
    await waitUntil('the engines to restart', async () => (await sendChat(fleet.gateways[0]!, 'a harmless question')).isComplete)
    const refused = await sendChat(fleet.gateways[1]!, CRASH_MARKER)
    expect(refused).to.include({ status: 422, code: 'request_crashes_endpoints', execution: 'not_run' })
    expect(refused.elapsedMs).to.be.below(1000)
    const other = await sendChat(fleet.gateways[0]!, 'another harmless question', { workspace: 'office' })
    expect(other.isComplete).to.equal(true)
  })

  it('should run a booking once when its answer is lost, and report that it may have run', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [{}, {}] })
    for (const desk of fleet.desks) await desk.host.setFaults({ executeThenLoseAnswer: 1 })
    const call = { idempotencyKey: 'booking-1', body: '{"mandrel":1}' }
    const first = await callService(fleet.gateways[0]!, 'desk/bookings', call)
    const second = await callService(fleet.gateways[1]!, 'desk/bookings', call)
    expect(first).to.include({ execution: 'may_have_run' })
    expect(second).to.include({ execution: 'may_have_run' })
    expect(fleet.desks.flatMap(desk => desk.getRecord().executions)).to.have.length(1)
  })

  it('should run a booking without a key once when its answer is lost', async () => {
    fleet = await startFleet({ engines: [], services: [{}, {}] })
    for (const desk of fleet.desks) await desk.host.setFaults({ executeThenLoseAnswer: 1 })
    const result = await callService(fleet.gateways[0]!, 'desk/bookings')
    expect(result).to.include({ execution: 'may_have_run' })
    expect(fleet.desks.flatMap(desk => desk.getRecord().executions)).to.have.length(1)
  })

  it('should retry an idempotent call whose connection to the endpoint stalled', async () => {
    fleet = await startFleet({ engines: [], services: [{ serviceMs: 300 }, { serviceMs: 300 }] })
    const call = { method: 'GET' }
    for (let warmUp = 0; warmUp < 4; warmUp++) await callService(fleet.gateways[0]!, 'desk/status', call)
    const answer = callService(fleet.gateways[0]!, 'desk/status', call)
    await waitUntil('the call to run', () => findExecuting(fleet) !== undefined)
    await findExecuting(fleet)!.host.setFaults({ freeze: true })
    const result = await answer
    expect(result.status).to.equal(200)
    expect(result.elapsedMs).to.be.below(10_000)
  })

  it('should retry an idempotent call that stalled before its endpoint had answered any call of its class', async () => {
    fleet = await startFleet({ engines: [], services: [{ serviceMs: 300 }, { serviceMs: 300 }] })
    const answer = callService(fleet.gateways[0]!, 'desk/status', { method: 'GET' })
    await waitUntil('the call to run', () => findExecuting(fleet) !== undefined)
    await findExecuting(fleet)!.host.setFaults({ freeze: true })
    const result = await answer
    expect(result.status).to.equal(200)
    expect(result.elapsedMs).to.be.below(10_000)
  })

  it('should retry an idempotent call whose answer is lost', async () => {
    fleet = await startFleet({ engines: [], services: [{}, {}] })
    await fleet.desks[0]!.host.setFaults({ executeThenLoseAnswer: 1 })
    await fleet.desks[1]!.host.setFaults({ executeThenLoseAnswer: 1 })
    const result = await callService(fleet.gateways[0]!, 'desk/status', { method: 'GET' })
    expect(result.status).to.equal(200)
  })
})

function findExecuting (fleet: Fleet): ServiceServer | undefined {
  return fleet.desks.find(desk => desk.getRecord().executions.some(execution => execution.state === 'running'))
}
