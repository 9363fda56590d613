// Starts gateways with the command and the settings template of the deploy file, and keeps the record of a case.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

export const TROUBLE = process.env.TROUBLE !== '0'
export const HEARTBEAT_MS = 1200
export const BOUNDS = { revokeMs: 5000, graceS: 8, retryBudgetRatio: 0.2, budgetWindowS: 10, leaseMs: 3000, usageWindowS: 5, usageLateS: 10 }

const startedAt = performance.now()
const cleanups = []
let recordFile = null

/** Begins a new record.txt in the folder of the case. */
export function openRecord (folder) {
  recordFile = path.join(folder, 'record.txt')
  writeFileSync(recordFile, '')
}

/** Writes one line to the record: seconds since the start, who, what. */
export function record (who, what) {
  appendFileSync(recordFile, `${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${who}: ${what}\n`)
}

export function addCleanup (clean) {
  cleanups.push(clean)
}

/** Runs a case and exits with 1 where the rule was broken, 0 where it held and 2 where the case could not run. */
export async function runCase (folder, play) {
  openRecord(folder)
  record('case', TROUBLE ? 'with the disruption' : 'without the disruption')
  const timer = setTimeout(() => finish(2, 'the case took too long'), 115_000)
  let isFinished = false
  async function finish (code, message) {
    if (isFinished) return
    isFinished = true
    clearTimeout(timer)
    record('case', `${message}; exit ${code}`)
    for (const clean of cleanups.reverse()) await clean()
    console.log(message)
    process.exit(code)
  }
  process.on('uncaughtException', error => finish(2, `the case failed: ${error.stack}`))
  process.on('SIGTERM', () => finish(2, 'the case was stopped'))
  process.on('SIGINT', () => finish(2, 'the case was stopped'))
  try {
    const { isBroken, message } = await play()
    await finish(isBroken ? 1 : 0, message)
  } catch (error) {
    await finish(2, `the case could not run: ${error.stack}`)
  }
}

/** Finds ports that are free now. */
export async function findPorts (count) {
  const servers = []
  for (let index = 0; index < count; index++) {
    const server = net.createServer()
    await new Promise((resolve, reject) => server.once('error', reject).listen(0, '127.0.0.1', resolve))
    servers.push(server)
  }
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

function renderTemplate (template, fields) {
  const read = name => name.split('.').reduce((value, key) => value?.[key], fields)
  return template
    .replace(/\{\{#([\w.]+)\}\}\n([^]*?)\{\{\/\1\}\}\n/g, (_match, name, text) => read(name) === undefined ? '' : text)
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, name, json) => {
      const value = read(name)
      if (json === undefined) return String(value ?? '')
      return JSON.stringify(value ?? null)
    })
}

/** One gateway: the program of the deploy file as a process of its own. */
export class Gateway {
  constructor ({ name, zone, ports, seeds, storeAddress, memoryMb, cloud, maxFds }) {
    this.name = name
    this.ports = { callers: ports[0], ready: ports[1], control: ports[2], admin: ports[3] }
    this.folder = mkdtempSync(path.join(os.tmpdir(), 'review-3-'))
    this.settingsFile = path.join(this.folder, 'gateway.yaml')
    this.logFile = path.join(this.folder, 'gateway.log')
    this.seeds = seeds
    this.fields = {
      nodeName: name,
      zone,
      ip: '127.0.0.1',
      listen: { front: `127.0.0.1:${this.ports.callers}`, ready: `127.0.0.1:${this.ports.ready}`, control: `127.0.0.1:${this.ports.control}` },
      seeds,
      limits: { cpuShare: 0.513, maxFds: maxFds ?? 4100, memoryMb: memoryMb ?? 200 },
      platform: { address: storeAddress },
      heartbeatMs: HEARTBEAT_MS,
      bounds: BOUNDS,
      cloud
    }
    this.child = null
    // also where the case ends by an error of its own
    process.on('exit', () => { this.child?.kill('SIGKILL') })
    addCleanup(async () => {
      await this.kill('SIGKILL')
      rmSync(this.folder, { recursive: true, force: true })
    })
  }

  start () {
    const deploy = readFileSync('deploy/system.toml', 'utf8')
    const [command, ...words] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
    const template = /^template = "(.*)"$/m.exec(deploy)[1]
    // the template puts the admin port at 9464 of the machine's address; all gateways share one address here
    const text = renderTemplate(readFileSync(template, 'utf8'), this.fields).replace('127.0.0.1:9464', `127.0.0.1:${this.ports.admin}`)
    writeFileSync(this.settingsFile, text)
    const child = spawn(command, words, { env: { PATH: process.env.PATH, HOME: process.env.HOME, TANAGERWICK_NODE_FILE: this.settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', bytes => appendFileSync(this.logFile, bytes))
    child.exited = new Promise(resolve => child.once('close', (code, signal) => {
      record(this.name, `process ended with ${code ?? signal}`)
      if (this.child === child) this.child = null
      resolve()
    }))
    this.child = child
    record(this.name, `process started: ${command} ${words.join(' ')}`)
  }

  /** Sends a signal. */
  signal (signal) {
    if (this.child === null) return
    record(this.name, signal)
    this.child.kill(signal)
  }

  /** Sends a signal and waits for the end of the process. */
  async kill (signal) {
    const { child } = this
    if (child === null) return
    this.signal(signal)
    await child.exited
  }

  async isReady () {
    return await new Promise(resolve => {
      const request = http.get({ host: '127.0.0.1', port: this.ports.ready, path: '/tanagerwick/ready', agent: false, timeout: 500 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    })
  }

  async waitUntilReady (timeoutMs = 15_000) {
    const untilMs = performance.now() + timeoutMs
    while (!await this.isReady()) {
      if (performance.now() > untilMs) throw new Error(`${this.name} is not ready`)
      await sleep(100)
    }
    record(this.name, 'ready')
  }

  /** Reads the resident memory of the process's own in megabytes, without files that are mapped; null once the process has ended. */
  readMemoryMb () {
    if (this.child === null) return null
    try {
      const match = /^RssAnon:\s+(\d+) kB/m.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))
      return match === null ? null : Number(match[1]) / 1024
    } catch {
      return null
    }
  }

  readLog () {
    return readFileSync(this.logFile, 'utf8')
  }
}

/** Starts gateways in the zones named, and waits until all are ready. */
export async function startGateways (zones, storeAddress, options = {}) {
  const ports = await findPorts(4 * zones.length)
  const seeds = zones.map((_zone, index) => `127.0.0.1:${ports[4 * index + 2]}`).slice(0, 3)
  const gateways = zones.map((zone, index) => new Gateway({ name: `front-${zone}-${index + 1}`, zone, ports: ports.slice(4 * index, 4 * index + 4), seeds, storeAddress, ...options }))
  for (const gateway of gateways) gateway.start()
  await Promise.all(gateways.map(gateway => gateway.waitUntilReady()))
  return gateways
}
