// Plays uploads of large bodies through two gateways, whose processes are ended where they exceed the memory of their machine.
import { randomInt } from 'node:crypto'
import net from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import { sendAttempt } from './client.mjs'
import { addCleanup, record, startGateways } from './fleet.mjs'
import { Store } from './store.mjs'

const HOST = 'ficu95.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const PATH = '/puxa403/2f'
const MAX_BODY_BYTES = 4_194_304
/** Ends of its process after which a machine counts, of all machines in use. */
const ENDS = 3
const PLAYED_MS = 90_000
/** Milliseconds that a client waits for its answer. */
const ATTEMPT_MS = 1500
const RUNNERS = ['i-31b174c273', 'i-fc002de080', 'i-77d0c1e9b2']

const config = {
  version: 1,
  routes: [{ name: 'order-confirm', host: HOST, pathPrefix: '/puxa403/', kind: 'non_idempotent', timeoutMs: ATTEMPT_MS, targetLatencyMs: 386, priority: 2, maxAttempts: 1, service: 'app' }],
  services: [{ name: 'app', maxConnections: 100 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'hule930', apiKeys: [KEY] }]
}

/**
 * Starts a runner that answers a request `workMs` after it has read its body. With `laterMs` it answers as soon as it has
 * read the head, keeps the channel and reads the body so much later.
 */
async function startRunner (store, id, { workMs, laterMs }) {
  const channels = new Set()
  const server = net.createServer(socket => {
    channels.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => channels.delete(socket))
    let unread = Buffer.alloc(0)
    let dueBytes = 0
    let attemptId = null
    const answer = answered => socket.write(`HTTP/1.1 200 OK\r\nTanagerwick-Request-Attempt-Id: ${answered}\r\nTanagerwick-Runner-Seal: seal.${id}.${answered}\r\nContent-Length: 2\r\n\r\nok`)
    const read = () => {
      const bodyBytes = Math.min(dueBytes, unread.length)
      dueBytes -= bodyBytes
      unread = unread.subarray(bodyBytes)
      if (attemptId !== null && dueBytes === 0) {
        record(id, `has read the body of ${attemptId}`)
        if (laterMs === null) setTimeout(answer, workMs, attemptId)
        attemptId = null
      }
      const end = unread.indexOf('\r\n\r\n')
      if (dueBytes > 0 || end === -1) return
      const head = unread.toString('latin1', 0, end + 2)
      unread = unread.subarray(end + 4)
      attemptId = /^tanagerwick-request-attempt-id: (.*)$/im.exec(head)[1].trim()
      dueBytes = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0)
      record(id, `runs ${attemptId}, with a body of ${dueBytes} bytes`)
      if (laterMs !== null) {
        answer(attemptId)
        socket.pause()
        setTimeout(() => socket.resume(), laterMs).unref()
      }
      read()
    }
    socket.on('data', bytes => {
      unread = unread.length === 0 ? bytes : Buffer.concat([unread, bytes])
      read()
    })
  })
  // a loopback address of its own, of which the system has kept nothing from earlier channels
  const host = `127.${randomInt(1, 255)}.${randomInt(1, 255)}.${randomInt(1, 255)}`
  await new Promise(resolve => server.listen(0, host, resolve))
  const born = Date.now()
  let seq = 0
  const beat = () => store.put('servers', id, { service: 'app', address: `${host}:${server.address().port}`, zone: 'a', version: '1', slots: 6, state: 'ready', coldRemainingMs: 0, seq: seq++, born })
  beat()
  const timer = setInterval(beat, 1200)
  addCleanup(async () => {
    clearInterval(timer)
    server.close()
    for (const socket of channels) socket.destroy()
  })
}

/** Starts a gateway again a short delay after the end of its process. */
async function restart (state) {
  await state.gateway.child?.exited
  await sleep(500)
  state.gateway.start()
  await state.gateway.waitUntilReady()
  state.isEnding = false
  state.restart = null
}

/**
 * Lets some clients at each of two gateways send one upload after the other, and checks the rule on processes that end by
 * themselves: two machines at least, three times each.
 */
export async function playUploads ({ callers = 1, memoryMb, bodyBytes, uploads, pauseMs, workMs, laterMs = null }) {
  const store = await new Store().open()
  store.put('config', 'main', config)
  for (const id of RUNNERS) await startRunner(store, id, { workMs, laterMs })
  const gateways = await startGateways(['a', 'a'], store.address, { memoryMb })
  const states = gateways.map(gateway => ({ gateway, ends: 0, uploads: 0, answered: 0, peakMb: 0, isEnding: false, restart: null }))
  // what the platform does with a process that exceeds its memory
  const timer = setInterval(() => {
    for (const state of states) {
      const takenMb = state.gateway.readMemoryMb()
      if (takenMb === null || state.isEnding) continue
      state.peakMb = Math.max(state.peakMb, takenMb)
      if (takenMb <= memoryMb) continue
      record('platform', `${state.gateway.name} takes ${takenMb.toFixed(0)} MB of ${memoryMb}: killed`)
      state.isEnding = true
      state.ends += 1
      state.gateway.signal('SIGKILL')
    }
  }, 50)
  await sleep(1000)
  const body = Buffer.alloc(bodyBytes, 0x61)
  const untilMs = performance.now() + PLAYED_MS
  await Promise.all(states.flatMap(state => Array.from({ length: callers }, () => state)).map(async state => {
    const { gateway } = state
    while (state.uploads < uploads && state.ends < ENDS && performance.now() < untilMs) {
      const { status } = await sendAttempt(gateway.ports.callers, { path: PATH, host: HOST, key: KEY, timeLimitMs: ATTEMPT_MS, body })
      state.uploads += 1
      if (status === 200) state.answered += 1
      record('platform', `${gateway.name} takes ${gateway.readMemoryMb()?.toFixed(0)} MB after ${state.uploads} uploads`)
      await sleep(pauseMs)
      if (state.isEnding) await (state.restart ??= restart(state))
    }
  }))
  clearInterval(timer)
  const parts = states.map(({ gateway, ends, uploads, answered, peakMb }) => `${gateway.name} exceeded its memory ${ends} times (${answered} of ${uploads} uploads of ${bodyBytes} bytes answered, at most ${peakMb.toFixed(0)} of ${memoryMb} MB)`)
  return { isBroken: states.every(({ ends }) => ends >= ENDS), message: parts.join('; ') }
}
