import type { SourceEntry, SourceMap, SourceNode } from './sourceTree'

/**
 * Merges trees in order. A later value replaces an earlier one, maps merge key by key, a list is
 * replaced as a whole and a null removes the key. Each value keeps its source location.
 *
 * @example
 * mergeLayers([base, override]) // neither argument is changed
 */
export function mergeLayers (layers: SourceMap[]): SourceMap {
  const [first, ...rest] = layers
  const empty: SourceMap = { kind: 'map', location: first?.location ?? { kind: 'input', name: 'no file' }, entries: new Map() }
  if (first === undefined) return empty
  return [first, ...rest].reduce(mergeMaps, empty)
}

function mergeMaps (earlier: SourceMap, later: SourceMap): SourceMap {
  const entries = new Map(earlier.entries)
  for (const [key, entry] of later.entries) {
    const merged = mergeEntry(entries.get(key), entry)
    if (merged === null) entries.delete(key)
    else entries.set(key, merged)
  }
  return { kind: 'map', location: later.location, entries }
}

function mergeEntry (earlier: SourceEntry | undefined, later: SourceEntry): SourceEntry | null {
  if (later.node.kind === 'null') return null
  if (later.node.kind !== 'map') return later
  return { keyLocation: later.keyLocation, node: mergeMaps(getMapOrEmpty(earlier?.node, later.node), later.node) }
}

function getMapOrEmpty (node: SourceNode | undefined, later: SourceMap): SourceMap {
  return node?.kind === 'map' ? node : { kind: 'map', location: later.location, entries: new Map() }
}
