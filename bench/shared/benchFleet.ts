import { systemClock } from '../../src/base/clock'
import { hashText } from '../../src/base/identifiers'
import { Progress } from '../../src/base/progress'
import { fleetTreeSchema } from '../../src/config/fleetSchema'
import { ConfigPublisher } from '../../src/store/configPublisher'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { ChildProcesses } from './childProcesses'

import type { FleetTree } from '../../src/config/fleetSchema'
import type { RunningProcess } from './childProcesses'

export const BENCH_KEY = 'key-of-the-bench'
export const BENCH_MODEL = 'bench-model'
const FLEET_SECRET = 'secret-of-the-bench'
const PROGRAM_FILE = 'dist/tanagerwick.cjs'
const STANDIN_FILE = 'dist/standin.cjs'
/** Folder for a CPU profile of each gateway and sidecar; none is written when it is not set. */
const PROFILE_FOLDER = process.env.BENCH_PROFILE_FOLDER
const PROFILE_FLAGS = PROFILE_FOLDER === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${PROFILE_FOLDER}`]
const READY_TIMEOUT_MS = 20_000
const POLL_MS = 100
const DEADLINE_MS = 300_000

export interface BenchFleetOptions {
  engines: number
  /** Number of gateways; one by default. */
  gateways?: number
  /** Number of engines in each stand-in process. */
  enginesPerProcess: number
  /** Requests that a sidecar runs at once. The engine itself has twice as many slots. */
  slots: number
  /** Milliseconds between the tokens of every engine. */
  stepMs: number
}

/** Gateways, engines and one sidecar per engine. Each gateway and sidecar runs in its own process. */
export interface BenchFleet {
  platformUrl: string
  /** The first gateway. */
  gateway: RunningProcess
  sidecars: RunningProcess[]
  /** Addresses of the engines, to call them without gateway and sidecar. */
  engineAddresses: string[]
  stop (): Promise<void>
}

/** Starts the fleet and waits until the first gateway lists every engine. */
export async function startBenchFleet (options: BenchFleetOptions): Promise<BenchFleet> {
  const children = new ChildProcesses()
  try {
    const platform = await children.start({ args: [STANDIN_FILE, 'platform'] })
    const platformUrl = `http://${platform.addresses[0]!}`
    await publishTree(platformUrl, buildTree(options))
    const engineAddresses = await startEngines(children, options)
    const sidecars: RunningProcess[] = []
    for (const [index, address] of engineAddresses.entries()) {
      sidecars.push(await startProgram(children, platformUrl, ['sidecar', '--id', `sidecar-${index}`, '--endpoint-name', `engine-${index}`, '--endpoint-address', address]))
    }
    const gateways: RunningProcess[] = []
    for (let index = 0; index < (options.gateways ?? 1); index++) {
      gateways.push(await startProgram(children, platformUrl, ['gateway', '--id', `gateway-${index}`]))
    }
    const gateway = gateways[0]!
    await waitForEndpoints(gateway.addresses[0]!, options.engines)
    return { platformUrl, gateway, sidecars, engineAddresses, stop: async () => await children.stopAll() }
  } catch (error) {
    await children.stopAll()
    throw error
  }
}

async function startEngines (children: ChildProcesses, options: BenchFleetOptions): Promise<string[]> {
  const addresses: string[] = []
  while (addresses.length < options.engines) {
    const count = Math.min(options.enginesPerProcess, options.engines - addresses.length)
    const names = Array.from({ length: count }, (_, index) => `engine-${addresses.length + index}`)
    const specs = names.map(name => ({
      kind: 'engine', name, models: [BENCH_MODEL], slots: options.slots * 2, stepMs: options.stepMs, stepMsPerRequest: 0
    }))
    const engine = await children.start({ args: [STANDIN_FILE, 'endpoints', '--spec', JSON.stringify(specs)], addressCount: count })
    addresses.push(...engine.addresses)
  }
  return addresses
}

async function startProgram (children: ChildProcesses, platformUrl: string, args: string[]): Promise<RunningProcess> {
  return await children.start({
    args: [...PROFILE_FLAGS, PROGRAM_FILE, ...args, '--listen', '127.0.0.1:0', '--domain', 'a', '--platform', platformUrl, '--log-level', 'info'],
    environment: { TANAGERWICK_FLEET_SECRET: FLEET_SECRET }
  })
}

async function publishTree (platformUrl: string, tree: FleetTree): Promise<void> {
  const service = new HttpObjectService({ baseUrl: platformUrl })
  const publisher = new ConfigPublisher(service, { appliedBy: 'bench', clock: systemClock })
  const result = await publisher.publish(tree, new Progress({ title: 'publishing the configuration', timeoutMs: 5_000 }))
  if (result.isErr) throw new Error(`publishing the configuration failed: ${JSON.stringify(result.error)}`)
  await service.close()
}

function buildTree (options: BenchFleetOptions): FleetTree {
  const endpoints = Array.from({ length: options.engines }, (_, index) => [`engine-${index}`, {
    kind: 'engine', models: [BENCH_MODEL], slots: options.slots
  }])
  return fleetTreeSchema.parse({
    classes: { bench: { tier: 1, firstTokenTargetMs: 710, betweenTokensTargetMs: 53, deadlineMs: DEADLINE_MS, share: 0.02, retryRatio: 0.1 } },
    workspaces: {
      bench: { keyDigests: [hashText(BENCH_KEY)], classes: ['bench'], defaultClass: 'bench', requestsPerSecond: 10_000, maxConcurrent: 10_000 }
    },
    services: {},
    endpoints: Object.fromEntries(endpoints)
  })
}

async function waitForEndpoints (address: string, count: number): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS
  for (;;) {
    const response = await fetch(`http://${address}/state`, { headers: { authorization: `Bearer ${FLEET_SECRET}` } })
    const state = await response.json() as { configGeneration: number, endpoints: unknown[] }
    if (state.configGeneration > 0 && state.endpoints.length >= count) return
    if (performance.now() > deadlineMs) throw new Error(`timed out: the gateway lists ${state.endpoints.length} of ${count} endpoints`)
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}
