import { createHash } from 'node:crypto'

import { Result } from 'true-myth'

import { hashText } from '../base/identifiers'
import { partTreeSchema } from './fleetSchema'

import type { FleetTree } from './fleetSchema'

/** An immutable part of a configuration, stored under the digest of its text. */
export interface ConfigPart {
  /** Name of the part within the configuration, such as `workspaces/1f`. */
  name: string
  /** SHA-256 of the text in base64url. */
  digest: string
  /** JSON of the sections and entries in this part. */
  text: string
}

/** Numbers of parts over which the entries of the large sections are spread. */
export interface PartLayout {
  workspaceBuckets: number
  endpointBuckets: number
}

/** Error for a part that is too large for the object service. */
export interface PartTooLarge {
  kind: 'partTooLarge'
  name: string
  bytes: number
  limitBytes: number
}

/** Name of the part with classes, services and settings. */
export const CORE_PART = 'core'
export const MAX_PART_BYTES = 524_288
export const DEFAULT_LAYOUT: PartLayout = { workspaceBuckets: 128, endpointBuckets: 16 }

const BUCKET_HASH_DIGITS = 8

/**
 * Builds the parts of a configuration. An entry's part depends only on the entry's name, so that a
 * change of one workspace changes one part.
 *
 * @example
 * const parts = buildConfigParts(tree) // an error when a part has more than half a megabyte
 */
export function buildConfigParts (tree: FleetTree, layout = DEFAULT_LAYOUT): Result<ConfigPart[], PartTooLarge> {
  const { classes, services, settings } = tree
  const parts = [
    buildPart(CORE_PART, { classes, services, settings }),
    ...buildBuckets('workspaces', tree.workspaces, layout.workspaceBuckets),
    ...buildBuckets('endpoints', tree.endpoints, layout.endpointBuckets)
  ]
  const oversizedPart = parts.find(part => Buffer.byteLength(part.text) > MAX_PART_BYTES)
  if (oversizedPart === undefined) return Result.ok(parts)
  return Result.err({ kind: 'partTooLarge', name: oversizedPart.name, bytes: Buffer.byteLength(oversizedPart.text), limitBytes: MAX_PART_BYTES })
}

/** Returns the digest under which the text of a part is stored. */
export function hashPart (text: string): string {
  return createHash('sha256').update(text).digest('base64url')
}

/** Parses the text of a part; returns `null` if it is not a valid part. */
export function parsePart (text: string): FleetTree | null {
  try {
    const parsed = partTreeSchema.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : null
  } catch {
    return null
  }
}

/** Merges the trees of several parts. Classes, services and settings come from the core part. */
export function mergePartTrees (parts: Array<{ name: string, tree: FleetTree }>): FleetTree {
  const core = parts.find(part => part.name === CORE_PART)?.tree
  const trees = parts.map(part => part.tree)
  return {
    classes: core?.classes ?? {},
    services: core?.services ?? {},
    settings: core?.settings ?? partTreeSchema.parse({}).settings,
    workspaces: Object.assign({}, ...trees.map(tree => tree.workspaces)),
    endpoints: Object.assign({}, ...trees.map(tree => tree.endpoints))
  }
}

function buildBuckets (section: string, entries: Record<string, unknown>, bucketCount: number): ConfigPart[] {
  const buckets = new Map<number, Array<[string, unknown]>>()
  for (const name of Object.keys(entries).sort()) {
    const bucket = computeBucket(name, bucketCount)
    const members = buckets.get(bucket) ?? []
    members.push([name, entries[name]])
    buckets.set(bucket, members)
  }
  const sortedBuckets = [...buckets].sort(([one], [other]) => one - other)
  return sortedBuckets.map(([bucket, members]) => buildPart(`${section}/${bucket.toString(16)}`, { [section]: Object.fromEntries(members) }))
}

function computeBucket (name: string, bucketCount: number): number {
  return Number.parseInt(hashText(name).slice(0, BUCKET_HASH_DIGITS), 16) % bucketCount
}

function buildPart (name: string, content: Partial<FleetTree>): ConfigPart {
  const text = JSON.stringify(content)
  return { name, digest: hashPart(text), text }
}
