// One of the runners ends its streams inside an event, with the framing of their answers intact.
import { fileURLToPath } from 'node:url'

import { buildConfig, buildEntry, findPorts, isTroubled, readEvents, runCase, sendRequest, sleep } from '../lib-2/fleet.mjs'
import { Platform } from '../lib-2/store.mjs'

const RUNNERS = 4
const STREAMS = 24
const EVENTS = 20

await runCase(fileURLToPath(new URL('./record.txt', import.meta.url)), async fleet => {
  const platform = new Platform()
  await platform.open()
  platform.put('config/main', buildConfig())
  const ports = await findPorts(RUNNERS)
  for (const [index, port] of ports.entries()) {
    const flags = ['--events', String(EVENTS), ...(isTroubled && index === 0 ? ['--end-inside', '8'] : [])]
    const runner = await fleet.startRunner({ id: `i-${index}`, version: 'v1', port, flags })
    platform.put(`servers/${runner.id}`, buildEntry(runner, 'llm'))
  }
  const gateways = await fleet.startGateways(2, { storeAddress: platform.address })
  await sleep(3000)
  const streams = await Promise.all(Array.from({ length: STREAMS }, async (_, index) => {
    const id = `stream-${index}`
    const path = index % 4 < 2 ? `/stream/${id}` : `/single/stream/${id}`
    fleet.log(`client sends ${id} to ${gateways[index % 2].name}: ${path}`)
    const { status, body, isWhole, error } = await sendRequest(gateways[index % 2], { id, path, timeoutMs: 11_000 })
    const events = readEvents(body)
    fleet.log(`client got ${id}: status ${status}, ${events.length} of ${EVENTS} events, last bytes ${JSON.stringify(body.slice(-24))}, ${isWhole ? 'complete' : error}`)
    return { id, status, events, isWhole }
  }))
  return findProblem(streams)
})

/** ORDER: a stream ends as complete before its last piece. */
function findProblem (streams) {
  const short = streams.filter(({ status, events, isWhole }) => status === 200 && isWhole && events.length < EVENTS)
  return short.length > 0 ? `${short.length} of ${streams.length} streams ended as complete before their last event: ${short.map(({ id, events }) => `${id} after ${events.length}`).join(', ')}` : null
}
