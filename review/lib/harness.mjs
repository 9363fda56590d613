// Runs a small fleet on loopback: the store's stand-in, runners and gateways as processes of their own.
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as sleep } from 'node:timers/promises'

import { Store } from './store.mjs'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const RUNNER = fileURLToPath(new URL('./runner.mjs', import.meta.url))
/** The command of the deploy file. */
const GATEWAY_COMMAND = ['--max-old-space-size=120', 'target/gateway.cjs']
/** Settings of a small deployment; the names are those of the bounds and limits on the pages. */
export const BOUNDS = { heartbeatMs: 1200, revokeMs: 5000, graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, maxFds: 4100, memoryMb: 200, contactMs: 3000 }

export const HAS_TROUBLE = process.env.TROUBLE !== '0'
export const EXIT = { held: 0, broken: 1, notRun: 2 }

/** Ports below the range from which the system takes those of outgoing connections. */
const PORT_RANGE = { first: 12_000, count: 18_000 }
const takenPorts = new Set()

async function findFreePort () {
  for (;;) {
    const port = PORT_RANGE.first + Math.floor(Math.random() * PORT_RANGE.count)
    if (takenPorts.has(port)) continue
    takenPorts.add(port)
    const server = net.createServer()
    const isFree = await new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => resolve(true))
    })
    if (!isFree) continue
    await new Promise(resolve => server.close(resolve))
    return port
  }
}

export class Fleet {
  store = new Store()
  runners = new Map()
  gateways = []
  /** What the runners reported, in order of arrival. */
  reports = []
  #lines
  #folder = mkdtempSync(path.join(os.tmpdir(), 'review-'))
  #startedAtMs = Date.now()

  constructor (caseUrl) {
    this.#lines = createWriteStream(fileURLToPath(new URL('record.txt', caseUrl)))
  }

  get folder () {
    return this.#folder
  }

  record (text) {
    this.#lines.write(`${((Date.now() - this.#startedAtMs) / 1000).toFixed(3)} ${text}\n`)
  }

  async open () {
    await this.store.open()
  }

