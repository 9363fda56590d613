import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml'

import type { ParsedNode, YAMLError } from 'yaml'

import type { Finding, Place } from './finding'

/** A value of a YAML file with the place it was written at. */
export type SourceNode =
  | { kind: 'scalar', place: Place, value: string | number | boolean }
  | { kind: 'null', place: Place }
  | { kind: 'list', place: Place, items: SourceNode[] }
  | SourceMap

export interface SourceMap {
  kind: 'map'
  place: Place
  entries: Map<string, SourceEntry>
}

/** One key of a map with its value. */
export interface SourceEntry {
  keyPlace: Place
  node: SourceNode
}

/** What one file gave: its tree as far as it could be read, and the findings. */
export interface ParsedSource {
  root: SourceMap
  findings: Finding[]
  /** Whether the tree says all that the file says. */
  isWhole: boolean
}

const MAX_DEPTH_LEVELS = 20
const MAX_SYNTAX_FINDINGS = 20

/**
 * Parses the text of one YAML file into a tree that knows the place of each value.
 *
 * @example
 * const { root, findings } = parseSource('10-classes.yaml', 'classes: {}')
 */
export function parseSource (file: string, text: string): ParsedSource {
  const reader = new SourceReader(file)
  return reader.read(text)
}

/** Finds the place of the value at `path`, or of the nearest map or list that encloses it. */
export function findPlace (root: SourceNode, path: readonly PropertyKey[]): Place {
  let node = root
  for (const key of path) {
    const child = findChild(node, key)
    if (child === undefined) return node.place
    node = child
  }
  return node.place
}

/** Finds the place of the key at the end of `path`; the value's place for an item of a list. */
export function findKeyPlace (root: SourceNode, path: readonly PropertyKey[]): Place {
  const parent = findNode(root, path.slice(0, -1))
  const entry = parent?.kind === 'map' ? parent.entries.get(String(path.at(-1))) : undefined
  return entry?.keyPlace ?? findPlace(root, path)
}

/** Finds the node at `path`, if the tree has one. */
export function findNode (root: SourceNode, path: readonly PropertyKey[]): SourceNode | undefined {
  let node: SourceNode | undefined = root
  for (const key of path) node = node && findChild(node, key)
  return node
}

/** Builds the plain value of a tree, without places. */
export function buildPlainValue (node: SourceNode): unknown {
  switch (node.kind) {
    case 'scalar': return node.value
    case 'null': return null
    case 'list': return node.items.map(buildPlainValue)
    case 'map': return Object.fromEntries([...node.entries].map(([key, entry]) => [key, buildPlainValue(entry.node)]))
  }
}

function findChild (node: SourceNode, key: PropertyKey): SourceNode | undefined {
  if (node.kind === 'map') return node.entries.get(String(key))?.node
  if (node.kind === 'list') return node.items[Number(key)]
  return undefined
}

class SourceReader {
  readonly #file: string
  readonly #lines = new LineCounter()
  readonly #findings: Finding[] = []
  #isWhole = true

  constructor (file: string) {
    this.#file = file
  }

  read (text: string): ParsedSource {
    const root = this.#parse(text)
    return { root, findings: this.#findings, isWhole: this.#isWhole }
  }

  #parse (text: string): SourceMap {
    const empty: SourceMap = { kind: 'map', place: this.#findPlace(0), entries: new Map() }
    try {
      // The library compares each key with all others of its map; buildEntries finds doubled keys in linear time.
      const document = parseDocument(text, { lineCounter: this.#lines, prettyErrors: false, uniqueKeys: false })
      this.#addFaults([...document.errors, ...document.warnings])
      if (document.contents === null) return empty
      const node = this.#buildNode(document.contents as ParsedNode, [])
      if (node.kind === 'map') return node
      if (node.kind === 'null') return empty
      this.#addFinding(0, '', 'the file holds no map of keys', 'Write keys such as "classes:" at the start of a line.')
    } catch (error) {
      this.#isWhole = false
      this.#addFinding(0, '', `the file cannot be read as YAML: ${(error as Error).message}`, 'Write plain YAML with little nesting.')
    }
    return empty
  }

  #buildNode (node: ParsedNode | null, path: string[]): SourceNode {
    const offset = node?.range?.[0] ?? 0
    const place = this.#findPlace(offset)
    const absent: SourceNode = { kind: 'null', place }
    if (path.length > MAX_DEPTH_LEVELS) {
      this.#addFinding(offset, path.join('.'), `is nested deeper than ${MAX_DEPTH_LEVELS} levels`, 'Write it with less nesting.')
      return absent
    }
    if (isMap(node)) return { kind: 'map', place, entries: this.#buildEntries(node.items as MapItem[], path) }
    if (isSeq(node)) return { kind: 'list', place, items: node.items.map((item, index) => this.#buildNode(item as ParsedNode, [...path, String(index)])) }
    if (isScalar(node)) return this.#buildScalar(node.value, place, absent)
    if (isAlias(node)) this.#addFinding(offset, path.join('.'), 'is an alias', 'Write the value out.')
    return absent
  }

  #buildScalar (value: unknown, place: Place, absent: SourceNode): SourceNode {
    const isPlain = typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean'
    return isPlain ? { kind: 'scalar', place, value } : absent
  }

  #buildEntries (items: MapItem[], path: string[]): Map<string, SourceEntry> {
    const entries = new Map<string, SourceEntry>()
    for (const { key, value } of items) {
      const offset = key.range?.[0] ?? 0
      const name = isScalar(key) && key.value !== null ? String(key.value) : '__proto__'
      if (name === '__proto__') {
        this.#addFinding(offset, path.join('.'), 'has a key that is no name', 'Write a word as the key.')
        continue
      }
      if (entries.has(name)) {
        this.#addFinding(offset, [...path, name].join('.'), 'stands twice in this map', 'Keep one of the two.')
        continue
      }
      const keyPlace = this.#findPlace(offset)
      const node = this.#buildNode(value, [...path, name])
      entries.set(name, { keyPlace, node: value === null ? { ...node, place: keyPlace } : node })
    }
    return entries
  }

  /** One slip in the text makes the parser report many faults; the first ones tell enough. */
  #addFaults (faults: YAMLError[]): void {
    const seen = new Set<string>()
    if (faults.length > 0) this.#isWhole = false
    for (const { pos, message } of faults) {
      const text = `${pos[0]} ${message}`
      if (seen.has(text) || seen.size >= MAX_SYNTAX_FINDINGS) continue
      seen.add(text)
      this.#addFinding(pos[0], '', message, 'Mend the YAML at this place.')
    }
  }

  #findPlace (offset: number): Place {
    const position = this.#lines.linePos(offset)
    return { kind: 'file', file: this.#file, line: Math.max(1, position.line), column: Math.max(1, position.col) }
  }

  #addFinding (offset: number, path: string, message: string, advice: string): void {
    this.#findings.push({ place: this.#findPlace(offset), path, message, advice })
  }
}

interface MapItem {
  key: ParsedNode
  value: ParsedNode | null
}
