import type { FleetTree } from './fleetSchema'

/** One difference between two configurations. */
export type ConfigChange =
  | { kind: 'added', path: string, after: unknown }
  | { kind: 'removed', path: string, before: unknown }
  | { kind: 'changed', path: string, before: unknown, after: unknown }

type Section = Record<string, unknown>

/**
 * Lists the differences between two configurations: whole entries added or removed, and the keys
 * of entries that differ, sorted by path.
 *
 * @example
 * diffTrees(before, after) // [{ kind: 'changed', path: 'classes.quote.tier', before: 1, after: 2 }]
 */
export function diffTrees (before: FleetTree, after: FleetTree): ConfigChange[] {
  const sections = ['classes', 'workspaces', 'services', 'endpoints'] as const
  const changes = sections.flatMap(section => diffSections(section, before[section], after[section]))
  return [...changes, ...diffEntries('settings', before.settings, after.settings)]
}

/** Formats changes, one line each. */
export function formatChanges (changes: ConfigChange[]): string {
  return changes.map(formatChange).join('\n')
}

function formatChange (change: ConfigChange): string {
  switch (change.kind) {
    case 'added': return `+ ${change.path}: ${JSON.stringify(change.after)}`
    case 'removed': return `- ${change.path}`
    case 'changed': return `~ ${change.path}: ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`
  }
}

function diffSections (section: string, before: Section, after: Section): ConfigChange[] {
  return listNames(before, after).flatMap(name => {
    const beforeEntry = before[name]
    const afterEntry = after[name]
    const path = `${section}.${name}`
    if (beforeEntry === undefined) return [{ kind: 'added', path, after: afterEntry }]
    if (afterEntry === undefined) return [{ kind: 'removed', path, before: beforeEntry }]
    return diffEntries(path, beforeEntry as Section, afterEntry as Section)
  })
}

function diffEntries (path: string, before: Section, after: Section): ConfigChange[] {
  return listNames(before, after).flatMap((key): ConfigChange[] => {
    if (JSON.stringify(before[key]) === JSON.stringify(after[key])) return []
    return [{ kind: 'changed', path: `${path}.${key}`, before: before[key] ?? null, after: after[key] ?? null }]
  })
}

function listNames (before: Section, after: Section): string[] {
  return [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
}