  /** Writes the operator's configuration. */
  configure (version, { routes, services, limits = {}, tenants = [{ name: 'tenant-a', apiKeys: ['key-a'], priority: 1 }] }) {
    this.store.put('config', 'main', {
      version,
      routes: routes.map(route => ({ host: 'review.example', kind: 'idempotent', timeoutMs: 12_000, targetLatencyMs: 2000, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false, ...route })),
      services: services.map(service => ({ healthPath: '/health', maxConnections: 360, protocol: 'h1', tls: false, ...service })),
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits },
      tenants
    })
    this.record(`configuration ${version} written`)
  }

  async startRunner (options) {
    const port = options.port ?? await findFreePort()
    const settings = { zone: 'zone-a', version: 'v1', framing: 'chunked', intervalMs: 100, answerMs: 50, heartbeatMs: BOUNDS.heartbeatMs, storeUrl: `http://${this.store.address}`, ...options, port }
    const child = spawn(process.execPath, [RUNNER, JSON.stringify(settings)], { stdio: ['ignore', 'pipe', 'inherit'] })
    const runner = { id: settings.id, port, settings, child, hasEnded: false }
    child.once('exit', () => { runner.hasEnded = true })
    let text = ''
    child.stdout.on('data', bytes => {
      text += bytes
      const lines = text.split('\n')
      text = lines.pop()
      for (const line of lines) {
        this.reports.push(JSON.parse(line))
        this.record(`runner ${line}`)
      }
    })
    this.runners.set(settings.id, runner)
    return runner
  }

  async killRunner (id) {
    const runner = this.runners.get(id)
    this.record(`runner ${id} is killed`)
    runner.child.kill('SIGKILL')
    if (!runner.hasEnded) await once(runner.child, 'exit')
  }

  async startGateway (name) {
    const ports = []
    for (let index = 0; index < 4; index++) ports.push(await findFreePort())
    const [callers, ready, admin, peers] = ports
    const gateway = { name, callers, ready, admin, peers, file: path.join(this.#folder, `${name}.yaml`), child: null, starts: 0 }
    this.gateways.push(gateway)
    writeFileSync(gateway.file, fillTemplate({ name, callers, ready, admin, peers, seeds: this.gateways.map(other => `127.0.0.1:${other.peers}`), storeAddress: this.store.address }))
    this.runGateway(gateway)
    return gateway
  }

  runGateway (gateway) {
    const log = createWriteStream(path.join(this.#folder, `${gateway.name}.log`), { flags: 'a' })
    const child = spawn(process.execPath, GATEWAY_COMMAND, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, TANAGERWICK_NODE_FILE: gateway.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    gateway.child = child
    gateway.starts += 1
    child.once('exit', (code, signal) => this.record(`gateway ${gateway.name} ended: ${code ?? signal}`))
  }

  readLog (name) {
    return readFileSync(path.join(this.#folder, `${name}.log`), 'utf8')
  }

  /** Waits until all gateways report themselves ready. */
  async waitUntilReady (timeoutMs = 15_000) {
    const untilMs = Date.now() + timeoutMs
    for (const gateway of this.gateways) {
      while (await checkReady(gateway) !== 200) {
        if (Date.now() > untilMs) throw new Error(`${gateway.name} is not ready: ${this.readLog(gateway.name).slice(-2000)}`)
        await sleep(50)
      }
    }
    // the gateways read the whole list of runners and agree on versions
    await sleep(2000)
  }

  async close () {
    const children = [...this.gateways.map(({ child }) => child), ...[...this.runners.values()].map(({ child }) => child)]
    for (const child of children) {
      if (child === null || child.exitCode !== null || child.signalCode !== null) continue
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await once(child, 'exit')
    }
    this.store.close()
    await new Promise(resolve => this.#lines.end(resolve))
    if (process.env.KEEP === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else console.log(this.#folder)
  }
}

/** Fills in the platform's template of the settings. */
function fillTemplate ({ name, callers, ready, admin, peers, seeds, storeAddress }) {
  return [
    `id: "${name}"`, 'domain: "zone-a"', 'listen:', `  callers: "127.0.0.1:${callers}"`, `  ready: "127.0.0.1:${ready}"`, `  admin: "127.0.0.1:${admin}"`, `  peers: "127.0.0.1:${peers}"`,
    `peers: ${JSON.stringify(seeds)}`, 'processorShare: 0.513', `storeUrl: "http://${storeAddress}"`, `heartbeatMs: ${BOUNDS.heartbeatMs}`, `revocationMs: ${BOUNDS.revokeMs}`, `stopSeconds: ${BOUNDS.graceS}`,
    `retryRatio: ${BOUNDS.retryBudgetRatio}`, `retryWindowSeconds: ${BOUNDS.budgetWindowS}`, `maxDescriptors: ${BOUNDS.maxFds}`, ''
  ].join('\n')
}

async function checkReady ({ ready }) {
  return await new Promise(resolve => {
    const request = http.get({ host: '127.0.0.1', port: ready, path: '/tanagerwick/ready', agent: false, timeout: 1000 }, response => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
  })
}

let requestCount = 0

/** Sends one request as a sound client and reads its answer. `end` is `complete`, or how the answer broke off. */
export async function sendRequest (gateway, { path: target, method = 'POST', body = '', headers = {}, deadlineMs = 12_000, agent = false, key = 'key-a', id }) {
  requestCount += 1
  const requestId = id ?? `${requestCount.toString(16).padStart(4, '0')}${Math.random().toString(16).slice(2, 14).padEnd(12, '0')}`
  return await new Promise(resolve => {
    const result = { requestId, gateway: gateway.name, sentAtMs: Date.now(), status: 0, headers: {}, body: '', ids: [], end: 'none' }
    const finish = end => {
      if (result.end !== 'none') return
      result.end = end
      result.endedAtMs = Date.now()
      clearTimeout(timer)
      result.ids = [...result.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
      resolve(result)
    }
    const request = http.request({
      host: '127.0.0.1',
      port: gateway.callers,
      method,
      path: target,
      agent,
      headers: { Host: 'review.example', 'Tanagerwick-Request-Attempt-Id': requestId, 'Tanagerwick-Request-Deadline-Ms': String(deadlineMs), 'Api-Key': key, 'Content-Length': Buffer.byteLength(body), ...headers }
    })
    const timer = setTimeout(() => {
      finish('deadline')
      request.destroy()
    }, deadlineMs)
    request.on('response', response => {
      result.status = response.statusCode
      result.headers = response.headers
      result.isChunked = response.headers['transfer-encoding'] === 'chunked'
      response.setEncoding('utf8')
      response.on('data', text => { result.body += text })
      response.on('end', () => finish(response.complete ? 'complete' : 'cut'))
      response.on('error', error => finish(`cut ${error.code ?? error.message}`))
    })
    request.on('error', error => finish(`failed ${error.code ?? error.message}`))
    request.end(body)
  })
}

/** Runs a case: 1 when `check` finds violations, 0 when it finds none, 2 when the case could not run. */
export async function runCase (caseUrl, play) {
  const fleet = new Fleet(caseUrl)
  let exitCode = EXIT.notRun
  try {
    await fleet.open()
    const violations = await play(fleet)
    for (const violation of violations) fleet.record(`BROKEN ${violation}`)
    fleet.record(violations.length > 0 ? `the rule was broken ${violations.length} times` : 'the rule held')
    console.log(violations.length > 0 ? `broken: ${violations.length}; first: ${violations[0]}` : 'held')
    exitCode = violations.length > 0 ? EXIT.broken : EXIT.held
  } catch (error) {
    console.log(`could not run: ${error.stack}`)
    fleet.record(`could not run: ${error.message}`)
  }
  await fleet.close()
  process.exit(exitCode)
}

export { sleep }
