// Starts the project's gateways with the command of the deploy file, and runner stand-ins, as processes on loopback addresses.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const RUNNER = fileURLToPath(new URL('./runner.mjs', import.meta.url))
/** Bounds of `sites/spunform-qld.toml` and, for duties, of `demands/lkua-enrol-grown.toml`. */
const BOUNDS = { revokeMs: 5000, graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, leaseMs: 3000, usageWindowS: 5, usageLateS: 10, thawSlackMs: 300 }

export const isTroubled = process.env.TROUBLE !== '0'

export function sleep (ms) {
  return new Promise(resolve => setTimeout(resolve, ms))
}

export async function findPorts (count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise(resolve => {
    const server = net.createServer().listen(0, '127.0.0.1', () => resolve(server))
  })))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

export class Fleet {
  #children = new Set()
  #folder = mkdtempSync(path.join(tmpdir(), 'review-'))
  #startedAtMs = performance.now()
  #record
  /** Ids of the requests that runners have begun to run. */
  runs = new Set()

  constructor (recordFile) {
    this.#record = createWriteStream(recordFile)
  }

  /** Writes a line to the record, with the milliseconds since the start. */
  log (text) {
    const line = `${((performance.now() - this.#startedAtMs) / 1000).toFixed(3).padStart(8)}  ${text}`
    this.#record.write(`${line}\n`)
  }

