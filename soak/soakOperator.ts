import { SOAK_HOST } from './soakCaller'

import type { ObjectsServer } from '../standins/objects/objectsServer'
import type { SoakEndpoint } from './soakEndpoint'

/** A configuration version and the time at which the store acknowledged it. */
export interface SoakVersion {
  version: number
  acknowledgedAtMs: number
}

const WORKSPACES = ['perfumers', 'evaluators', 'foremen']
/** Number of versions, the first included, that contain a version's own route and key. */
export const RETAINED_VERSIONS = 2
const DEREGISTRATION_DELAY_MS = 500
/** Nesting of an odd entry: deeper than any value that is used, but written by the stand-in for the store. */
const NESTING = 1000

/** Writes configurations and endpoint registrations to the store, as operators and endpoints do in production. */
export class SoakOperator {
  readonly #store: ObjectsServer
  readonly #versions: SoakVersion[] = []
  #latestConfig: unknown = null
  /** Ids of all endpoints registered so far. */
  readonly #registered = new Set<string>()

  constructor (store: ObjectsServer) {
    this.#store = store
  }

  get current (): number {
    return this.#versions.at(-1)?.version ?? 0
  }

  /** Publishes the next version. It adds a route and a key of its own and removes those of two versions before. */
  publishNext (): void {
    const version = this.current + 1
    const retained = Array.from({ length: RETAINED_VERSIONS }, (_, age) => version - age).filter(number => number > 0)
    this.#latestConfig = {
      version,
      routes: [
        buildRoute('stream', { kind: 'streaming', resumable: true, service: 'engine', timeoutMs: 4000, maxAttempts: 3 }),
        buildRoute('long', { kind: 'streaming', resumable: true, service: 'engine', timeoutMs: 15_000, maxAttempts: 3 }),
        buildRoute('large', { timeoutMs: 6000 }),
        buildRoute('once', { kind: 'non_idempotent' }),
        buildRoute('read', {}),
        ...retained.map(number => buildRoute(`v${number}`, {}))
      ],
      services: [{ name: 'engine', healthPath: '/health', maxConnections: 200 }, { name: 'desk', healthPath: '/health', maxConnections: 200 }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 2000, idleTimeoutMs: 5000 },
      tenants: WORKSPACES.map((name, index) => ({ name, apiKeys: [`key-${name}`, ...index === 0 ? retained.map(number => `key-v${number}`) : []] }))
    }
    this.publishAgain()
    this.#versions.push({ version, acknowledgedAtMs: performance.now() })
  }

  /** Writes the newest version again. */
  publishAgain (): void {
    this.#store.put('config', 'main', this.#latestConfig)
  }

  /** Gets the time at which the removal of a version's route and key was acknowledged; null until then. */
  getRemovedAtMs (version: number): number | null {
    return this.#versions.find(other => other.version === version + RETAINED_VERSIONS)?.acknowledgedAtMs ?? null
  }

  getAcknowledgedAtMs (version: number): number {
    return this.#versions.find(other => other.version === version)?.acknowledgedAtMs ?? Infinity
  }

  /** Chooses a random key among those that every version contains. */
  chooseKey (random: () => number): { key: string, workspace: string } {
    const workspace = WORKSPACES[Math.floor(random() * WORKSPACES.length)]!
    return { key: `key-${workspace}`, workspace }
  }

  /** Workspace of the keys that single versions add. */
  get versionedWorkspace (): string {
    return WORKSPACES[0]!
  }

  registerEndpoint (endpoint: SoakEndpoint): void {
    this.#putEndpoint(endpoint, 'ready')
  }

  /** Writes an endpoint's entry again, in its current state. */
  registerAgain (endpoint: SoakEndpoint): void {
    this.#putEndpoint(endpoint, endpoint.drainStartedAtMs === null ? 'ready' : 'draining')
  }

  /** Writes one of several odd entries, as another writer may. */
  writeOddEntry (index: number): void {
    const valid = { service: 'desk', address: '127.0.0.1:9', zone: 'domain-a', version: 'v1', slots: 8, state: 'ready', born: 1 }
    const values: unknown[] = [{ ...valid, address: '127.0.0.1:99999' }, { ...valid, slots: 1e300 }, { ...valid, slots: 0 }, { ...valid, service: { deep: buildNested() } }, { ...valid, born: -1 }, 'no entry']
    this.#store.put('servers', `odd-${index}`, values[index % values.length])
  }

  removeEndpoint (endpoint: SoakEndpoint): void {
    this.#store.remove('servers', endpoint.id)
  }

  /** Removes the entries of all endpoints except the given ones. */
  removeStaleEntries (endpoints: readonly SoakEndpoint[]): void {
    const known = new Set(endpoints.map(endpoint => endpoint.id))
    for (const id of this.#registered) if (!known.has(id)) this.#store.remove('servers', id)
  }

  /** Marks an endpoint as draining and removes its entry after the drain time. */
  async drainEndpoint (endpoint: SoakEndpoint, drainMs: number, waitFor: (milliseconds: number) => Promise<void>): Promise<void> {
    this.#putEndpoint(endpoint, 'draining')
    endpoint.drainStartedAtMs = performance.now()
    await waitFor(drainMs + DEREGISTRATION_DELAY_MS)
    this.removeEndpoint(endpoint)
  }

  #putEndpoint (endpoint: SoakEndpoint, state: 'ready' | 'draining'): void {
    this.#registered.add(endpoint.id)
    this.#store.put('servers', endpoint.id, {
      service: endpoint.service, address: endpoint.proxy.address, zone: 'domain-a', version: endpoint.version, slots: 8, state, seq: 1, born: endpoint.bornAtMs
    })
  }
}

function buildNested (): unknown {
  let value: unknown = 'end'
  for (let depth = 0; depth < NESTING; depth++) value = [value]
  return value
}

function buildRoute (name: string, overrides: Record<string, unknown>): Record<string, unknown> {
  return { name, host: SOAK_HOST, pathPrefix: `/${name}/`, kind: 'idempotent', timeoutMs: 2500, targetLatencyMs: 300, priority: 1, service: 'desk', maxAttempts: 2, ...overrides }
}
