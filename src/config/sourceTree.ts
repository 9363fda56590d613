import { isAlias, isMap, isScalar, isSeq, LineCounter, parseDocument } from 'yaml'

import type { ParsedNode, YAMLError } from 'yaml'

import type { Finding, SourceLocation } from './finding'

/** A value of a YAML file with its source location. */
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

/** Result of parsing one file: the tree as far as it could be read, and the findings. */
export interface ParsedSource {
  root: SourceMap
  findings: Finding[]
  /** Whether the tree has the whole content of the file. */
  isComplete: boolean
}

const MAX_DEPTH_LEVELS = 20
const MAX_SYNTAX_FINDINGS = 20

/**
 * Parses the text of one YAML file into a tree with the source location of each value.
 *
 * @example
 * const { root, findings } = parseSource('10-classes.yaml', 'classes: {}')
 */
export function parseSource (file: string, text: string): ParsedSource {
  const reader = new SourceReader(file)
  return reader.read(text)
}

/** Finds the location of the value at `path`, or of the nearest enclosing map or list. */
export function findLocation (root: SourceNode, path: readonly PropertyKey[]): SourceLocation {
  let node = root
  for (const key of path) {
    const child = findChild(node, key)
    if (child === undefined) return node.location
    node = child
  }
  return node.location
}

/** Finds the location of the key at the end of `path`; for a list item, that of its value. */
export function findKeyLocation (root: SourceNode, path: readonly PropertyKey[]): SourceLocation {
  const parent = findNode(root, path.slice(0, -1))
  const entry = parent?.kind === 'map' ? parent.entries.get(String(path.at(-1))) : undefined
  return entry?.keyLocation ?? findLocation(root, path)
}

/** Finds the node at `path`; returns undefined if there is none. */
export function findNode (root: SourceNode, path: readonly PropertyKey[]): SourceNode | undefined {
  let node: SourceNode | undefined = root
  for (const key of path) node = node && findChild(node, key)
  return node
}

/** Builds the plain value of a tree, without locations. */
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
      // uniqueKeys is off because it compares each key with all others of its map; buildEntries finds duplicate keys in linear time.
      const document = parseDocument(text, { lineCounter: this.#lineCounter, prettyErrors: false, uniqueKeys: false })
      this.#addSyntaxFindings([...document.errors, ...document.warnings])
      if (document.contents === null) return empty
      const node = this.#buildNode(document.contents as ParsedNode, [])
      if (node.kind === 'map') return node
      if (node.kind === 'null') return empty
      this.#addFinding(0, '', 'the file does not contain a map of keys', 'Write keys such as "classes:" at the start of a line.')
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
    if (isAlias(node)) this.#addFinding(offset, path.join('.'), 'is an alias', 'Write out the value.')
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
        this.#addFinding(offset, path.join('.'), 'has a key that is not a name', 'Use a word as the key.')
        continue
      }
      if (entries.has(name)) {
        this.#addFinding(offset, [...path, name].join('.'), 'is a duplicate key in this map', 'Keep one of the two.')
        continue
      }
      const keyLocation = this.#findLocation(offset)
      const node = this.#buildNode(value, [...path, name])
      entries.set(name, { keyLocation, node: value === null ? { ...node, location: keyLocation } : node })
    }
    return entries
  }

  /** Adds the parser's first errors, each once; one mistake in the text can cause many errors. */
  #addSyntaxFindings (syntaxErrors: YAMLError[]): void {
    const seen = new Set<string>()
    if (syntaxErrors.length > 0) this.#isComplete = false
    for (const { pos, message } of syntaxErrors) {
      const key = `${pos[0]} ${message}`
      if (seen.has(key) || seen.size >= MAX_SYNTAX_FINDINGS) continue
      seen.add(key)
      this.#addFinding(pos[0], '', message, 'Fix the YAML syntax here.')
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
