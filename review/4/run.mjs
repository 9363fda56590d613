// Runners crash, one after the other; each answers streams either in chunks or without framing.
import { HAS_TROUBLE, runCase, sendRequest, sleep } from '../lib/harness.mjs'

const EVENTS = 57
const INTERVAL_MS = 80
const STREAMS = 180
const CHUNKED = ['r-1', 'r-2', 'r-3']
const UNFRAMED = ['r-4', 'r-5', 'r-6']

await runCase(import.meta.url, async fleet => {
  fleet.configure(1, {
    routes: [{ name: 'floor-query', pathPrefix: '/stream/', kind: 'streaming', resumable: true, service: 'llm', timeoutMs: 15_000, targetLatencyMs: 400, targetGapMs: 200 }],
    services: [{ name: 'llm', engine: { slots: 64, kvCapacity: 438_321 } }]
  })
  for (const id of CHUNKED) await fleet.startRunner({ id, service: 'llm', framing: 'chunked', intervalMs: INTERVAL_MS })
  for (const id of UNFRAMED) await fleet.startRunner({ id, service: 'llm', framing: 'none', intervalMs: INTERVAL_MS })
  for (const name of ['gateway-1', 'gateway-2']) await fleet.startGateway(name)
  await fleet.waitUntilReady()

  const pending = []
  for (let index = 0; index < STREAMS; index++) {
    pending.push(sendRequest(fleet.gateways[index % 2], { path: `/stream/q?events=${EVENTS}`, deadlineMs: 15_000, headers: { 'Tanagerwick-Model-Name': 'm' } }))
    await sleep(8)
  }
  if (HAS_TROUBLE) {
    await fleet.killRunner('r-1')
    await sleep(1000)
    await fleet.killRunner('r-4')
  }
  const violations = []
  for (const result of await Promise.all(pending)) {
    const { requestId, status, isChunked, ids, end } = result
    fleet.record(`client ${requestId} status ${status} ${isChunked ? 'chunked' : 'without framing'} events ${ids.length} last ${ids.at(-1)} end ${end}`)
    const runs = fleet.reports.filter(report => report.event === 'began' && report.requestId === requestId).map(({ runner, first }) => `${runner} from ${first}`)
    // a chunked answer that ends with its last chunk says that it is whole
    if (status === 200 && isChunked && end === 'complete' && ids.at(-1) !== EVENTS) violations.push(`ORDER: stream ${requestId} ended as complete after event ${ids.at(-1)} of ${EVENTS}; it ran at ${runs.join(', then ')}`)
    for (const [index, id] of ids.entries()) if (id !== index + 1) { violations.push(`ORDER: stream ${requestId} has event ${id} at place ${index + 1}`); break }
  }
  return violations
})
