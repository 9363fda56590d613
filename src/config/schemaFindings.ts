import * as z from 'zod'

import type { Finding, SourceLocation } from './finding'

/** Finds the source location of the value at `path`, or with `isKey` that of the key at its end. */
export type LocationFinder = (path: readonly PropertyKey[], isKey: boolean) => SourceLocation

/**
 * Builds the findings for the errors that `schema` reports on a value. The advice is the description
 * of the part of the schema that failed, so that each key is described in one place.
 *
 * @example
 * const parsed = schema.safeParse(value)
 * if (!parsed.success) return buildSchemaFindings(schema, parsed.error, finder)
 */
export function buildSchemaFindings (schema: z.ZodType, error: z.ZodError, finder: LocationFinder): Finding[] {
  return error.issues.flatMap(issue => buildIssueFindings(schema, issue, finder))
}

function buildIssueFindings (schema: z.ZodType, issue: z.core.$ZodIssue, finder: LocationFinder): Finding[] {
  if (issue.code === 'unrecognized_keys') return issue.keys.map(key => buildUnknownKeyFinding(schema, [...issue.path, key], finder))
  const { description } = findSchema(schema, issue.path)
  return [{
    location: finder(issue.path, issue.code === 'invalid_key'),
    path: formatPath(issue.path),
    message: describeIssue(issue),
    advice: description === undefined ? 'Give a valid value.' : `Give ${description}.`
  }]
}

function buildUnknownKeyFinding (schema: z.ZodType, path: PropertyKey[], finder: LocationFinder): Finding {
  const owner = findSchema(schema, path.slice(0, -1)).unwrapped
  const known = owner instanceof z.ZodObject ? Object.keys(owner.shape) : []
  return {
    location: finder(path, true),
    path: formatPath(path),
    message: 'is not a known key',
    advice: `Known keys here: ${known.join(', ')}.`
  }
}

function describeIssue (issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_key') return 'is not a usable name'
  if (issue.code === 'invalid_type' && issue.input === undefined && /received undefined/.test(issue.message)) return 'is missing'
  return issue.message.replace(/^Invalid input: /, '').replace(/^Too (small|big): /, '')
}

function formatPath (path: readonly PropertyKey[]): string {
  return path.map(String).join('.')
}

/** Finds the schema of the value at `path` and the description closest to it. */
function findSchema (root: z.ZodType, path: readonly PropertyKey[]): { unwrapped: z.ZodType | undefined, description: string | undefined } {
  let schema: z.ZodType | undefined = root
  let description = root.description
  for (const key of path) {
    schema = schema && findChildSchema(resolveSchema(schema), key)
    description = schema?.description ?? description
  }
  const unwrapped = schema && resolveSchema(schema)
  return { unwrapped, description: unwrapped?.description ?? description }
}

function findChildSchema (schema: z.ZodType, key: PropertyKey): z.ZodType | undefined {
  if (schema instanceof z.ZodObject) return schema.shape[String(key)]
  if (schema instanceof z.ZodRecord) return schema.valueType as z.ZodType
  if (schema instanceof z.ZodArray) return schema.element as z.ZodType
  return undefined
}

function resolveSchema (schema: z.ZodType): z.ZodType {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) return resolveSchema(schema.unwrap() as z.ZodType)
  return schema
}
