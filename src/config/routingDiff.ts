import type { Route, RoutedService, RoutedWorkspace, RoutingConfig } from './routingConfig'

/** One difference from the configuration in force, and what it does to requests on their way. */
export interface RoutingChange {
  kind: 'added' | 'removed' | 'changed'
  section: 'routes' | 'services' | 'workspaces' | 'bounds'
  /** Name of the entry, or of the bound. */
  name: string
  /** What differs, without keys of callers. */
  detail: string
  /** What happens to requests that are on their way when it comes into force; empty when nothing does. */
  effect: string
}

type Fields = Record<string, unknown>

const ROUTE_EFFECTS: Partial<Record<keyof Route, string>> = {
  host: 'requests that wait and no longer match are refused; those sent go on',
  prefix: 'requests that wait and no longer match are refused; those sent go on',
  isPublic: 'requests that wait without a valid key are refused where it is no longer public',
  shares: 'requests on their way stay with the service chosen for them',
  timeoutMs: 'requests on their way keep the time limit with which they arrived',
  targetMs: 'requests on their way keep the target with which they arrived',
  rank: 'requests on their way keep the rank with which they arrived',
  maxAttempts: 'requests on their way keep the attempts with which they arrived'
}

/**
 * Lists what differs between the configuration in force and the next one.
 *
 * @example
 * diffRouting(inForce, next).filter(({ kind }) => kind === 'removed')
 */
export function diffRouting (before: RoutingConfig, after: RoutingConfig): RoutingChange[] {
  return [
    ...diffSection('routes', before.routes, after.routes, diffRoute, 'requests that wait are refused; those sent go on'),
    ...diffSection('services', before.services, after.services, diffService, 'requests that wait for it are refused'),
    ...diffSection('workspaces', before.workspaces ?? [], after.workspaces ?? [], diffWorkspace, 'its requests that wait are refused; those sent go on'),
    ...listChangedFields({ ...before.bounds }, { ...after.bounds }).map(({ field, detail }): RoutingChange => ({ kind: 'changed', section: 'bounds', name: field, detail, effect: '' }))
  ]
}

/** Returns why a configuration cannot follow the one in force; null when it can. */
export function checkVersionOrder (before: RoutingConfig, after: RoutingConfig): string | null {
  if (after.version > before.version) return null
  return `version ${after.version} does not follow version ${before.version}, which is in force`
}

type EntryChange = Pick<RoutingChange, 'detail' | 'effect'>

function diffSection<Entry extends { name: string }> (section: RoutingChange['section'], before: readonly Entry[], after: readonly Entry[], diff: (one: Entry, other: Entry) => EntryChange[], removalEffect: string): RoutingChange[] {
  const afterByName = new Map(after.map(entry => [entry.name, entry]))
  const known = new Set(before.map(({ name }) => name))
  const kept = before.flatMap(({ name, ...rest }): RoutingChange[] => {
    const next = afterByName.get(name)
    if (next === undefined) return [{ kind: 'removed', section, name, detail: '', effect: removalEffect }]
    return diff({ name, ...rest } as Entry, next).map(change => ({ kind: 'changed', section, name, ...change }))
  })
  const added = after.filter(({ name }) => !known.has(name))
  return [...kept, ...added.map(({ name }): RoutingChange => ({ kind: 'added', section, name, detail: '', effect: '' }))]
}

function diffRoute (before: Route, after: Route): EntryChange[] {
  return listChangedFields({ ...before }, { ...after }).map(({ field, detail }) => ({ detail: `${field}: ${detail}`, effect: ROUTE_EFFECTS[field as keyof Route] ?? '' }))
}

function diffService (before: RoutedService, after: RoutedService): EntryChange[] {
  return listChangedFields({ ...before }, { ...after }).map(({ field, detail }) => ({ detail: `${field}: ${detail}`, effect: '' }))
}

function diffWorkspace (before: RoutedWorkspace, after: RoutedWorkspace): EntryChange[] {
  const removed = before.keys.filter(key => !after.keys.includes(key)).length
  const added = after.keys.filter(key => !before.keys.includes(key)).length
  return [
    ...before.rank === after.rank ? [] : [{ detail: `rank: ${before.rank} -> ${after.rank}`, effect: ROUTE_EFFECTS.rank ?? '' }],
    ...added === 0 ? [] : [{ detail: `${added} keys added`, effect: '' }],
    ...removed === 0 ? [] : [{ detail: `${removed} keys removed`, effect: 'requests that wait with one of them are refused; those sent go on' }]
  ]
}

function listChangedFields (before: Fields, after: Fields): Array<{ field: string, detail: string }> {
  return Object.keys(after).flatMap(field => {
    const [one, other] = [JSON.stringify(before[field]), JSON.stringify(after[field])]
    return one === other ? [] : [{ field, detail: `${one} -> ${other}` }]
  })
}
