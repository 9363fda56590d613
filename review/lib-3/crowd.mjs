// Plays a crowd of clients that keep their channels open, and checks whether a gateway still takes new channels.
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import { sendAttempt } from './client.mjs'
import { addCleanup, record, startGateways, TROUBLE } from './fleet.mjs'
import { buildAnswerHeaders, Runner } from './runner.mjs'
import { Store } from './store.mjs'

export const HOST = 'ficu95.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'
export const PATH = '/puxa403/2f'
export const MAX_BODY_BYTES = 4_194_304
const CONTACT_MS = 3000
/** More than a machine with 4,100 descriptors takes at once. */
const CROWD = 1900
/** Ordinary clients, how many of them must try, and the milliseconds between two attempts of one of them. */
const CLIENTS = 8
const MIN_TRYING = 7
const ATTEMPT_GAP_MS = 250
const ATTEMPT_MS = 1500

const config = {
  version: 1,
  routes: [{ name: 'formula-lookup', host: HOST, pathPrefix: '/puxa403/', kind: 'idempotent', timeoutMs: ATTEMPT_MS, targetLatencyMs: 386, priority: 2, maxAttempts: 2, service: 'app' }],
  services: [{ name: 'app', maxConnections: 100 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [KEY] }]
}

function openCrowd (port, buildBytes) {
  const counts = { opened: 0, answered: {}, closed: 0 }
  const sockets = []
  addCleanup(async () => { for (const socket of sockets) socket.destroy() })
  for (let index = 0; index < CROWD; index++) {
    const socket = net.connect(port, '127.0.0.1')
    sockets.push(socket)
    socket.on('connect', () => {
      counts.opened += 1
      socket.write(buildBytes(index))
    })
    socket.once('data', bytes => {
      const status = bytes.toString('latin1', 9, 12)
      counts.answered[status] = (counts.answered[status] ?? 0) + 1
    })
    socket.on('error', () => {})
    socket.on('close', () => { counts.closed += 1 })
  }
  return counts
}

function serveLookup (request, response, runner) {
  request.resume()
  record(runner.id, `runs ${request.headers['tanagerwick-request-attempt-id']}`)
  setTimeout(() => response.writeHead(200, { ...buildAnswerHeaders(request, runner), 'content-length': 5 }).end('found'), 20)
}

/** Finds the longest time in which enough clients tried to open a channel and none got an answer. */
function findLongestRefusalMs (attempts) {
  let longestMs = 0
  const taken = attempts.filter(({ isTaken }) => isTaken).map(({ atMs }) => atMs)
  const bounds = [attempts[0].atMs, ...taken, attempts.at(-1).atMs]
  for (let index = 1; index < bounds.length; index++) {
    const inside = attempts.filter(({ atMs, isTaken }) => !isTaken && atMs >= bounds[index - 1] && atMs <= bounds[index])
    if (new Set(inside.map(({ client }) => client)).size >= MIN_TRYING) longestMs = Math.max(longestMs, bounds[index] - bounds[index - 1])
  }
  return longestMs
}

/**
 * Opens the crowd at one gateway, lets ordinary clients try beside it for `watchedMs`, and checks the rule RECOVER:
 * a machine in touch that says it is ready takes no new channel for contactMs, while seven clients or more try.
 */
export async function playCrowd ({ buildBytes, watchedMs }) {
  const store = await new Store().open()
  store.put('config', 'main', config)
  for (const id of ['i-31b174c273', 'i-fc002de080', 'i-77d0c1e9b2']) await new Runner({ store, id, service: 'app', zone: 'a', slots: 6, serve: serveLookup }).start()
  const [gateway] = await startGateways(['a'], store.address, { memoryMb: 350, maxFds: 4100 })
  await sleep(CONTACT_MS)
  const counts = TROUBLE ? openCrowd(gateway.ports.callers, buildBytes) : { opened: 0, answered: {}, closed: 0 }
  await sleep(1500)
  record('crowd', `${counts.opened} channels opened, answered ${JSON.stringify(counts.answered)}, ${counts.closed} closed`)

  const attempts = []
  const readiness = []
  const untilMs = performance.now() + watchedMs
  async function watchReadiness () {
    while (performance.now() < untilMs) {
      readiness.push(await gateway.isReady())
      await sleep(1000)
    }
  }
  async function tryChannels (client) {
    await sleep(client * 30)
    while (performance.now() < untilMs) {
      const atMs = performance.now()
      const { status } = await sendAttempt(gateway.ports.callers, { method: 'GET', path: PATH, host: HOST, key: KEY, timeLimitMs: ATTEMPT_MS })
      attempts.push({ client, atMs, isTaken: status !== null })
      await sleep(ATTEMPT_GAP_MS)
    }
  }
  await Promise.all([watchReadiness(), ...Array.from({ length: CLIENTS }, async (_, client) => await tryChannels(client))])

  attempts.sort((one, other) => one.atMs - other.atMs)
  const longestMs = findLongestRefusalMs(attempts)
  const taken = attempts.filter(({ isTaken }) => isTaken).length
  const isReady = readiness.every(Boolean)
  record('crowd', `${counts.opened} channels opened, answered ${JSON.stringify(counts.answered)}, ${counts.closed} closed`)
  record('platform', `readiness, once a second: ${readiness.map(Number).join(' ')}`)
  const message = `${taken} of ${attempts.length} attempts of ${CLIENTS} ordinary clients were taken; for ${Math.round(longestMs)} ms none was (more than ${CONTACT_MS} ms breaks RECOVER); ready all the while: ${isReady}`
  return { isBroken: isReady && longestMs > CONTACT_MS, message }
}
