import { Result } from 'true-myth'

import { mergePartTrees, parsePart } from '../config/configParts'
import { parseManifest } from '../config/manifest'
import { MANIFEST_KEY } from './keys'
import { fetchParts } from './partStore'
import { describeServiceError, isRateLimited, retryCall } from './retryCall'

import type { Progress } from '../base/progress'
import type { FleetTree } from '../config/fleetSchema'
import type { Manifest } from '../config/manifest'
import type { ObjectService } from './objectService'

/** The stored manifest with the version that a conditional update must name. */
export interface StoredManifest {
  manifest: Manifest
  version: number
}

/** The accepted configuration as plain data. */
export interface AcceptedTree {
  manifest: Manifest | null
  tree: FleetTree
}

export type ReadConfigError =
  | { kind: 'unavailable', message: string }
  | { kind: 'malformedManifest', message: string }

/**
 * Reads the manifest of the accepted configuration; returns `null` before the first one.
 *
 * @example
 * const stored = await readManifest(service, progress)
 */
export async function readManifest (service: ObjectService, progress: Progress): Promise<Result<StoredManifest | null, ReadConfigError>> {
  const object = await retryCall(() => service.get(MANIFEST_KEY, progress), progress, { isRetriable: isRateLimited })
  if (object.isErr) return Result.err({ kind: 'unavailable', message: `the manifest could not be read: ${describeServiceError(object.error)}` })
  if (object.value === null) return Result.ok(null)
  const manifest = parseManifest(object.value.value)
  if (manifest === null) return Result.err({ kind: 'malformedManifest', message: `the object ${MANIFEST_KEY} is not a valid manifest` })
  return Result.ok({ manifest, version: object.value.version })
}

/**
 * Reads the whole accepted configuration. Before the first one, returns an empty tree and no
 * manifest. The error is a message for people.
 */
export async function readAcceptedTree (service: ObjectService, progress: Progress): Promise<Result<AcceptedTree, string>> {
  const stored = await readManifest(service, progress)
  if (stored.isErr) return Result.err(stored.error.message)
  if (stored.value === null) return Result.ok({ manifest: null, tree: mergePartTrees([]) })
  const { manifest } = stored.value
  const tree = await readTree(service, manifest, [...new Set(manifest.parts.map(part => part.digest))], progress)
  return tree === null ? Result.err('a part of the accepted configuration could not be read') : Result.ok({ manifest, tree })
}

/**
 * Reads the parts of a configuration that have the given digests, as one tree. Returns `null` when
 * one of them cannot be read.
 */
export async function readTree (service: ObjectService, manifest: Manifest, digests: string[], progress: Progress): Promise<FleetTree | null> {
  const wanted = new Set(digests)
  const texts = await fetchParts(service, digests, progress)
  const parts = manifest.parts.filter(part => wanted.has(part.digest))
  const trees = parts.flatMap(({ name, digest }) => {
    const tree = parsePart(texts.get(digest) ?? '')
    return tree === null ? [] : [{ name, tree }]
  })
  return trees.length === parts.length ? mergePartTrees(trees) : null
}
