// The store is silent for some seconds while the runners of a service are restarted in place, one after the other, with a
// newer version of their software.
import { HAS_TROUBLE, runCase, sendRequest, sleep } from '../lib/harness.mjs'

const RUNNERS = ['r-1', 'r-2', 'r-3', 'r-4', 'r-5', 'r-6']
const EVENTS = 40
const INTERVAL_MS = 60
const PLAY_MS = 14_000
/** Milliseconds between two requests at each of the two gateways. */
const REQUEST_INTERVAL_MS = 25
const TROUBLE_AT_MS = 5000
const STORE_SILENT_MS = 4500
const RESTARTS = 5
const RESTART_GAP_MS = 700
/** Streams that the rule allows. */
const MAX_MIXED = 2

await runCase(import.meta.url, async fleet => {
  fleet.configure(1, {
    routes: [{ name: 'quote-draft', pathPrefix: '/stream/', kind: 'streaming', resumable: true, service: 'llm', timeoutMs: 12_000, targetLatencyMs: 2000, targetGapMs: 800 }],
    services: [{ name: 'llm', engine: { slots: 64, kvCapacity: 438_321 } }]
  })
  for (const id of RUNNERS) await fleet.startRunner({ id, service: 'llm', intervalMs: INTERVAL_MS })
  for (const name of ['gateway-1', 'gateway-2']) await fleet.startGateway(name)
  await fleet.waitUntilReady()

  const playTrouble = async () => {
    await sleep(TROUBLE_AT_MS)
    if (!HAS_TROUBLE) return
    fleet.record('the store falls silent')
    fleet.store.isSilent = true
    setTimeout(() => {
      fleet.store.isSilent = false
      fleet.record('the store answers again')
    }, STORE_SILENT_MS)
    await sleep(200)
    for (const id of RUNNERS.slice(0, RESTARTS)) {
      const { settings } = fleet.runners.get(id)
      await fleet.killRunner(id)
      await fleet.startRunner({ ...settings, version: 'v2' })
      await sleep(RESTART_GAP_MS)
    }
  }
  const trouble = playTrouble()
  const pending = []
  const startedAtMs = Date.now()
  while (Date.now() - startedAtMs < PLAY_MS) {
    for (const gateway of fleet.gateways) pending.push(sendRequest(gateway, { path: `/stream/q?events=${EVENTS}`, body: `prompt ${pending.length}`, headers: { 'Tanagerwick-Model-Name': 'm' } }))
    await sleep(REQUEST_INTERVAL_MS)
  }
  await trouble
  const mixed = []
  for (const { requestId, status, ids, end } of await Promise.all(pending)) {
    fleet.record(`client ${requestId} status ${status} events ${ids.length} last ${ids.at(-1)} end ${end}`)
    const runs = fleet.reports.filter(report => report.event === 'began' && report.requestId === requestId)
    // a run of which the client has events: of those from its first one on, up to the first one of the next run
    const holding = runs.filter(({ first }, index) => ids.some(id => id >= first && id < (runs[index + 1]?.first ?? Infinity)))
    if (new Set(holding.map(({ version }) => version)).size > 1) mixed.push(`ORDER: stream ${requestId} holds events of ${holding.map(({ runner, version, first }) => `${runner} ${version} from ${first}`).join(', then ')}`)
  }
  return mixed.length > MAX_MIXED ? mixed : []
})
