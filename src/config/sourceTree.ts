import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml'

import type { ParsedNode, YAMLError } from 'yaml'

import type { Finding, SourceLocation } from './finding'

/** A value of a YAML file with the location it was written at. */
export type SourceNode =
  | { kind: 'scalar', location: SourceLocation, value: string | number | boolean }
  | { kind: 'null', location: SourceLocation }
  | { kind: 'list', location: SourceLocation, items: SourceNode[] }
  | SourceMap

export interface SourceMap {
  kind: 'map'
  location: SourceLocation
  entries: Map<string, SourceEntry>
}

/** One key of a map with its value. */
export interface SourceEntry {
  keyLocation: SourceLocation
  node: SourceNode
}

/** What one file gave: its tree as far as it could be read, and the findings. */
export interface ParsedSource {
  root: SourceMap
  findings: Finding[]
  /** Whether the tree says all that the file says. */
  isComplete: boolean
}

const MAX_DEPTH_LEVELS = 20
const MAX_SYNTAX_FINDINGS = 20

/**
 * Parses the text of one YAML file into a tree that knows the location of each value.
 *
 * @example
 * const { root, findings } = parseSource('10-classes.yaml', 'classes: {}')
 */
export function parseSource (file: string, text: string): ParsedSource {
  const reader = new SourceReader(file)
  return reader.read(text)
}

/** Finds the location of the value at `path`, or of the nearest map or list that encloses it. */
export function findLocation (root: SourceNode, path: readonly PropertyKey[]): SourceLocation {
  let node = root
  for (const key of path) {
    const child = findChild(node, key)
    if (child === undefined) return node.location
    node = child
  }
  return node.location
}

/** Finds the location of the key at the end of `path`; the value's location for an item of a list. */
export function findKeyLocation (root: SourceNode, path: readonly PropertyKey[]): SourceLocation {
  const parent = findNode(root, path.slice(0, -1))
  const entry = parent?.kind === 'map' ? parent.entries.get(String(path.at(-1))) : undefined
  return entry?.keyLocation ?? findLocation(root, path)
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
  readonly #lineCounter = new LineCounter()
  readonly #findings: Finding[] = []
  #isComplete = true

  constructor (file: string) {
    this.#file = file
  }

  read (text: string): ParsedSource {
    const root = this.#parse(text)
    return { root, findings: this.#findings, isComplete: this.#isComplete }
  }

  #parse (text: string): SourceMap {
    const empty: SourceMap = { kind: 'map', location: this.#findLocation(0), entries: new Map() }
    try {
      // The library compares each key with all others of its map; buildEntries finds doubled keys in linear time.
      const document = parseDocument(text, { lineCounter: this.#lineCounter, prettyErrors: false, uniqueKeys: false })
      this.#addSyntaxFindings([...document.errors, ...document.warnings])
      if (document.contents === null) return empty
      const node = this.#buildNode(document.contents as ParsedNode, [])
      if (node.kind === 'map') return node
      if (node.kind === 'null') return empty
      this.#addFinding(0, '', 'the file holds no map of keys', 'Write keys such as "classes:" at the start of a line.')
    } catch (error) {
      this.#isComplete = false
      this.#addFinding(0, '', `the file cannot be read as YAML: ${(error as Error).message}`, 'Write plain YAML with little nesting.')
    }
    return empty
  }

  #buildNode (node: ParsedNode | null, path: string[]): SourceNode {
    const offset = node?.range?.[0] ?? 0
    const location = this.#findLocation(offset)
    const nullNode: SourceNode = { kind: 'null', location }
    if (path.length > MAX_DEPTH_LEVELS) {
      this.#addFinding(offset, path.join('.'), `is nested deeper than ${MAX_DEPTH_LEVELS} levels`, 'Write it with less nesting.')
      return nullNode
    }
    if (isMap(node)) return { kind: 'map', location, entries: this.#buildEntries(node.items as MapItem[], path) }
    if (isSeq(node)) return { kind: 'list', location, items: node.items.map((item, index) => this.#buildNode(item as ParsedNode, [...path, String(index)])) }
    if (isScalar(node)) return this.#buildScalar(node.value, location, nullNode)
    if (isAlias(node)) this.#addFinding(offset, path.join('.'), 'is an alias', 'Write the value out.')
    return nullNode
  }

  #buildScalar (value: unknown, location: SourceLocation, nullNode: SourceNode): SourceNode {
    const isPlain = typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean'
    return isPlain ? { kind: 'scalar', location, value } : nullNode
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
      const keyLocation = this.#findLocation(offset)
      const node = this.#buildNode(value, [...path, name])
      entries.set(name, { keyLocation, node: value === null ? { ...node, location: keyLocation } : node })
    }
    return entries
  }

  /** One slip in the text makes the parser report many faults; the first ones tell enough. */
  #addSyntaxFindings (syntaxErrors: YAMLError[]): void {
    const seen = new Set<string>()
    if (syntaxErrors.length > 0) this.#isComplete = false
    for (const { pos, message } of syntaxErrors) {
      const key = `${pos[0]} ${message}`
      if (seen.has(key) || seen.size >= MAX_SYNTAX_FINDINGS) continue
      seen.add(key)
      this.#addFinding(pos[0], '', message, 'Mend the YAML at this place.')
    }
  }

  #findLocation (offset: number): SourceLocation {
    const position = this.#lineCounter.linePos(offset)
    return { kind: 'file', file: this.#file, line: Math.max(1, position.line), column: Math.max(1, position.col) }
  }

  #addFinding (offset: number, path: string, message: string, advice: string): void {
    this.#findings.push({ location: this.#findLocation(offset), path, message, advice })
  }
}

interface MapItem {
  key: ParsedNode
  value: ParsedNode | null
}