  /** Starts gateways whose settings are rendered from the template of the deploy file; `links[i]` may name other addresses of the platform. */
  async startGateways (count, { storeAddress, cloudAddress = null, links = [], memoryMb = 200 }) {
    const deploy = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
    const [command, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const template = readFileSync(path.join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), 'utf8')
    const ports = await findPorts(4 * count)
    const seeds = Array.from({ length: Math.min(3, count) }, (_, index) => `127.0.0.1:${ports[4 * index + 3]}`)
    const gateways = []
    for (let index = 0; index < count; index++) {
      const [front, ready, admin, control] = ports.slice(4 * index, 4 * index + 4)
      const fields = {
        nodeName: `front-${index}`,
        zone: `zone-${index}`,
        ip: '127.0.0.1',
        listen: { front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, control: `127.0.0.1:${control}` },
        seeds,
        limits: { cpuShare: 0.513, maxFds: 4100, memoryMb },
        platform: { address: links[index]?.storeAddress ?? storeAddress },
        heartbeatMs: 1200,
        bounds: BOUNDS,
        cloud: cloudAddress === null ? {} : { address: links[index]?.cloudAddress ?? cloudAddress, dutyPerS: 50, duties: ['usage_report', 'autoscale'] }
      }
      const file = path.join(this.#folder, `boot-${index}.yaml`)
      // the template names a fixed port for operators; the processes here share one machine
      writeFileSync(file, renderTemplate(template, fields).replace('127.0.0.1:9464', `127.0.0.1:${admin}`))
      const child = this.#spawn(command, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, TANAGERWICK_NODE_FILE: file } })
      const log = createWriteStream(path.join(this.#folder, `front-${index}.log`))
      child.stdout.pipe(log)
      child.stderr.pipe(log)
      gateways.push({ name: fields.nodeName, child, front, ready, logFile: log.path })
    }
    for (const gateway of gateways) await waitUntil(() => isReady(gateway.ready), 15_000, `${gateway.name} is ready`)
    this.log(`gateways are ready: ${gateways.map(({ name, front }) => `${name} at 127.0.0.1:${front}`).join(', ')}`)
    return gateways
  }

  async startRunner ({ id, version, port, flags = [] }) {
    const child = this.#spawn(process.execPath, [RUNNER, String(port), id, version, ...flags], {})
    await new Promise((resolve, reject) => {
      child.once('close', () => reject(new Error(`runner ${id} did not start`)))
      let rest = ''
      child.stdout.on('data', bytes => {
        const lines = (rest + bytes).split('\n')
        rest = lines.pop()
        for (const line of lines) {
          const { listening, runs, after, endsInside, event } = JSON.parse(line)
          if (listening !== undefined) resolve()
          if (runs !== undefined) {
            this.runs.add(runs)
            this.log(`runner ${id} ${version} runs ${runs}${after > 0 ? ` after event ${after}` : ''}`)
          }
          if (endsInside !== undefined) this.log(`runner ${id} ${version} ends the stream ${endsInside} inside event ${event}`)
        }
      })
    })
    this.log(`runner ${id} ${version} listens at 127.0.0.1:${port}`)
    return { id, version, port, bornAtMs: Date.now(), child }
  }

  /** Ends all processes and closes the record. */
  async close () {
    for (const child of this.#children) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true, force: true })
    else process.stderr.write(`logs in ${this.#folder}\n`)
    await new Promise(resolve => this.#record.end(resolve))
  }

  #spawn (command, args, options) {
    const child = spawn(command, args, { ...options, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#children.add(child)
    child.stderr.on('data', bytes => { if (process.env.KEEP_LOGS !== undefined) process.stderr.write(bytes) })
    child.once('close', () => this.#children.delete(child))
    return child
  }
}

/** Builds the entry that a runner writes into the store. */
export function buildEntry ({ port, version, bornAtMs }, service, state = 'ready') {
  return { service, address: `127.0.0.1:${port}`, zone: 'zone-0', version, slots: 64, state, coldRemainingMs: 0, seq: 1, born: bornAtMs }
}

/** Builds the configuration of a small deployment: one service with streams that may be resumed, and plain requests. */
export function buildConfig (overrides = {}) {
  const route = { host: 'llm.example', service: 'llm', timeoutMs: 12_000, targetLatencyMs: 2000, priority: 1, maxAttempts: 2 }
  return {
    version: 11,
    routes: [
      { ...route, name: 'streams', pathPrefix: '/stream/', kind: 'streaming', resumable: true, targetGapMs: 800 },
      { ...route, name: 'single-streams', pathPrefix: '/single/stream/', kind: 'streaming', resumable: false, targetGapMs: 800 },
      { ...route, name: 'reads', pathPrefix: '/read/', kind: 'idempotent', timeoutMs: 3000 },
      { ...route, name: 'orders', pathPrefix: '/order/', kind: 'non_idempotent', timeoutMs: 3000, maxAttempts: 1 }
    ],
    services: [{ name: 'llm', maxConnections: 360 }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'archivists', apiKeys: ['key-of-archivists'] }],
    ...overrides
  }
}

/** Sends one request as a sound client, on a new connection. Resolves with what the client got. */
export async function sendRequest (gateway, { id, path: target, timeoutMs, method = 'POST', headers = {}, body = '' }) {
  return await new Promise(resolve => {
    const got = { id, status: null, headers: {}, body: '', isWhole: false, error: null }
    const request = http.request({
      host: '127.0.0.1',
      port: gateway.front,
      method,
      path: target,
      agent: false,
      headers: { Host: 'llm.example', 'Tanagerwick-Request-Attempt-Id': id, 'Tanagerwick-Request-Deadline-Ms': String(timeoutMs), 'Api-Key': 'key-of-archivists', 'Content-Length': Buffer.byteLength(body), ...headers }
    })
    const timer = setTimeout(() => request.destroy(new Error('time limit')), timeoutMs)
    const finish = error => {
      clearTimeout(timer)
      got.error ??= error
      resolve(got)
    }
    request.on('error', error => finish(error.message))
    request.on('response', response => {
      got.status = response.statusCode
      got.headers = response.headers
      response.setEncoding('utf8')
      response.on('data', text => { got.body += text })
      response.on('error', error => finish(error.message))
      response.on('close', () => {
        got.isWhole = response.complete
        finish(response.complete ? null : 'the answer was cut')
      })
    })
    request.end(body)
  })
}

/** Reads the complete events of a stream. */
export function readEvents (body) {
  return [...body.matchAll(/id: (\d+)\ndata: (\S+) \d+ of (\d+) by (\S+)\n\n/g)].map(([, id, requestId, count, version]) => ({ id: Number(id), requestId, count: Number(count), version }))
}

export async function waitUntil (check, timeoutMs, what) {
  const untilMs = performance.now() + timeoutMs
  while (!await check()) {
    if (performance.now() > untilMs) throw new Error(`not within ${timeoutMs} ms: ${what}`)
    await sleep(50)
  }
}

async function isReady (port) {
  return await new Promise(resolve => {
    const request = http.get({ host: '127.0.0.1', port, path: '/tanagerwick/ready', agent: false, timeout: 500 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(false))
  })
}

/** Runs a case: exits with 1 where the rule was broken, 0 where it held, 2 where the case could not run. */
export async function runCase (recordFile, body) {
  const fleet = new Fleet(recordFile)
  let exitCode = 2
  try {
    const problem = await body(fleet)
    exitCode = problem === null ? 0 : 1
    fleet.log(problem === null ? 'the rule held' : `the rule was broken: ${problem}`)
  } catch (error) {
    fleet.log(`the case could not run: ${error.stack}`)
  }
  await fleet.close()
  process.exit(exitCode)
}

/** Renders a template of the deploy file, as DEPLOY.md tells it: values, `|json`, and sections for values that are present. */
function renderTemplate (template, fields) {
  const read = name => name.split('.').reduce((value, key) => value?.[key], fields)
  const sections = template.replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_, name, text) => read(name) === undefined ? '' : text)
  return sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, name, asJson) => asJson === undefined ? String(read(name) ?? '') : JSON.stringify(read(name)))
}
