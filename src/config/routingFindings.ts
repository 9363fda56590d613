import type { EngineCapacity, Route, RoutingConfig } from './routingConfig'

/** Place of a finding in a routing configuration: keys and indexes in its own names. */
export type RoutingPath = Array<string | number>

/**
 * Why a part of a configuration deserves a look. `error`: it cannot be used as it is. `unreachable`: it can never
 * match or be used. `contradiction`: it can be used, but another value keeps it from having its effect.
 */
export type RoutingFindingKind = 'error' | 'unreachable' | 'contradiction'

/** One finding about a routing configuration. */
export interface RoutingFinding {
  kind: RoutingFindingKind
  path: RoutingPath
  message: string
  advice: string
}

/** Header bytes that a gateway can parse, whatever the configuration allows. */
export const MAX_PARSED_HEADER_BYTES = 65_536
/** Least urgent rank that endpoints tell apart. */
const MAX_RANK = 9

/**
 * Finds what a well-formed configuration contains by mistake: entries that no request can reach, and values that
 * contradict each other. Keys of callers do not occur in the findings.
 *
 * @example
 * findRoutingProblems(config).filter(({ kind }) => kind === 'unreachable')
 */
export function findRoutingProblems (config: RoutingConfig): RoutingFinding[] {
  return [
    ...findRepeatedNames(config),
    ...config.routes.flatMap((route, index) => [...findRouteErrors(route, index), ...findRouteContradictions(route, index), ...findShareProblems(config, route, index)]),
    ...findShadowedRoutes(config.routes),
    ...findServiceProblems(config),
    ...findWorkspaceProblems(config),
    ...findBoundContradictions(config)
  ]
}

function findRepeatedNames (config: RoutingConfig): RoutingFinding[] {
  return (['routes', 'services', 'workspaces'] as const).flatMap(section => {
    const names = (config[section] ?? []).map(({ name }) => name)
    return names.flatMap((name, index) => names.indexOf(name) === index ? [] : [buildFinding('error', [section, index, 'name'], `'${name}' occurs more than once under ${section}`, 'Give each entry a name of its own.')])
  })
}

function findRouteErrors ({ host, prefix, timeoutMs, maxAttempts }: Route, index: number): RoutingFinding[] {
  const findings: RoutingFinding[] = []
  const add = (field: string, message: string, advice: string) => findings.push(buildFinding('error', ['routes', index, field], message, advice))
  if (host === '') add('host', 'is empty', 'Name the host of the requests.')
  if (!prefix.startsWith('/') || !prefix.endsWith('/')) add('prefix', `'${prefix}' does not begin and end with a slash`, 'Write a prefix such as /orders/.')
  if (!(timeoutMs > 0)) add('timeoutMs', `is ${timeoutMs}, so every request is late at once`, 'Give milliseconds above 0.')
  if (!(maxAttempts >= 1)) add('maxAttempts', `is ${maxAttempts}, so no request is sent`, 'Give at least 1.')
  return findings
}

function findRouteContradictions (route: Route, index: number): RoutingFinding[] {
  const { kind, isResumable, timeoutMs, targetMs, betweenEventsTargetMs, maxAttempts, rank } = route
  const findings: RoutingFinding[] = []
  const add = (field: string, message: string, advice: string) => findings.push(buildFinding('contradiction', ['routes', index, field], message, advice))
  if (targetMs > timeoutMs) add('targetMs', `${targetMs} is above the time limit of ${timeoutMs}`, 'Set a target within the time limit.')
  if (kind === 'stream' && betweenEventsTargetMs > timeoutMs) add('betweenEventsTargetMs', `${betweenEventsTargetMs} is above the time limit of ${timeoutMs}`, 'Set a pause within the time limit.')
  if (isResumable && kind !== 'stream') add('isResumable', 'only a stream can be resumed', 'Remove it, or make the route a stream.')
  if (isResumable && maxAttempts === 1) add('maxAttempts', 'is 1, so a stream that can be resumed never is within one request', 'Allow 2 attempts or more.')
  if (rank < 0 || rank > MAX_RANK || !Number.isInteger(rank)) add('rank', `${rank} is none of the ranks 0 to ${MAX_RANK} that endpoints tell apart`, `Give a whole number from 0 to ${MAX_RANK}.`)
  return findings
}

