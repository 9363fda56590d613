import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

import { stringify } from 'yaml'

import { ManualClock } from '../../src/base/clock'
import { hashText } from '../../src/base/identifiers'
import { Progress } from '../../src/base/progress'
import { ConfigAssembler } from '../../src/config/configAssembler'
import { buildConfigParts } from '../../src/config/configParts'
import { fleetTreeSchema } from '../../src/config/fleetSchema'
import { loadFleetFolder } from '../../src/config/loadFleetFolder'
import { ConfigPublisher } from '../../src/store/configPublisher'
import { MemoryObjectService } from '../../tests/fakes/memoryObjectService'

import type { PartLayout } from '../../src/config/configParts'
import type { FleetTree } from '../../src/config/fleetSchema'
import type { Publication } from '../../src/store/configPublisher'

const ENDPOINT_COUNT = 600
const MODEL_COUNT = 35
const REPETITIONS = 5
const BYTES_PER_MB = 1_048_576

/** Costs of a configuration of one size. */
export interface SizeCosts {
  workspaceCount: number
  loadMs: number
  buildPartsMs: number
  /** Time to build the configuration without any known part, as a process does at its start. */
  firstBuildMs: number
  /** Time to build it after a change of one workspace. */
  nextBuildMs: number
  partCount: number
  largestPartBytes: number
  manifestBytes: number
  /** Size of the manifest with the changed part inline, as each process receives it for one change. */
  changeBytes: number
  retainedMb: number
}

/** Builds a configuration with the endpoints and models of the target fleet size and the given number of workspaces. */
export function buildLargeTree (workspaceCount: number): FleetTree {
  const classes = ['quote', 'booking', 'drawing-check', 'job-status', 'shop-question', 'order-draft']
  const classEntries = classes.map((name, index) => [name, { tier: index + 1, firstTokenTargetMs: 710, betweenTokensTargetMs: 53, deadlineMs: 30_000 }])
  const workspaces = Array.from({ length: workspaceCount }, (_, index) => [`workspace-${index}`, {
    keyDigests: [hashText(`key-${index}`), hashText(`second-key-${index}`)], classes, defaultClass: 'quote'
  }])
  const endpoints = Array.from({ length: ENDPOINT_COUNT }, (_, index) => [`engine-${index}`, {
    kind: 'engine', slots: 32, models: [`model-${index % MODEL_COUNT}`, `model-${(index + 7) % MODEL_COUNT}`]
  }])
  return fleetTreeSchema.parse({
    classes: Object.fromEntries(classEntries),
    workspaces: Object.fromEntries(workspaces),
    endpoints: Object.fromEntries(endpoints)
  })
}

/** Returns a copy of `tree` with another request rate limit for the first workspace. */
export function updateFirstWorkspace (tree: FleetTree, requestsPerSecond: number): FleetTree {
  const workspace = tree.workspaces['workspace-0']!
  return { ...tree, workspaces: { ...tree.workspaces, 'workspace-0': { ...workspace, requestsPerSecond } } }
}

/** Measures the costs of one size, from loading the folder to the built configuration. */
export async function measureSize (workspaceCount: number): Promise<SizeCosts> {
  const tree = buildLargeTree(workspaceCount)
  const service = new MemoryObjectService()
  const first = await publish(service, tree)
  const second = await publish(service, updateFirstWorkspace(tree, 99))
  const manifestBytes = Buffer.byteLength(JSON.stringify({ ...second.manifest, inline: [] }))
  const texts = new Map(first.parts.map(part => [part.digest, part.text]))
  const assembler = new ConfigAssembler()
  const firstBuildMs = measureMs(() => new ConfigAssembler().build(first.manifest, texts))
  const retainedMb = measureRetainedMb(() => assembler.build(first.manifest, buildCopies(texts)))
  return {
    workspaceCount,
    loadMs: measureFolder(tree),
    buildPartsMs: measureMs(() => buildConfigParts(tree)),
    firstBuildMs,
    nextBuildMs: measureNextBuild(assembler, first, second),
    partCount: first.parts.length,
    largestPartBytes: Math.max(...first.parts.map(part => Buffer.byteLength(part.text))),
    manifestBytes,
    changeBytes: Buffer.byteLength(JSON.stringify(second.manifest)),
    retainedMb
  }
}

/** Computes the bytes that one change transfers with the given layout: the manifest and a workspace part of mean size. */
export function computeChangeBytes (tree: FleetTree, layout: PartLayout): { parts: number, manifest: number, part: number } {
  const built = buildConfigParts(tree, layout)
  if (built.isErr) return { parts: 0, manifest: 0, part: built.error.bytes }
  const names = built.value.map(({ name, digest }) => ({ name, digest }))
  const workspaceParts = built.value.filter(part => part.name.startsWith('workspaces/'))
  const mean = workspaceParts.reduce((sum, part) => sum + part.text.length, 0) / workspaceParts.length
  return { parts: names.length, manifest: JSON.stringify(names).length, part: Math.round(mean) }
}

async function publish (service: MemoryObjectService, tree: FleetTree): Promise<Publication> {
  const publisher = new ConfigPublisher(service, { appliedBy: 'bench', clock: new ManualClock() })
  const publication = await publisher.publish(tree, new Progress({ title: 'publishing', timeoutMs: 60_000 }))
  if (publication.isErr) throw new Error(JSON.stringify(publication.error))
  return publication.value
}

/** Measures the build after a change. It alternates two generations, because the assembler does not rebuild a part that it already has. */
function measureNextBuild (assembler: ConfigAssembler, first: Publication, second: Publication): number {
  const texts = new Map([...first.parts, ...second.parts].map(part => [part.digest, part.text]))
  let isSecond = false
  return measureMs(() => {
    isSecond = !isSecond
    assembler.build((isSecond ? second : first).manifest, texts)
  })
}

function measureFolder (tree: FleetTree): number {
  const folder = mkdtempSync(path.join(tmpdir(), 'tanagerwick-bench-'))
  try {
    for (const [section, entries] of Object.entries(tree)) writeFileSync(path.join(folder, `${section}.yaml`), stringify({ [section]: entries }))
    return measureMs(() => {
      const loaded = loadFleetFolder(folder)
      if (loaded.isErr) throw new Error('the configuration folder of the bench is invalid')
    })
  } finally {
    rmSync(folder, { recursive: true })
  }
}

/** Copies the texts, so that the retained heap includes their memory. */
function buildCopies (texts: Map<string, string>): Map<string, string> {
  return new Map([...texts].map(([digest, text]) => [digest, Buffer.from(text).toString('latin1')]))
}

function measureRetainedMb (build: () => unknown): number {
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const held = build()
  globalThis.gc?.()
  const after = process.memoryUsage().heapUsed
  return held === undefined ? 0 : (after - before) / BYTES_PER_MB
}

/** Measures the median duration of several runs. */
function measureMs (run: () => void): number {
  const times = Array.from({ length: REPETITIONS }, () => {
    const startMs = performance.now()
    run()
    return performance.now() - startMs
  })
  return times.sort((one, other) => one - other)[Math.floor(REPETITIONS / 2)]!
}
