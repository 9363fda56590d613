// Runners answer without framing, and half of them break some answers off with a reset.
import { HAS_TROUBLE, runCase, sendRequest, sleep } from '../lib/harness.mjs'

const RUNNERS = ['r-1', 'r-2', 'r-3', 'r-4', 'r-5', 'r-6']
/** Runners that break answers off, and the share of their answers. */
const FAULTY = new Set(['r-1', 'r-2', 'r-3'])
const BROKEN_OFF = 0.05
/** Three spells of 5 s in which answers are broken off, 1 s apart. */
const PLAY_MS = 18_000
const REQUEST_INTERVAL_MS = 10

await runCase(import.meta.url, async fleet => {
  fleet.configure(1, {
    routes: [
      { name: 'status-read', pathPrefix: '/read/', kind: 'idempotent', service: 'desk', timeoutMs: 1000, targetLatencyMs: 121 },
      { name: 'order-confirm', pathPrefix: '/confirm/', kind: 'non_idempotent', service: 'desk', timeoutMs: 1000, targetLatencyMs: 121 }
    ],
    services: [{ name: 'desk', maxConnections: 100 }]
  })
  for (const id of RUNNERS) await fleet.startRunner({ id, service: 'desk', framing: 'none', answerMs: 21, breakOff: HAS_TROUBLE && FAULTY.has(id) ? BROKEN_OFF : 0 })
  for (const name of ['gateway-1', 'gateway-2']) await fleet.startGateway(name)
  await fleet.waitUntilReady()

  const pending = []
  const startedAtMs = Date.now()
  while (Date.now() - startedAtMs < PLAY_MS) {
    for (const gateway of fleet.gateways) {
      const isRead = pending.length % 4 < 2
      pending.push(sendRequest(gateway, { path: `${isRead ? '/read' : '/confirm'}/${pending.length}`, method: isRead ? 'GET' : 'POST', body: isRead ? '' : `order ${pending.length}`, deadlineMs: 1000 }))
    }
    await sleep(REQUEST_INTERVAL_MS)
  }
  const violations = []
  for (const { requestId, status, headers, body, end } of await Promise.all(pending)) {
    fleet.record(`client ${requestId} status ${status} body ${body.length} bytes end ${end}`)
    const wasBrokenOff = fleet.reports.some(report => report.event === 'brokenOff' && report.requestId === requestId)
    const isWhole = body.startsWith(`answer to ${requestId} `) && body.endsWith(' end')
    // the client sees an orderly end: the answer looks complete
    if (status === 200 && end === 'complete' && headers['tanagerwick-runner-seal'] !== undefined && !isWhole) violations.push(`MIXED: request ${requestId} got a 200 that looks complete with ${body.length} bytes of the body${wasBrokenOff ? '; its runner had reset the answer' : ''}`)
  }
  return violations
})
