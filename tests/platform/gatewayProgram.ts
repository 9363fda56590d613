import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { createInterface } from 'node:readline'

import { READY_PATH } from '../../platform/names'
import { ObjectsServer } from '../../standins/objects/objectsServer'
import { findFreePorts } from '../../standins/shared/freePorts'
import { buildPlatformConfig, buildRoute, fetchStatus, startEndpoint, waitUntil } from '../relay/relayFixture'

import type { ChildProcess } from 'node:child_process'
import type { EndpointFixture, ReceivedRequest } from '../relay/relayFixture'

/** One line of the program's log. */
export type LogLine = Record<string, unknown> & { event: string }

export interface GatewayProgramOptions {
  /** Arguments of Node.js; by default those of the deploy file, for which the build compiles the program. */
  nodeArguments: string[]
  /** Changes of the settings file. */
  settings: Record<string, unknown>
  config: unknown
  /** Requests that the endpoint takes at once. */
  slots: number
  /** Called with each request that the endpoint has received; by default it is held. */
  answer: ((request: ReceivedRequest) => void) | null
}

const PROGRAM_FILE = 'target/gateway.cjs'
const ROUTE_TIMEOUT_MS = 10_000
const STOP_SECONDS = 6
const DEFAULT_OPTIONS: GatewayProgramOptions = {
  nodeArguments: readDeployArguments(),
  settings: {},
  config: buildPlatformConfig({ routes: [buildRoute({ timeoutMs: ROUTE_TIMEOUT_MS })] }),
  slots: 6,
  answer: null
}

/** Reads the arguments of Node.js in the deploy file. */
export function readDeployArguments (): string[] {
  const [, ...args] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))![1]!.split(' ')
  return args.slice(0, -1)
}

/** The real program of a gateway with its store and one endpoint, which holds its requests until a test answers them. */
export class GatewayProgram {
  readonly #options: GatewayProgramOptions
  readonly #folder = mkdtempSync(path.join(os.tmpdir(), 'program-'))
  readonly #file = path.join(this.#folder, 'settings.yaml')
  readonly #store = new ObjectsServer()
  #settings: Record<string, unknown> = {}
  #endpoint: EndpointFixture | null = null
  #child: ChildProcess | null = null
  #exit: Promise<unknown[]> = Promise.resolve([])
  readonly held: ReceivedRequest[] = []
  readonly lines: LogLine[] = []
  port = 0
  readyPort = 0

  constructor (options: Partial<GatewayProgramOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options }
  }

  get pid (): number {
    return this.#child?.pid ?? 0
  }

  get isRunning (): boolean {
    return this.#child !== null && this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Starts the program; `loadingSignal` arrives while it is loading. */
  async start (loadingSignal?: NodeJS.Signals): Promise<void> {
    const { nodeArguments, settings, config, slots, answer } = this.#options
    const [callers, ready, admin] = await findFreePorts(3)
    this.port = callers!
    this.readyPort = ready!
    await this.#store.open()
    this.#endpoint = await startEndpoint('e-1', answer ?? (request => { this.held.push(request) }))
    this.#store.put('config', 'main', config)
    this.#store.put('servers', 'e-1', { service: 'archive', address: this.#endpoint.address, zone: 'a', version: 'v1', slots, state: 'ready', seq: 1, born: 1 })
    this.writeSettings({ ...buildProgramSettings({ callers: callers!, ready: ready!, admin: admin! }, this.#store.url, STOP_SECONDS), ...settings })
    const preload = loadingSignal === undefined ? [] : ['--require', './tests/fixtures/signalWhileLoading.cjs']
    const child = spawn(process.execPath, [...preload, ...nodeArguments, PROGRAM_FILE], { env: { PATH: process.env.PATH, TANAGERWICK_NODE_FILE: this.#file, TEST_SIGNAL: loadingSignal ?? '' }, stdio: ['ignore', 'pipe', 'inherit'] })
    this.#child = child
    this.#exit = once(child, 'close')
    createInterface({ input: child.stdout }).on('line', line => this.lines.push(JSON.parse(line)))
  }

  async waitUntilReady (): Promise<void> {
    await waitUntil('the gateway to be ready', async () => await fetchStatus(this.readyPort, READY_PATH) === 200)
  }

  /** Writes the settings file with these changes. */
  writeSettings (changes: Record<string, unknown>): void {
    this.#settings = { ...this.#settings, ...changes }
    writeFileSync(this.#file, JSON.stringify(this.#settings))
  }

  sendSignal (signal: NodeJS.Signals): void {
    this.#child?.kill(signal)
  }

  /** Waits until the log has this number of lines of one event. */
  async waitForLines (event: string, count: number): Promise<void> {
    await waitUntil(`${count} lines of ${event}`, () => this.list(event).length >= count)
  }

  /** Lists the log lines of one event, without time and instance. */
  list (event: string): LogLine[] {
    return this.lines.filter(line => line.event === event).map(({ time: _time, instance: _instance, ...line }) => line)
  }

  /** Waits for the end; returns the exit code and the signal that ended the program. */
  async waitForExit (): Promise<unknown[]> {
    return await this.#exit
  }

  async close (): Promise<void> {
    this.#child?.kill('SIGKILL')
    await this.#exit
    this.#endpoint?.close()
    await this.#store.close()
    rmSync(this.#folder, { recursive: true })
  }
}

/** Builds the settings file of a gateway on these ports. */
export function buildProgramSettings ({ callers, ready, admin }: { callers: number, ready: number, admin: number }, storeUrl: string, stopSeconds: number): Record<string, unknown> {
  return {
    id: 'gateway-1',
    domain: 'a',
    listen: { callers: `127.0.0.1:${callers}`, ready: `127.0.0.1:${ready}`, admin: `127.0.0.1:${admin}` },
    storeUrl,
    heartbeatMs: 1200,
    revocationMs: 5000,
    stopSeconds,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    maxDescriptors: 4096
  }
}
