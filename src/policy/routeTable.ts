import type { StreamLimits } from './versionAssignment'
import type { CallerBounds, EngineCapacity, Route, RoutedWorkspace, RoutingConfig } from '../config/routingConfig'

/** Result of matching a caller's API key: its workspace, not needed, missing or unknown. */
export type KeyMatch =
  | { kind: 'workspace', workspace: RoutedWorkspace }
  | { kind: 'notNeeded' }
  | { kind: 'missing' }
  | { kind: 'unknown' }

/**
 * Indexes one version of the configuration for lookups by host, path and API key.
 *
 * @example
 * const table = new RouteTable(config)
 * const route = table.findRoute('orders.example', '/quotes/17') // the longest prefix wins
 * if (route !== null) table.matchKey(route, 'key-of-a-workspace')
 */
export class RouteTable {
  readonly version: number
  readonly bounds: CallerBounds
  readonly #routesByHost = new Map<string, Route[]>()
  readonly #tightestTargets: Map<string, number>
  readonly #maxConnections: Map<string, number>
  readonly #engines: Map<string, EngineCapacity>
  /** Services whose streams may be taken up, with the time limits of their routes. */
  readonly streamLimits: ReadonlyMap<string, StreamLimits>
  readonly #workspacesByKey: Map<string, RoutedWorkspace> | null

  constructor (config: RoutingConfig) {
    this.version = config.version
    this.bounds = config.bounds
    this.#workspacesByKey = config.workspaces === null ? null : buildKeyIndex(config.workspaces)
    for (const route of config.routes) this.#addRoute(route)
    this.#tightestTargets = buildTightestTargets(config.routes)
    this.streamLimits = buildStreamLimits(config.routes)
    this.#maxConnections = new Map(config.services.map(service => [service.name, service.maxConnections]))
    this.#engines = new Map(config.services.flatMap(({ name, engine }) => engine === null ? [] : [[name, engine] as const]))
    for (const routes of this.#routesByHost.values()) routes.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /** Number of routes over all hosts. */
  get routeCount (): number {
    return [...this.#routesByHost.values()].reduce((sum, routes) => sum + routes.length, 0)
  }

  /** Finds the route of the host with the longest prefix that matches `path`. */
  findRoute (host: string, path: string): Route | null {
    const routes = this.#routesByHost.get(host.toLowerCase())
    return routes?.find(route => path.startsWith(route.prefix)) ?? null
  }

  /** Returns the shortest target, in milliseconds, of the routes that lead to a service. */
  getTightestTargetMs (service: string): number {
    return this.#tightestTargets.get(service) ?? Infinity
  }

  /** Returns the connections that each endpoint of a service accepts from all gateways together. */
  getMaxConnections (service: string): number {
    return this.#maxConnections.get(service) ?? Infinity
  }

  /** Returns the capacity of the engines of a service; null for a plain or unknown service. */
  getEngine (service: string): EngineCapacity | null {
    return this.#engines.get(service) ?? null
  }

  /** Matches a caller's API key with its workspace. */
  matchKey (route: Route, key: string | null): KeyMatch {
    if (this.#workspacesByKey === null) return { kind: 'notNeeded' }
    const workspace = key === null ? undefined : this.#workspacesByKey.get(key)
    if (workspace !== undefined) return { kind: 'workspace', workspace }
    if (route.isPublic) return { kind: 'notNeeded' }
    return { kind: key === null ? 'missing' : 'unknown' }
  }

  /** Returns the name of the workspace that a key belongs to; null when there is none. */
  findWorkspace (key: string | null): string | null {
    return key === null ? null : this.#workspacesByKey?.get(key)?.name ?? null
  }

  #addRoute (route: Route): void {
    const host = route.host.toLowerCase()
    const routes = this.#routesByHost.get(host) ?? []
    routes.push(route)
    this.#routesByHost.set(host, routes)
  }
}

/**
 * Chooses the service of a request by the weights of its route's shares.
 *
 * @param point a number from 0 (inclusive) to 1 (exclusive)
 */
export function chooseService (route: Route, point: number): string | null {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let remaining = point * total
  for (const share of route.shares) {
    remaining -= share.weight
    if (remaining < 0) return share.service
  }
  return route.shares.at(-1)?.service ?? null
}

/** Maximum number of routes of a service with time limits of their own; a configuration may have thousands of routes. */
const MAX_LIMITED_ROUTES = 64
/** Number of route ranks that are distinguished within one workspace rank. */
const RANKS_PER_WORKSPACE_RANK = 3

/**
 * Computes the priority rank of a request. The rank of its workspace, if it has one, takes precedence;
 * the rank of its route orders the requests within it.
 *
 * @example
 * computeRank(route, { name: 'archivists', keys: [], rank: 1 }) // 3 to 5, by the route's rank
 */
export function computeRank (route: Route, workspace: RoutedWorkspace | null): number {
  const rank = workspace?.rank ?? route.rank
  return rank * RANKS_PER_WORKSPACE_RANK + Math.min(RANKS_PER_WORKSPACE_RANK - 1, route.rank)
}

function buildTightestTargets (routes: Route[]): Map<string, number> {
  const targets = new Map<string, number>()
  for (const { shares, targetMs } of routes) {
    for (const { service } of shares) targets.set(service, Math.min(targetMs, targets.get(service) ?? Infinity))
  }
  return targets
}

function buildStreamLimits (routes: Route[]): Map<string, StreamLimits> {
  const limits = new Map<string, StreamLimits>()
  for (const { name, kind, isResumable, shares, timeoutMs } of routes) {
    if (kind !== 'stream' || !isResumable) continue
    for (const { service } of shares) {
      const { longestMs, byRoute } = limits.get(service) ?? { longestMs: 0, byRoute: {} }
      const hasRoom = Object.keys(byRoute).length < MAX_LIMITED_ROUTES
      limits.set(service, { longestMs: Math.max(longestMs, timeoutMs), byRoute: hasRoom ? { ...byRoute, [name]: timeoutMs } : byRoute })
    }
  }
  return limits
}

function buildKeyIndex (workspaces: RoutedWorkspace[]): Map<string, RoutedWorkspace> {
  return new Map(workspaces.flatMap(workspace => workspace.keys.map(key => [key, workspace] as const)))
}
