// A gateway is stopped as planned while it passes streams on; half of the runners answer without framing.
import { BOUNDS, HAS_TROUBLE, runCase, sendRequest, sleep } from '../lib/harness.mjs'

const EVENTS = 57
/** Pause between two events, below the longest one of the route. */
const INTERVAL_MS = 190
const STREAMS = 40
const RESTART_DELAY_MS = 1000

await runCase(import.meta.url, async fleet => {
  fleet.configure(1, {
    routes: [{ name: 'floor-query', pathPrefix: '/stream/', kind: 'streaming', resumable: true, service: 'llm', timeoutMs: 15_000, targetLatencyMs: 400, targetGapMs: 200 }],
    services: [{ name: 'llm', engine: { slots: 64, kvCapacity: 438_321 } }]
  })
  for (const id of ['r-1', 'r-2']) await fleet.startRunner({ id, service: 'llm', framing: 'chunked', intervalMs: INTERVAL_MS })
  for (const id of ['r-3', 'r-4']) await fleet.startRunner({ id, service: 'llm', framing: 'none', intervalMs: INTERVAL_MS })
  for (const name of ['gateway-1', 'gateway-2']) await fleet.startGateway(name)
  await fleet.waitUntilReady()

  const pending = []
  for (let index = 0; index < STREAMS; index++) {
    pending.push(sendRequest(fleet.gateways[index % 2], { path: `/stream/q?events=${EVENTS}`, deadlineMs: 15_000, headers: { 'Tanagerwick-Model-Name': 'm' } }))
    await sleep(25)
  }
  if (HAS_TROUBLE) {
    const [gateway] = fleet.gateways
    fleet.record(`platform sends SIGTERM to ${gateway.name}; SIGKILL would follow after ${BOUNDS.graceS} s`)
    gateway.child.kill('SIGTERM')
    const killTimer = setTimeout(() => gateway.child.kill('SIGKILL'), BOUNDS.graceS * 1000)
    gateway.child.once('exit', () => {
      clearTimeout(killTimer)
      setTimeout(() => fleet.runGateway(gateway), RESTART_DELAY_MS)
    })
  }
  const results = await Promise.all(pending)
  await sleep(2 * RESTART_DELAY_MS)
  const violations = []
  for (const { requestId, gateway, status, isChunked, ids, end } of results) {
    fleet.record(`client ${requestId} at ${gateway} status ${status} ${isChunked ? 'chunked' : 'without framing'} events ${ids.length} last ${ids.at(-1)} end ${end}`)
    const own = fleet.reports.filter(report => report.requestId === requestId)
    const dropped = own.find(({ event }) => event === 'dropped')
    // a stream whose channel ends without a reset looks whole
    if (status === 200 && end === 'complete' && ids.at(-1) !== EVENTS) violations.push(`ORDER: stream ${requestId} at ${gateway} ended as complete after event ${ids.at(-1)} of ${EVENTS}; its runner ${own[0].runner} had written ${dropped?.last} when the gateway left`)
  }
  return violations
})
