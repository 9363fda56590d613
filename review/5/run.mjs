// Half of the runners hand out wrong bytes for 5 s: in one of 33 answers a piece comes twice, in one write with the piece before.
import { HAS_TROUBLE, runCase, sendRequest, sleep } from '../lib/harness.mjs'

const EVENTS = 40
const INTERVAL_MS = 25
const STREAMS = 700
const RUNNERS = ['r-1', 'r-2', 'r-3', 'r-4', 'r-5', 'r-6']
/** Runners that spoil answers, and the share of their answers. */
const FAULTY = new Set(['r-1', 'r-2', 'r-3'])
const SPOILED = 0.03

await runCase(import.meta.url, async fleet => {
  fleet.configure(1, {
    routes: [{ name: 'quote-draft', pathPrefix: '/stream/', kind: 'streaming', resumable: true, service: 'llm', timeoutMs: 12_000, targetLatencyMs: 2000, targetGapMs: 800 }],
    services: [{ name: 'llm', engine: { slots: 64, kvCapacity: 438_321 } }]
  })
  for (const id of RUNNERS) await fleet.startRunner({ id, service: 'llm', intervalMs: INTERVAL_MS, spoil: HAS_TROUBLE && FAULTY.has(id) ? SPOILED : 0 })
  for (const name of ['gateway-1', 'gateway-2']) await fleet.startGateway(name)
  await fleet.waitUntilReady()

  const pending = []
  for (let index = 0; index < STREAMS; index++) {
    pending.push(sendRequest(fleet.gateways[index % 2], { path: `/stream/q?events=${EVENTS}`, headers: { 'Tanagerwick-Model-Name': 'm' } }))
    await sleep(7)
  }
  const violations = []
  for (const { requestId, status, ids, end } of await Promise.all(pending)) {
    fleet.record(`client ${requestId} status ${status} events ${ids.length} last ${ids.at(-1)} end ${end}`)
    const runs = fleet.reports.filter(report => report.event === 'began' && report.requestId === requestId).map(({ runner, first }) => `${runner} from ${first}`)
    const gapAt = ids.findIndex((id, index) => id !== index + 1)
    if (gapAt !== -1) violations.push(`ORDER: stream ${requestId} has event ${ids[gapAt]} after event ${ids[gapAt - 1]}, end ${end}; it ran at ${runs.join(', then ')}`)
  }
  return violations
})
