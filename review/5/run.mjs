// Many users come at once, with large request bodies within the configured bound. The platform kills a process whose memory
// exceeds its machine's.
import { readFileSync } from 'node:fs'
import http from 'node:http'

import { BOUNDS, HAS_TROUBLE, runCase, sendRequest, sleep } from '../lib/harness.mjs'

const EVENTS = 57
const INTERVAL_MS = 100
/** Bytes of a request body; the configuration allows 4,194,304. */
const BODY_BYTES = 4_000_000
/** Requests a second at each gateway, and the factor of the burst. */
const REQUESTS_PER_S = 2
const BURST = 2.4
const BURST_MS = 9000
const CALM_MS = 12_000
const MS_PER_SECOND = 1000
const SAMPLE_INTERVAL_MS = 50

/** Reads the memory of a process, without the pages of program files that processes share. */
function readMemoryMb (pid) {
  try {
    return Number(/^RssAnon:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
  } catch {
    return 0
  }
}

await runCase(import.meta.url, async fleet => {
  fleet.configure(1, {
    routes: [{ name: 'quote-draft', pathPrefix: '/stream/', kind: 'streaming', resumable: true, service: 'llm', timeoutMs: 12_000, targetLatencyMs: 2000, targetGapMs: 800 }],
    services: [{ name: 'llm', engine: { slots: 64, kvCapacity: 438_321 } }]
  })
  for (const id of ['r-1', 'r-2', 'r-3', 'r-4', 'r-5', 'r-6']) await fleet.startRunner({ id, service: 'llm', intervalMs: INTERVAL_MS })
  for (const name of ['gateway-1', 'gateway-2']) await fleet.startGateway(name)
  await fleet.waitUntilReady()

  // the platform: kills a process over its memory; one that ended is not started again, so that its requests stay apart
  const killedAtMs = new Map()
  const peakMb = new Map()
  const sampler = setInterval(() => {
    for (const { name, child } of fleet.gateways) {
      const memoryMb = readMemoryMb(child.pid)
      peakMb.set(name, Math.max(peakMb.get(name) ?? 0, memoryMb))
      if (memoryMb <= BOUNDS.memoryMb || killedAtMs.has(name)) continue
      killedAtMs.set(name, Date.now())
      fleet.record(`platform kills ${name}: ${memoryMb.toFixed(0)} MB of ${BOUNDS.memoryMb} MB in use`)
      child.kill('SIGKILL')
    }
  }, SAMPLE_INTERVAL_MS)

  const body = 'x'.repeat(BODY_BYTES)
  const agent = new http.Agent({ keepAlive: true })
  const pending = []
  const startedAtMs = Date.now()
  const untilMs = startedAtMs + CALM_MS + BURST_MS
  let due = 0
  for (let nowMs = startedAtMs; nowMs < untilMs; nowMs = Date.now()) {
    const isBurst = HAS_TROUBLE && nowMs - startedAtMs >= CALM_MS
    due += REQUESTS_PER_S * (isBurst ? BURST : 1) * SAMPLE_INTERVAL_MS / MS_PER_SECOND
    for (; due >= 1; due -= 1) for (const gateway of fleet.gateways) if (!killedAtMs.has(gateway.name)) pending.push(sendRequest(gateway, { path: `/stream/q?events=${EVENTS}`, body, agent, headers: { 'Tanagerwick-Model-Name': 'm' } }))
    await sleep(SAMPLE_INTERVAL_MS)
  }
  const results = await Promise.all(pending)
  clearInterval(sampler)
  for (const [name, megabytes] of peakMb) fleet.record(`gateway ${name} used up to ${megabytes.toFixed(0)} MB`)
  const lost = []
  for (const { requestId, gateway, status, ids, end } of results) {
    fleet.record(`client ${requestId} at ${gateway} status ${status} events ${ids.length} end ${end}`)
    const hasBegun = fleet.reports.some(report => report.event === 'began' && report.requestId === requestId)
    if (hasBegun && end !== 'complete') lost.push(`LOST: request ${requestId} was passed on to a sound runner, and ${gateway} closed its channel (${end}) after ${ids.length} of ${EVENTS} events`)
  }
  // the rule allows three
  return lost.length > 3 ? lost : []
})
