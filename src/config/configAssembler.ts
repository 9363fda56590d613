import { Result } from 'true-myth'

import { buildFleetConfig, compileEntries } from './compileFleetConfig'
import { CORE_PART, hashPart, parsePart } from './configParts'

import type { CompiledEntries } from './compileFleetConfig'
import type { FleetConfig } from './fleetConfig'
import type { FleetTree } from './fleetSchema'
import type { Manifest } from './manifest'

/** Why a manifest and its parts give no configuration. */
export type AssemblyFault =
  | { kind: 'missingPart', name: string, digest: string }
  | { kind: 'wrongDigest', name: string, digest: string }
  | { kind: 'malformedPart', name: string, digest: string }
  | { kind: 'noClasses' }

interface HeldPart {
  text: string
  entries: CompiledEntries
  settings: FleetTree['settings']
}

/**
 * Builds configurations from manifests and parts. It keeps the parts of the last one it built, so
 * that the next costs only what changed. A manifest whose parts are not all there and right gives
 * no configuration and changes nothing.
 *
 * @example
 * const assembler = new ConfigAssembler()
 * const config = assembler.build(manifest, texts)
 */
export class ConfigAssembler {
  #held = new Map<string, HeldPart>()

  /** Lists the digests of a manifest that are neither held nor in the manifest itself. */
  listMissing (manifest: Manifest): string[] {
    const inline = new Set(manifest.inline.map(part => part.digest))
    const digests = new Set(manifest.parts.map(part => part.digest))
    return [...digests].filter(digest => !this.#held.has(digest) && !inline.has(digest))
  }

  /** Gets the text of a part that is held. */
  getText (digest: string): string | null {
    return this.#held.get(digest)?.text ?? null
  }

  /** Builds the configuration of `manifest` from held parts, its inline ones and `texts` by digest. */
  build (manifest: Manifest, texts: ReadonlyMap<string, string>): Result<FleetConfig, AssemblyFault[]> {
    const available = new Map([...texts, ...manifest.inline.map(part => [part.digest, part.text] as const)])
    const held = new Map<string, HeldPart>()
    const faults: AssemblyFault[] = []
    for (const { name, digest } of manifest.parts) {
      const part = this.#held.get(digest) ?? buildHeldPart(name, digest, available.get(digest))
      if ('kind' in part) faults.push(part)
      else held.set(digest, part)
    }
    const core = held.get(manifest.parts.find(part => part.name === CORE_PART)?.digest ?? '')
    if (faults.length === 0 && (core === undefined || core.entries.classes.length === 0)) faults.push({ kind: 'noClasses' })
    if (faults.length > 0 || core === undefined) return Result.err(faults)
    this.#held = held
    const entries = [...held.values()].map(part => part.entries)
    return Result.ok(buildFleetConfig(entries, core.settings, manifest.generation))
  }
}

/** Formats faults for a log line or an error. */
export function formatAssemblyFaults (faults: AssemblyFault[]): string {
  return faults.map(formatAssemblyFault).join('; ')
}

function formatAssemblyFault (fault: AssemblyFault): string {
  switch (fault.kind) {
    case 'missingPart': return `part ${fault.name} (${fault.digest}) is missing`
    case 'wrongDigest': return `part ${fault.name} does not match its digest ${fault.digest}`
    case 'malformedPart': return `part ${fault.name} (${fault.digest}) is malformed`
    case 'noClasses': return 'the configuration has no classes'
  }
}

function buildHeldPart (name: string, digest: string, text: string | undefined): HeldPart | AssemblyFault {
  if (text === undefined) return { kind: 'missingPart', name, digest }
  if (hashPart(text) !== digest) return { kind: 'wrongDigest', name, digest }
  const tree = parsePart(text)
  if (tree === null) return { kind: 'malformedPart', name, digest }
  return { text, entries: compileEntries(tree), settings: tree.settings }
}
