import { buildConfigParts } from '../../src/config/configParts'
import { ConfigAssembler } from '../../src/config/configAssembler'
import { Authenticator } from '../../src/gateway/authenticator'
import { buildFleetTree } from './fleetTree'
import { readMemoryMb } from './stepCost'

import type { FleetTree } from '../../src/config/fleetSchema'
import type { Manifest } from '../../src/config/manifest'

/** Costs of a configuration of one size in each process that loads it. */
export interface ConfigSizeCost {
  workspaces: number
  parts: number
  largestPartBytes: number
  totalBytes: number
  manifestBytes: number
  /** Heap in megabytes: of the configuration with its parts, and of the gateway's key index. */
  configHeapMb: number
  keysHeapMb: number
  /** Processor milliseconds: to build the whole configuration, to apply one changed workspace, and to index the keys. */
  wholeMs: number
  changeMs: number
  keysMs: number
  changeBytes: number
}

const CHANGES = 20

const [workspaces, models, endpoints] = process.argv.slice(2).map(Number) as [number, number, number]
const tree = buildFleetTree({ workspaces, models, endpoints })
process.stdout.write(`${JSON.stringify(measureConfig(tree))}\n`)

function measureConfig (tree: FleetTree): ConfigSizeCost {
  const stored = buildStored(tree, 1)
  const before = readMemoryMb()
  const assembler = new ConfigAssembler()
  const texts = new Map([...stored.texts].map(([digest, text]) => [digest, readCopy(text)]))
  const whole = measureMs(() => assembler.build(stored.manifest, texts).unwrapOr(null))
  texts.clear()
  const withConfig = readMemoryMb()
  const keys = measureMs(() => new Authenticator(whole.result!))
  const withKeys = readMemoryMb()
  const change = measureChange(tree, stored.manifest, assembler)
  if (keys.result.findWorkspace('Bearer key-0').isErr) throw new Error('the key of workspace 0 was not found')
  return {
    workspaces,
    parts: stored.manifest.parts.length,
    largestPartBytes: Math.max(...[...stored.texts.values()].map(text => Buffer.byteLength(text))),
    totalBytes: [...stored.texts.values()].reduce((sum, text) => sum + Buffer.byteLength(text), 0),
    manifestBytes: Buffer.byteLength(JSON.stringify(stored.manifest)),
    configHeapMb: withConfig.heapMb - before.heapMb,
    keysHeapMb: withKeys.heapMb - withConfig.heapMb,
    wholeMs: whole.processorMs,
    keysMs: keys.processorMs,
    ...change
  }
}

/** Measures the mean cost of a changed workspace, by building a series of such changes. */
function measureChange (tree: FleetTree, first: Manifest, assembler: ConfigAssembler): { changeMs: number, changeBytes: number } {
  const name = Object.keys(tree.workspaces)[0]!
  let processorMs = 0
  let bytes = 0
  const known = new Set(first.parts.map(part => part.digest))
  for (let index = 0; index < CHANGES; index++) {
    const workspace = { ...tree.workspaces[name]!, maxConcurrent: 100 + index }
    const next = buildStored({ ...tree, workspaces: { ...tree.workspaces, [name]: workspace } }, 2 + index)
    const newTexts = [...next.texts].filter(([digest]) => !known.has(digest))
    const change = measureMs(() => assembler.build(next.manifest, new Map(newTexts)).unwrapOr(null))
    if (change.result === null) throw new Error('building the changed configuration failed')
    processorMs += change.processorMs
    bytes += newTexts.reduce((sum, [, text]) => sum + Buffer.byteLength(text), 0) + Buffer.byteLength(JSON.stringify(next.manifest))
  }
  return { changeMs: processorMs / CHANGES, changeBytes: bytes / CHANGES }
}

function buildStored (tree: FleetTree, generation: number): { manifest: Manifest, texts: Map<string, string> } {
  const built = buildConfigParts(tree)
  if (built.isErr) throw new Error(`part ${built.error.name} has ${built.error.bytes} bytes`)
  const parts = built.value.map(({ name, digest }) => ({ name, digest }))
  const manifest = { generation, parts, dropped: [], inline: [], writeId: 'write', earlierWriteIds: [], appliedBy: 'bench', appliedAtMs: 0 }
  return { manifest, texts: new Map(built.value.map(part => [part.digest, part.text])) }
}

/** Copies a text, as a text received over the network would be. */
function readCopy (text: string): string {
  return Buffer.from(text).toString('utf8')
}

function measureMs<T> (run: () => T): { result: T, processorMs: number } {
  const before = process.cpuUsage()
  const result = run()
  const used = process.cpuUsage(before)
  return { result, processorMs: (used.user + used.system) / 1000 }
}
