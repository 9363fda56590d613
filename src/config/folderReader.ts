import { readdirSync, readFileSync, statSync } from 'node:fs'
import path from 'node:path'

import { parseSource } from './sourceTree'

import type { Finding } from './finding'
import type { ParsedSource, SourceMap } from './sourceTree'

/** Trees of a folder's files, in merge order, and the findings. */
export interface FolderContent {
  layers: SourceMap[]
  findings: Finding[]
}

const MAX_FILE_BYTES = 8 * 1_048_576
const FILE_NAME_PATTERN = /^[^.].*\.ya?ml$/

/**
 * Reads the `.yaml` and `.yml` files of a folder, sorted by name in code unit order. Ignores other
 * files, hidden files and subfolders.
 *
 * @example
 * const { layers, findings } = readFolder('examples/wonsowicz')
 */
export function readFolder (folder: string): FolderContent {
  const files = listFiles(folder)
  if (!Array.isArray(files)) return { layers: [], findings: [files] }
  const sources = files.map(file => readFile(path.join(folder, file)))
  return { layers: orderLayers(sources), findings: sources.flatMap(source => source.findings) }
}

/**
 * Puts the trees of incomplete files first. Their readable keys still define names but do not
 * override those of complete files, so that one syntax error causes few findings elsewhere.
 */
function orderLayers (sources: ParsedSource[]): SourceMap[] {
  const incomplete = sources.filter(source => !source.isComplete)
  const complete = sources.filter(source => source.isComplete)
  return [...incomplete.map(source => selectMapEntries(source.root)), ...complete.map(source => source.root)]
}

function selectMapEntries (root: SourceMap): SourceMap {
  return { ...root, entries: new Map([...root.entries].filter(([, entry]) => entry.node.kind === 'map')) }
}

function listFiles (folder: string): string[] | Finding {
  try {
    const files = readdirSync(folder).filter(file => FILE_NAME_PATTERN.test(file)).sort()
    if (files.length > 0) return files
    return createFinding(folder, 'contains no .yaml file', 'Name the folder with the configuration\'s files.')
  } catch (error) {
    return createFinding(folder, `cannot be read: ${(error as Error).message}`, 'Name the folder with the configuration\'s files.')
  }
}

function readFile (file: string): ParsedSource {
  try {
    const size = statSync(file).size
    if (size > MAX_FILE_BYTES) return createUnreadableSource(file, `is larger than ${MAX_FILE_BYTES} bytes`, 'Split it into several files.')
    return parseSource(file, new TextDecoder('utf-8', { fatal: true }).decode(readFileSync(file)))
  } catch (error) {
    return createUnreadableSource(file, `cannot be read as text: ${(error as Error).message}`, 'Save it as a readable file in UTF-8.')
  }
}

function createUnreadableSource (file: string, message: string, advice: string): ParsedSource {
  const finding = createFinding(file, message, advice)
  return { root: { kind: 'map', location: finding.location, entries: new Map() }, findings: [finding], isComplete: false }
}

function createFinding (file: string, message: string, advice: string): Finding {
  return { location: { kind: 'file', file, line: 1, column: 1 }, path: '', message, advice }
}
