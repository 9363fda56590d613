import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import path from 'node:path'

import { READY_PATH } from '../platform/names'
import { FaultProxy } from '../standins/network/faultProxy'

import type { ChildProcess } from 'node:child_process'

/** A signal sent to the process of a gateway that was started as the `epoch`-th. */
export interface SentSignal {
  gateway: number
  epoch: number
  signal: NodeJS.Signals
  atMs: number
}

export interface SoakGatewayOptions {
  index: number
  domain: string
  /** Ports for callers, readiness, operators and other gateways. */
  ports: { callers: number, ready: number, admin: number, peers: number }
  /** Peer addresses in the settings of every gateway, used for discovery. */
  seeds: string[]
  storeAddress: string
  folder: string
  bounds: { revocationMs: number, stopSeconds: number }
  /** Path of the built program. */
  program: string
  /** Called when the process exited although the soak neither stopped nor killed it. */
  handleUnexpectedExit: (message: string) => void
  /** Called with each signal that is sent to the process. */
  handleSignal: (sent: SentSignal) => void
}

const CLOCK_SHIFT_MODULE = path.join('soak', 'shiftClock.cjs')
const READY_TIMEOUT_MS = 500

/** One gateway of the soak: the real program, its proxies and the signals sent to it. */
export class SoakGateway {
  readonly index: number
  readonly #options: SoakGatewayOptions
  readonly callerProxy: FaultProxy
  readonly storeProxy: FaultProxy
  readonly #clockFile: string
  readonly #settingsFile: string
  readonly #logFile: string
  #child: ChildProcess | null = null
  #isExitExpected = false
  #hasLogged = false
  /** Number of processes started for this gateway so far. */
  epoch = 0
  isReady = false
  #settingsRevision = 0

  constructor (options: SoakGatewayOptions) {
    this.index = options.index
    this.#options = options
    this.callerProxy = new FaultProxy(`127.0.0.1:${options.ports.callers}`)
    this.storeProxy = new FaultProxy(options.storeAddress)
    this.#clockFile = path.join(options.folder, `clock-${options.index}`)
    this.#logFile = path.join(options.folder, `gateway-${options.index}.log`)
    this.#settingsFile = path.join(options.folder, `gateway-${options.index}.yaml`)
  }

  get isRunning (): boolean {
    return this.#child !== null
  }

  /** Address without a proxy between. */
  get callersAddress (): string {
    return `127.0.0.1:${this.#options.ports.callers}`
  }

  /** Returns whether the process is running and has started to write its log. */
  get isUp (): boolean {
    return this.#child !== null && this.#hasLogged
  }

  async open (): Promise<void> {
    await this.callerProxy.open()
    await this.storeProxy.open()
    this.setClockOffset(0)
    this.writeSettings()
    this.start()
  }

  start (): void {
    this.epoch += 1
    this.#isExitExpected = false
    this.#hasLogged = false
    const { index, program } = this.#options
    const child = spawn(process.execPath, ['--require', `./${CLOCK_SHIFT_MODULE}`, program], {
      env: { ...process.env, TANAGERWICK_NODE_FILE: this.#settingsFile, SOAK_CLOCK_FILE: this.#clockFile },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    const log = createWriteStream(this.#logFile, { flags: 'a' })
    child.stdout.once('data', () => { if (this.#child === child) this.#hasLogged = true })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    child.once('close', (code, signal) => {
      log.end()
      if (this.#child === child) this.#child = null
      this.isReady = false
      if (!this.#isExitExpected) this.#options.handleUnexpectedExit(`gateway ${index} exited unexpectedly with ${code ?? signal}`)
    })
    this.#child = child
  }

  sendSignal (signal: NodeJS.Signals): void {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.#isExitExpected = true
    if (this.#child === null) return
    this.#options.handleSignal({ gateway: this.index, epoch: this.epoch, signal, atMs: performance.now() })
    this.#child.kill(signal)
  }

  /** Reads the line of the log that names a reply which its caller does not have as a whole; null for none. */
  readNotWholeLine (requestId: string): string | null {
    const lines = readFileSync(this.#logFile, 'utf8').split('\n')
    return lines.find(line => line.includes('"replyNotWhole"') && line.includes(`"${requestId}"`)) ?? null
  }

  /** Waits for the process to exit. Returns false when it still runs after `timeoutMs`. */
  async waitForExit (timeoutMs: number): Promise<boolean> {
    const child = this.#child
    if (child === null) return true
    const exited = once(child, 'close').then(() => true)
    let timer: NodeJS.Timeout | undefined
    const expired = new Promise<boolean>(resolve => { timer = setTimeout(() => resolve(false), timeoutMs) })
    const hasExited = await Promise.race([exited, expired])
    clearTimeout(timer)
    return hasExited
  }

  /** Shifts the wall clock that the process reads. */
  setClockOffset (milliseconds: number): void {
    writeFileSync(this.#clockFile, String(milliseconds))
  }

  /** Writes the settings file. `logBytesPerSecond` differs each time, so that every reload has a change to apply. */
  writeSettings (): void {
    const { index, domain, ports, seeds, bounds } = this.#options
    this.#settingsRevision += 1
    writeFileSync(this.#settingsFile, JSON.stringify({
      id: `gateway-${index}`,
      domain,
      listen: {
        callers: `127.0.0.1:${ports.callers}`,
        ready: `127.0.0.1:${ports.ready}`,
        admin: `127.0.0.1:${ports.admin}`,
        peers: `127.0.0.1:${ports.peers}`
      },
      peers: seeds,
      processorShare: 1 + index / 100,
      storeUrl: `http://${this.storeProxy.address}`,
      heartbeatMs: 1000,
      revocationMs: bounds.revocationMs,
      stopSeconds: bounds.stopSeconds,
      retryRatio: 0.2,
      retryWindowSeconds: 10,
      maxDescriptors: 4096,
      logBytesPerSecond: 500_000 + this.#settingsRevision
    }))
  }

  /** Checks the readiness endpoint, as a load balancer does. */
  async updateReadiness (): Promise<void> {
    this.isReady = await new Promise(resolve => {
      const request = http.get({ host: '127.0.0.1', port: this.#options.ports.ready, path: READY_PATH, agent: false, timeout: READY_TIMEOUT_MS }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
    })
  }

  async close (): Promise<void> {
    this.sendSignal('SIGCONT')
    this.sendSignal('SIGKILL')
    await this.waitForExit(2000)
    await this.callerProxy.close()
    await this.storeProxy.close()
  }
}
