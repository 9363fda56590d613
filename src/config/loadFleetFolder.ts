import { Result } from 'true-myth'

import { checkReferences } from './referenceChecks'
import { fleetTreeSchema } from './fleetSchema'
import { readFolder } from './folderReader'
import { mergeLayers } from './layerMerge'
import { buildSchemaFindings } from './schemaFindings'
import { buildPlainValue, findKeyLocation, findLocation } from './sourceTree'

import type * as z from 'zod'

import type { Finding } from './finding'
import type { FleetTree } from './fleetSchema'
import type { LocationFinder } from './schemaFindings'
import type { SourceMap } from './sourceTree'

/** Levels from the root to one class, workspace, service, endpoint or setting. */
const ENTRY_DEPTH = 2

/**
 * Loads and checks an operator's folder. Returns all findings together: those of reading the files,
 * of the schema, and of references and sums among the entries that match the schema.
 *
 * @example
 * const tree = loadFleetFolder('examples/wonsowicz')
 * if (tree.isErr) process.stderr.write(formatFindings(tree.error))
 */
export function loadFleetFolder (folder: string): Result<FleetTree, Finding[]> {
  const { layers, findings } = readFolder(folder)
  if (layers.length === 0) return Result.err(findings)
  const checked = checkTree(mergeLayers(layers))
  if (checked.isErr) return Result.err([...findings, ...checked.error])
  return findings.length > 0 ? Result.err(findings) : checked
}

/** Checks a merged tree against the schema, and the references within it. */
export function checkTree (root: SourceMap): Result<FleetTree, Finding[]> {
  const parsed = fleetTreeSchema.safeParse(buildPlainValue(root))
  if (parsed.success) return buildResult(parsed.data, checkReferences(parsed.data, root))
  const findIssueLocation: LocationFinder = (path, isKey) => isKey ? findKeyLocation(root, path) : findLocation(root, path)
  const findings = buildSchemaFindings(fleetTreeSchema, parsed.error, findIssueLocation)
  const validSubset = fleetTreeSchema.safeParse(buildValidSubset(root, parsed.error.issues))
  return Result.err(validSubset.success ? [...findings, ...checkReferences(validSubset.data, root)] : findings)
}

function buildResult (tree: FleetTree, findings: Finding[]): Result<FleetTree, Finding[]> {
  return findings.length > 0 ? Result.err(findings) : Result.ok(tree)
}

/** Builds the plain value without unknown keys and without entries that have other schema errors. */
function buildValidSubset (root: SourceMap, issues: z.core.$ZodIssue[]): unknown {
  const value = buildPlainValue(root)
  for (const issue of issues) {
    if (issue.code === 'unrecognized_keys') issue.keys.forEach(key => removeKey(value, [...issue.path, key]))
    else removeKey(value, issue.path.slice(0, ENTRY_DEPTH))
  }
  return value
}

function removeKey (value: unknown, path: PropertyKey[]): void {
  let parent = value as Record<PropertyKey, unknown> | undefined
  for (const key of path.slice(0, -1)) parent = parent?.[key] as Record<PropertyKey, unknown> | undefined
  const last = path.at(-1)
  if (parent !== undefined && last !== undefined) delete parent[last]
}
