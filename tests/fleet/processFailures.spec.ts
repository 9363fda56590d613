import { expect } from 'chai'

import { Progress } from '../../src/base/progress'
import { toSidecarKey } from '../../src/membership/membershipRecords'
import { startFaultProxy } from '../../standins/network/faultProxy'
import { countExecutions, findLongPrompt, LONG_CHAT, waitForRunningEngine } from './answers'
import { callService, getExpectedAnswer, sendChat } from './callers'
import { startFleet, waitUntil } from './fleetFixture'

import type { FaultProxy } from '../../standins/network/faultProxy'
import type { Fleet } from './fleetFixture'
import type { FleetProcess } from './fleetProcess'

const BOOKING = { idempotencyKey: 'booking-1', body: '{"mandrel":1}' }
const SLOW_SERVICE = { serviceMs: 400 }

describe('process failures', () => {
  let fleet: Fleet

  afterEach(async () => {
    await fleet.stop()
  })

  it('should finish a stream when its sidecar is killed', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    const prompt = findLongPrompt()
    const answer = sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)
    const engine = await waitForRunningEngine(fleet.engines)
    fleet.sidecars[fleet.engines.indexOf(engine)]!.kill('SIGKILL')
    expect(await answer).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
  })

  it('should finish a stream when its sidecar is paused and resumed', async () => {
    fleet = await startFleet({ engines: [{}, {}] })
    const prompt = findLongPrompt()
    const answer = sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)
    const engine = await waitForRunningEngine(fleet.engines)
    const sidecar = fleet.sidecars[fleet.engines.indexOf(engine)]!
    sidecar.kill('SIGSTOP')
    const result = await answer
    sidecar.kill('SIGCONT')
    expect(result).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
  })

  it('should continue a stream whose connection between gateway and sidecar stalled', async () => {
    fleet = await startFleet({ engines: [{}] })
    const proxy = await startProxyBefore(fleet, fleet.sidecars[0]!, 'engine-1')
    const prompt = findLongPrompt()
    const answer = sendChat(fleet.gateways[0]!, prompt, LONG_CHAT)
    await waitForRunningEngine(fleet.engines)
    proxy.setConnectionsStalled()
    expect(await answer).to.include({ isComplete: true, text: getExpectedAnswer(prompt, LONG_CHAT) })
    expect(fleet.engines[0]!.getRecord().runs, 'the same run continues').to.have.length(1)
    await proxy.close()
  })

  it('should serve within 2 s when the pooled connections to a sidecar stalled', async () => {
    fleet = await startFleet({ engines: [{}] })
    const proxy = await startProxyBefore(fleet, fleet.sidecars[0]!, 'engine-1')
    await sendChat(fleet.gateways[0]!, 'a first question')
    proxy.setConnectionsStalled()
    const result = await sendChat(fleet.gateways[0]!, 'a second question')
    expect(result).to.include({ isComplete: true, text: getExpectedAnswer('a second question') })
    expect(result.elapsedMs).to.be.below(2000)
    await proxy.close()
  })

  it('should not book twice when the sidecar is killed during a booking and replaced', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [SLOW_SERVICE] })
    const booking = callService(fleet.gateways[0]!, 'desk/bookings', BOOKING)
    await waitUntil('the booking to run', () => countExecutions(fleet.desks) === 1)
    fleet.sidecars[0]!.kill('SIGKILL')
    expect(await booking).to.include({ execution: 'may_have_run' })
    await fleet.startSidecar('desk-1', fleet.desks[0]!.host.address)
    await waitUntil('the replacement sidecar to serve', async () => (await callService(fleet.gateways[1]!, 'desk/status', { method: 'GET' })).status === 200)
    const again = await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)
    expect(again).to.include({ execution: 'may_have_run' })
    expect(countBookings(fleet)).to.equal(1)
  })

  it('should not book twice when the sidecar is paused during a booking and the caller retries', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [SLOW_SERVICE, SLOW_SERVICE] })
    const booking = callService(fleet.gateways[0]!, 'desk/bookings', BOOKING)
    await waitUntil('the booking to run', () => countExecutions(fleet.desks) === 1)
    const sidecar = fleet.sidecars[fleet.desks.findIndex(desk => desk.getRecord().executions.length > 0)]!
    sidecar.kill('SIGSTOP')
    const again = await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)
    expect(again.execution).to.equal('may_have_run')
    sidecar.kill('SIGCONT')
    await booking
    await waitUntil('the answer to the booking to be stored', async () => (await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)).status === 200)
    expect(countBookings(fleet)).to.equal(1)
  })

  it('should not book twice when the gateway is killed and the caller retries through another', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [SLOW_SERVICE, SLOW_SERVICE] })
    const booking = callService(fleet.gateways[0]!, 'desk/bookings', BOOKING).catch(() => 'lost')
    await waitUntil('the booking to run', () => countExecutions(fleet.desks) === 1)
    fleet.gateways[0]!.kill('SIGKILL')
    expect(await booking).to.equal('lost')
    await waitUntil('the stored answer', async () => (await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)).status === 200)
    expect(countBookings(fleet)).to.equal(1)
  })

  it('should return the stored answer when the caller\'s connection stalled', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [SLOW_SERVICE] })
    const proxy = await startFaultProxy(fleet.gateways[0]!.address)
    const callerAbort = new AbortController()
    const booking = fetch(`http://${proxy.address}/services/desk/bookings`, {
      method: 'POST',
      headers: { authorization: 'Bearer key-of-shop', 'idempotency-key': BOOKING.idempotencyKey, 'content-type': 'application/json' },
      body: BOOKING.body,
      signal: callerAbort.signal
    }).catch(() => 'lost')
    await waitUntil('the booking to run', () => countExecutions(fleet.desks) === 1)
    proxy.setConnectionsStalled()
    callerAbort.abort()
    await booking
    await waitUntil('the stored answer', async () => (await callService(fleet.gateways[1]!, 'desk/bookings', BOOKING)).status === 200)
    expect(countBookings(fleet)).to.equal(1)
    await proxy.close()
  })

  it('should report not_run only for requests that did not run when the sidecar is killed during a burst', async () => {
    fleet = await startFleet({ gateways: 2, engines: [], services: [{ serviceMs: 60 }, { serviceMs: 60 }], slots: 2 })
    const calls = Array.from({ length: 40 }, async (_, index) => {
      const key = `booking-${index}`
      return { key, result: await callService(fleet.gateways[index % 2]!, 'desk/bookings', { idempotencyKey: key, body: JSON.stringify({ mandrel: index }) }) }
    })
    await waitUntil('some bookings', () => countExecutions(fleet.desks) > 5)
    fleet.sidecars[0]!.kill('SIGKILL')
    const results = await Promise.all(calls)
    const executed = fleet.desks.flatMap(desk => desk.getRecord().executions.map(execution => execution.idempotencyKey))
    const runTwice = executed.filter((key, index) => executed.indexOf(key) !== index)
    const falselyNotRun = results.filter(({ key, result }) => result.execution === 'not_run' && executed.includes(key))
    const lostAnswers = results.filter(({ key, result }) => result.status === 200 && !executed.includes(key))
    expect({ runTwice, falselyNotRun, lostAnswers }).to.deep.equal({ runTwice: [], falselyNotRun: [], lostAnswers: [] })
  })
})

/** Counts executed bookings, without status calls. */
function countBookings (fleet: Fleet): number {
  return fleet.desks.flatMap(desk => desk.getRecord().executions).filter(execution => execution.method === 'POST').length
}

/** Registers a proxy under a sidecar's key, so that gateways reach the sidecar through the proxy. */
async function startProxyBefore (fleet: Fleet, sidecar: FleetProcess, endpointName: string): Promise<FaultProxy> {
  const proxy = await startFaultProxy(sidecar.address)
  const progress = new Progress({ title: 'registering a proxy', timeoutMs: 5000 })
  const key = toSidecarKey(endpointName)
  const current = (await fleet.service.get(key, progress)).unwrapOr(null)
  await fleet.service.put(key, { ...current?.value as object, address: proxy.address }, { kind: 'version', version: current!.version }, progress)
  await waitUntil('the gateway to use the proxy', async () => {
    await sendChat(fleet.gateways[0]!, 'a probe')
    return proxy.countConnections() > 0
  })
  for (const engine of fleet.engines) engine.getRecord().runs.length = 0
  return proxy
}
