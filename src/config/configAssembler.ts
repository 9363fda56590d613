import { Result } from 'true-myth'

import { buildFleetConfig, compileEntries } from './compileFleetConfig'
import { CORE_PART, hashPart, parsePart } from './configParts'

import type { CompiledEntries } from './compileFleetConfig'
import type { FleetConfig } from './fleetConfig'
import type { FleetTree } from './fleetSchema'
import type { Manifest } from './manifest'

/** Reason why no configuration can be built from a manifest and its parts. */
export type ConfigAssemblyError =
  | { kind: 'missingPart', name: string, digest: string }
  | { kind: 'wrongDigest', name: string, digest: string }
  | { kind: 'malformedPart', name: string, digest: string }
  | { kind: 'noClasses' }

interface CachedPart {
  text: string
  entries: CompiledEntries
  settings: FleetTree['settings']
}

/**
 * Builds configurations from manifests and parts. It caches the parts of the last configuration, so
 * that the next build parses only the changed parts. If a part of the manifest is missing or
 * invalid, the build fails and the cached parts stay.
 *
 * @example
 * const assembler = new ConfigAssembler()
 * const config = assembler.build(manifest, texts)
 */
export class ConfigAssembler {
  #cachedParts = new Map<string, CachedPart>()

  /** Lists the digests of a manifest's parts that are neither cached nor inline in the manifest. */
  listMissingDigests (manifest: Manifest): string[] {
    const inlineDigests = new Set(manifest.inline.map(part => part.digest))
    const digests = new Set(manifest.parts.map(part => part.digest))
    return [...digests].filter(digest => !this.#cachedParts.has(digest) && !inlineDigests.has(digest))
  }

  /** Returns the text of a cached part; null if it is not cached. */
  getPartText (digest: string): string | null {
    return this.#cachedParts.get(digest)?.text ?? null
  }

  /** Builds the configuration of `manifest` from cached parts, its inline parts and `texts` by digest. */
  build (manifest: Manifest, texts: ReadonlyMap<string, string>): Result<FleetConfig, ConfigAssemblyError[]> {
    const availableTexts = new Map([...texts, ...manifest.inline.map(part => [part.digest, part.text] as const)])
    const usedParts = new Map<string, CachedPart>()
    const errors: ConfigAssemblyError[] = []
    for (const { name, digest } of manifest.parts) {
      const part = this.#cachedParts.get(digest) ?? buildCachedPart(name, digest, availableTexts.get(digest))
      if ('kind' in part) errors.push(part)
      else usedParts.set(digest, part)
    }
    const core = usedParts.get(manifest.parts.find(part => part.name === CORE_PART)?.digest ?? '')
    if (errors.length === 0 && (core === undefined || core.entries.classes.length === 0)) errors.push({ kind: 'noClasses' })
    if (errors.length > 0 || core === undefined) return Result.err(errors)
    this.#cachedParts = usedParts
    const entries = [...usedParts.values()].map(part => part.entries)
    return Result.ok(buildFleetConfig(entries, core.settings, manifest.generation))
  }
}

/** Formats errors for a log line or an error message. */
export function formatAssemblyErrors (errors: ConfigAssemblyError[]): string {
  return errors.map(formatAssemblyError).join('; ')
}

function formatAssemblyError (error: ConfigAssemblyError): string {
  switch (error.kind) {
    case 'missingPart': return `part ${error.name} (${error.digest}) is missing`
    case 'wrongDigest': return `part ${error.name} does not match its digest ${error.digest}`
    case 'malformedPart': return `part ${error.name} (${error.digest}) is malformed`
    case 'noClasses': return 'the configuration has no classes'
  }
}

function buildCachedPart (name: string, digest: string, text: string | undefined): CachedPart | ConfigAssemblyError {
  if (text === undefined) return { kind: 'missingPart', name, digest }
  if (hashPart(text) !== digest) return { kind: 'wrongDigest', name, digest }
  const tree = parsePart(text)
  if (tree === null) return { kind: 'malformedPart', name, digest }
  return { text, entries: compileEntries(tree), settings: tree.settings }
}
