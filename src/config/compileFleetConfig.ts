import type { Endpoint, FleetConfig, PlainService, ServiceClass, Workspace } from './fleetConfig'
import type { FleetTree } from './fleetSchema'

/** Sections of a configuration as lists, from one part or from a whole tree. */
export interface CompiledEntries {
  classes: ServiceClass[]
  workspaces: Workspace[]
  services: PlainService[]
  endpoints: Endpoint[]
}

/**
 * Compiles a validated tree into the configuration that processes use.
 *
 * @example
 * const config = compileFleetConfig(tree, 12)
 * config.classes.get('quote')?.tier // 1
 */
export function compileFleetConfig (tree: FleetTree, generation: number): FleetConfig {
  return buildFleetConfig([compileEntries(tree)], tree.settings, generation)
}

/** Compiles the entries of a whole tree or of one part. */
export function compileEntries (tree: FleetTree): CompiledEntries {
  return {
    classes: listNamedEntries(tree.classes),
    workspaces: listNamedEntries(tree.workspaces),
    services: listNamedEntries(tree.services),
    endpoints: listNamedEntries(tree.endpoints).map(endpoint => ({ ...endpoint, service: endpoint.service ?? null }))
  }
}

/** Builds one configuration from compiled parts. The entries are shared, not copied. */
export function buildFleetConfig (parts: CompiledEntries[], settings: FleetTree['settings'], generation: number): FleetConfig {
  const endpoints = buildMapByName(parts.map(part => part.endpoints))
  return {
    generation,
    classes: buildMapByName(parts.map(part => part.classes)),
    workspaces: buildMapByName(parts.map(part => part.workspaces)),
    services: buildMapByName(parts.map(part => part.services)),
    endpoints,
    models: new Set([...endpoints.values()].flatMap(endpoint => endpoint.models)),
    settings
  }
}

function listNamedEntries<Entry extends object> (section: Record<string, Entry>): Array<Entry & { name: string }> {
  return Object.entries(section).map(([name, entry]) => ({ name, ...entry }))
}

function buildMapByName<Entry extends { name: string }> (lists: Entry[][]): Map<string, Entry> {
  const map = new Map<string, Entry>()
  for (const list of lists) {
    for (const entry of list) map.set(entry.name, entry)
  }
  return map
}