function findShareProblems (config: RoutingConfig, { shares }: Route, index: number): RoutingFinding[] {
  const services = new Set(config.services.map(({ name }) => name))
  if (!shares.some(({ weight }) => weight > 0)) return [buildFinding('unreachable', ['routes', index, 'shares'], 'leads to no service', 'Name a service, or several with weights above 0.')]
  return shares.flatMap(({ service, weight }, shareIndex) => {
    const path = ['routes', index, 'shares', shareIndex]
    if (!services.has(service)) return [buildFinding('error', [...path, 'service'], `'${service}' is not among the services`, `Use one of: ${[...services].join(', ') || 'none is defined'}.`)]
    return weight > 0 ? [] : [buildFinding('unreachable', [...path, 'weight'], `${weight} sends no request to '${service}'`, 'Give a weight above 0, or remove the share.')]
  })
}

/** Finds routes with the host and the prefix of an earlier one, which gets all their requests. */
function findShadowedRoutes (routes: readonly Route[]): RoutingFinding[] {
  const firstByMatch = new Map<string, string>()
  return routes.flatMap(({ name, host, prefix }, index) => {
    const match = `${host.toLowerCase()} ${prefix}`
    const first = firstByMatch.get(match)
    if (first === undefined) firstByMatch.set(match, name)
    return first === undefined ? [] : [buildFinding('unreachable', ['routes', index], `'${name}' never matches, because '${first}' has the same host and prefix`, 'Remove one of the two.')]
  })
}

function findServiceProblems ({ routes, services }: RoutingConfig): RoutingFinding[] {
  const reached = new Set(routes.flatMap(({ shares }) => shares.filter(({ weight }) => weight > 0).map(({ service }) => service)))
  return services.flatMap(({ name, maxConnections, engine }, index) => [
    ...reached.has(name) ? [] : [buildFinding('unreachable', ['services', index], `no route leads to '${name}'`, 'Add a route, or remove the service.')],
    ...maxConnections >= 1 ? [] : [buildFinding('error', ['services', index, 'maxConnections'], `is ${maxConnections}, so no request can be sent`, 'Give at least 1.')],
    ...engine === null ? [] : findEngineProblems(engine, maxConnections, index)
  ])
}

function findEngineProblems ({ slots, cacheTokens }: EngineCapacity, maxConnections: number, index: number): RoutingFinding[] {
  const path = ['services', index, 'engine']
  return [
    ...slots >= 1 ? [] : [buildFinding('error', [...path, 'slots'], `is ${slots}, so no request can run`, 'Give at least 1.')],
    ...cacheTokens >= slots ? [] : [buildFinding('contradiction', [...path, 'cacheTokens'], `${cacheTokens} tokens are fewer than the ${slots} slots`, 'Give the tokens that the memory of one engine holds.')],
    ...maxConnections >= slots ? [] : [buildFinding('contradiction', ['services', index, 'maxConnections'], `${maxConnections} connections cannot fill ${slots} slots`, 'Allow at least as many connections as slots.')]
  ]
}

function findWorkspaceProblems ({ workspaces }: RoutingConfig): RoutingFinding[] {
  const owners = new Map<string, string>()
  return (workspaces ?? []).flatMap(({ name, keys }, index) => {
    const path = ['workspaces', index, 'keys']
    if (keys.length === 0) return [buildFinding('unreachable', path, `no request can belong to '${name}', which has no key`, 'Add a key, or remove the workspace.')]
    return keys.flatMap((key, keyIndex) => {
      const owner = owners.get(key)
      owners.set(key, name)
      if (key.trim() !== key || key === '') return [buildFinding('unreachable', [...path, keyIndex], 'is empty or has spaces around it, so no request can carry it', 'Write the key alone.')]
      if (owner === undefined) return []
      return [buildFinding('error', [...path, keyIndex], owner === name ? 'is listed twice' : `is a key of '${owner}' already, which then gets no request by it`, 'Give each workspace its own keys, each once.')]
    })
  })
}

function findBoundContradictions ({ bounds: { maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs } }: RoutingConfig): RoutingFinding[] {
  const positive = Object.entries({ maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs }).filter(([, value]) => !(value > 0))
  return [
    ...positive.map(([name, value]) => buildFinding('error', ['bounds', name], `is ${value}`, 'Give a number above 0.')),
    ...maxHeaderBytes <= MAX_PARSED_HEADER_BYTES ? [] : [buildFinding('contradiction', ['bounds', 'maxHeaderBytes'], `${maxHeaderBytes} is above the ${MAX_PARSED_HEADER_BYTES} bytes that a gateway parses`, `Give at most ${MAX_PARSED_HEADER_BYTES}.`)]
  ]
}

function buildFinding (kind: RoutingFindingKind, path: RoutingPath, message: string, advice: string): RoutingFinding {
  return { kind, path, message, advice }
}
