import { hashText } from '../../src/base/identifiers'
import { Progress } from '../../src/base/progress'
import { systemClock } from '../../src/base/clock'
import { fleetTreeSchema } from '../../src/config/fleetSchema'
import { ConfigPublisher } from '../../src/store/configPublisher'
import { HttpObjectService } from '../../src/store/httpObjectService'
import { startEngine } from '../../standins/engine/engineServer'
import { startPlatform } from '../../standins/platform/platformServer'
import { startService } from '../../standins/service/serviceServer'
import { FleetProcess } from './fleetProcess'

import type { FleetTree } from '../../src/config/fleetSchema'
import type { EngineOptions, EngineServer } from '../../standins/engine/engineServer'
import type { PlatformServer } from '../../standins/platform/platformServer'
import type { ServiceOptions, ServiceServer } from '../../standins/service/serviceServer'

export const FLEET_SECRET = 'secret-of-the-test-fleet'
export const MODEL = 'small'
export const SERVICE = 'desk'
const READY_TIMEOUT_MS = 10_000
const POLL_MS = 20

export interface FleetOptions {
  gateways?: number
  engines?: Array<Partial<EngineOptions>>
  services?: Array<Partial<ServiceOptions>>
  /** Slots of each endpoint in the configuration. */
  slots?: number
  classes?: Record<string, Partial<FleetTree['classes'][string]>>
  settings?: Partial<FleetTree['settings']>
}

/** A fleet with its stand-ins in this process and each gateway and sidecar in its own process. */
export interface Fleet {
  platform: PlatformServer
  service: HttpObjectService
  engines: EngineServer[]
  desks: ServiceServer[]
  gateways: FleetProcess[]
  /** Sidecars of the engines, then of the services. */
  sidecars: FleetProcess[]
  tree: FleetTree
  startSidecar (endpointName: string, endpointAddress: string): Promise<FleetProcess>
  startGateway (id: string, flags?: string[]): Promise<FleetProcess>
  applyConfig (tree: FleetTree): Promise<number>
  stop (): Promise<void>
}

/** Starts a fleet and waits until every gateway knows every endpoint. */
export async function startFleet (options: FleetOptions = {}): Promise<Fleet> {
  const platform = await startPlatform()
  const service = new HttpObjectService({ baseUrl: platform.url })
  const engines = await Promise.all((options.engines ?? [{}]).map(async (engine, index) =>
    await startEngine({ name: `engine-${index + 1}`, models: [MODEL], slots: 8, stepMs: 5, ...engine })))
  const desks = await Promise.all((options.services ?? []).map(async (desk, index) =>
    await startService({ name: `desk-${index + 1}`, serviceMs: 30, ...desk })))
  const tree = buildTree(options, engines.length, desks.length)
  const processes: FleetProcess[] = []
  const startProcess = async (args: string[]): Promise<FleetProcess> => {
    const child = new FleetProcess([...args, '--platform', platform.url, '--log-level', 'debug', '--domain', 'a'], FLEET_SECRET)
    processes.push(child)
    await child.waitForReady()
    return child
  }
  let sidecarCount = 0
  const startSidecar = async (endpointName: string, endpointAddress: string) =>
    await startProcess(['sidecar', '--id', `sidecar-${++sidecarCount}`, '--listen', '127.0.0.1:0', '--endpoint-name', endpointName, '--endpoint-address', endpointAddress])
  const startGateway = async (id: string, flags: string[] = []) =>
    await startProcess(['gateway', '--id', id, '--listen', '127.0.0.1:0', ...flags])
  const applyConfig = async (next: FleetTree) => {
    const publisher = new ConfigPublisher(service, { appliedBy: 'test', clock: systemClock })
    const result = await publisher.publish(next, new Progress({ title: 'publishing', timeoutMs: 5000 }))
    if (result.isErr) throw new Error(JSON.stringify(result.error))
    return result.value.manifest.generation
  }
  await applyConfig(tree)
  const hosts = [...engines, ...desks].map(endpoint => endpoint.host)
  const sidecars = await Promise.all(hosts.map(async host => await startSidecar(host.name, host.address)))
  const gateways = await Promise.all(Array.from({ length: options.gateways ?? 1 }, async (_, index) => await startGateway(`gateway-${index + 1}`)))
  const fleet: Fleet = {
    platform,
    service,
    engines,
    desks,
    gateways,
    sidecars,
    tree,
    startSidecar,
    startGateway,
    applyConfig,
    stop: async () => {
      await Promise.all(processes.map(async child => await child.stop()))
      await Promise.all([...engines, ...desks].map(async endpoint => await endpoint.host.close()))
      service.close()
      await platform.close()
    }
  }
  await Promise.all(gateways.map(async gateway => await waitUntil('the gateway to list every endpoint', async () => {
    const state = await readState(gateway)
    return state.configGeneration > 0 && state.endpoints.length === hosts.length
  })))
  return fleet
}

/** Reads the state dump of a process. */
export async function readState (process: FleetProcess): Promise<any> {
  const response = await fetch(`${process.url}/state`, { headers: { authorization: `Bearer ${FLEET_SECRET}` } })
  return await response.json()
}

/** Polls until `check` returns true; throws after `timeoutMs`. */
export async function waitUntil (awaited: string, check: () => Promise<boolean> | boolean, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
  const endMs = Date.now() + timeoutMs
  while (!(await check())) {
    if (Date.now() > endMs) throw new Error(`timed out waiting for ${awaited}`)
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}

/** Returns the API key of a workspace in the test configuration. */
export function getApiKey (workspace: string): string {
  return `key-of-${workspace}`
}

function buildTree (options: FleetOptions, engineCount: number, deskCount: number): FleetTree {
  const slots = options.slots ?? 8
  const endpoints = Object.fromEntries([
    ...Array.from({ length: engineCount }, (_, index) => [`engine-${index + 1}`, { kind: 'engine', models: [MODEL], slots }]),
    ...Array.from({ length: deskCount }, (_, index) => [`desk-${index + 1}`, { kind: 'service', service: SERVICE, slots }])
  ])
  const classes = { urgent: buildClass(1), normal: buildClass(3), background: buildClass(6) }
  for (const [name, changes] of Object.entries(options.classes ?? {})) {
    Object.assign(classes, { [name]: { ...buildClass(3), ...(classes as Record<string, object>)[name], ...changes } })
  }
  const workspace = { classes: Object.keys(classes), defaultClass: 'normal', requestsPerSecond: 1000, maxConcurrent: 1000 }
  return fleetTreeSchema.parse({
    classes,
    workspaces: {
      shop: { ...workspace, keyDigests: [hashText(getApiKey('shop'))] },
      office: { ...workspace, keyDigests: [hashText(getApiKey('office'))] }
    },
    services: {
      [SERVICE]: { routes: [{ method: 'POST', path: '/bookings', idempotent: false }, { method: 'GET', path: '/status', idempotent: true }] }
    },
    endpoints,
    settings: options.settings ?? {}
  })
}

function buildClass (tier: number): object {
  return { tier, firstTokenTargetMs: 710, betweenTokensTargetMs: 53, deadlineMs: 20_000, share: 0.02, retryRatio: 0.2 }
}
