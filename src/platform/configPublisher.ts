import { Result } from 'true-myth'

import { createId } from '../base/identifiers'
import { buildConfigParts, mergePartTrees, parsePart } from '../config/configParts'
import { listNewDigests, parseManifest } from '../config/manifest'
import { diffTrees } from '../config/treeDiff'
import { MANIFEST_KEY } from './keys'
import { deleteParts, fetchParts, fetchVersions, putParts } from './partStore'
import { formatServiceError, retryRateLimited, waitMilliseconds } from './serviceRetry'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ConfigPart, PartTooLarge } from '../config/configParts'
import type { FleetTree } from '../config/fleetSchema'
import type { Manifest } from '../config/manifest'
import type { ConfigChange } from '../config/treeDiff'
import type { ObjectService, StoredObject, WriteCondition } from './objectService'

/** What publishing did. */
export type Publication =
  | { kind: 'accepted', manifest: Manifest, parts: ConfigPart[], writtenParts: number, writtenBytes: number }
  | { kind: 'unchanged', manifest: Manifest, parts: ConfigPart[] }

/** Why a configuration was not accepted, or is not known to be. */
export type PublishError =
  /** Another operator's configuration is in force; `changes` is what it changed, when that can still be read. */
  | { kind: 'conflict', baseGeneration: number, current: Manifest, changes: ConfigChange[] | null }
  /** Nothing was accepted. */
  | { kind: 'unavailable', message: string }
  /** The manifest may have been written; only the platform can tell. */
  | { kind: 'unknownOutcome', generation: number, writeId: string, message: string }
  | { kind: 'malformedManifest', message: string }
  | PartTooLarge

export interface PublisherOptions {
  /** Who applies, as shown to other operators. */
  appliedBy: string
  clock: Clock
}

export interface PublishOptions {
  /** Generation that must be in force; without it, the one found at the start. */
  baseGeneration?: number
}

interface Base {
  manifest: Manifest | null
  condition: WriteCondition
}

const MAX_INLINE_BYTES = 131_072
const MAX_EARLIER_WRITE_IDS = 16
const READ_BACK_PAUSE_MS = 100

/**
 * Puts configurations in force: first the parts, which change nothing by themselves, then the
 * manifest by one conditional update. A configuration is accepted when that update is confirmed.
 *
 * @example
 * const publisher = new ConfigPublisher(service, { appliedBy: 'anna', clock: systemClock })
 * const publication = await publisher.publish(tree, progress)
 */
export class ConfigPublisher {
  readonly #service: ObjectService
  readonly #options: PublisherOptions

  constructor (service: ObjectService, options: PublisherOptions) {
    this.#service = service
    this.#options = options
  }

  /** Publishes a checked configuration, or says why not and what changed under it. */
  async publish (tree: FleetTree, progress: Progress, options: PublishOptions = {}): Promise<Result<Publication, PublishError>> {
    const parts = buildConfigParts(tree)
    if (parts.isErr) return Result.err(parts.error)
    const base = await this.#readBase(progress)
    if (base.isErr) return Result.err(base.error)
    const { manifest } = base.value
    const generation = manifest?.generation ?? 0
    if (manifest !== null && options.baseGeneration !== undefined && options.baseGeneration !== generation) {
      return Result.err({ kind: 'conflict', baseGeneration: options.baseGeneration, current: manifest, changes: null })
    }
    const next = this.#buildManifest(manifest, parts.value)
    const isSame = manifest !== null && listNewDigests(next, manifest).length === 0 && listNewDigests(manifest, next).length === 0
    if (isSame) return Result.ok({ kind: 'unchanged', manifest, parts: parts.value })
    return await this.#writeAll(base.value, next, parts.value, progress)
  }

  async #readBase (progress: Progress): Promise<Result<Base, PublishError>> {
    const object = await retryRateLimited(() => this.#service.get(MANIFEST_KEY, progress), progress)
    if (object.isErr) return Result.err({ kind: 'unavailable', message: `the manifest could not be read: ${formatServiceError(object.error)}` })
    if (object.value === null) return Result.ok({ manifest: null, condition: { kind: 'absent' } })
    const manifest = parseManifest(object.value.value)
    if (manifest === null) return Result.err({ kind: 'malformedManifest', message: `the object ${MANIFEST_KEY} holds no manifest` })
    return Result.ok({ manifest, condition: { kind: 'version', version: object.value.version } })
  }

  async #writeAll (base: Base, next: Manifest, parts: ConfigPart[], progress: Progress): Promise<Result<Publication, PublishError>> {
    const used = new Set(next.parts.map(part => part.digest))
    const unused = (base.manifest?.dropped ?? []).filter(digest => !used.has(digest))
    const versions = await fetchVersions(this.#service, unused, progress)
    const fresh = selectFresh(parts, base.manifest)
    const written = await putParts(this.#service, fresh, progress)
    if (written.isErr) return Result.err({ kind: 'unavailable', message: `the parts could not be written: ${formatServiceError(written.error)}` })
    const confirmed = await this.#writeManifest(base, next, progress)
    if (confirmed.isErr) return Result.err(confirmed.error)
    await deleteParts(this.#service, versions, progress)
    const writtenBytes = fresh.reduce((sum, part) => sum + Buffer.byteLength(part.text), 0)
    return Result.ok({ kind: 'accepted', manifest: next, parts, writtenParts: fresh.length, writtenBytes })
  }

  /**
   * Writes the manifest until its fate is known. The same conditional write may be sent again: if
   * an earlier one took effect without an answer, the conflict shows its write identifier.
   */
  async #writeManifest (base: Base, next: Manifest, progress: Progress): Promise<Result<null, PublishError>> {
    let lost: string | null = null
    while (true) {
      const result = await retryRateLimited(() => this.#service.put(MANIFEST_KEY, next, base.condition, progress), progress)
      if (result.isOk) return Result.ok(null)
      const { error } = result
      if (error.kind === 'conflict') return await this.#resolveConflict(base, next, error.current, progress)
      if (error.kind === 'unknownOutcome') lost = error.message
      else if (lost === null) return Result.err({ kind: 'unavailable', message: `the manifest was not written: ${formatServiceError(error)}` })
      if (progress.signal.aborted || progress.getRemainingMs() <= READ_BACK_PAUSE_MS) {
        return Result.err({ kind: 'unknownOutcome', generation: next.generation, writeId: next.writeId, message: lost ?? formatServiceError(error) })
      }
      await waitMilliseconds(READ_BACK_PAUSE_MS, progress.signal)
    }
  }

  async #resolveConflict (base: Base, next: Manifest, object: StoredObject | null, progress: Progress): Promise<Result<null, PublishError>> {
    const current = parseManifest(object?.value)
    if (current === null) return Result.err({ kind: 'malformedManifest', message: `the object ${MANIFEST_KEY} was removed or holds no manifest` })
    if ([current.writeId, ...current.earlierWriteIds].includes(next.writeId)) return Result.ok(null)
    const changes = await this.#listChanges(base.manifest, current, progress)
    return Result.err({ kind: 'conflict', baseGeneration: base.manifest?.generation ?? 0, current, changes })
  }

  /** Lists what lies between two manifests; `null` when a part of either is gone. */
  async #listChanges (before: Manifest | null, after: Manifest, progress: Progress): Promise<ConfigChange[] | null> {
    const oldTree = await this.#readDifference(before, after, progress)
    const newTree = await this.#readDifference(after, before, progress)
    return oldTree === null || newTree === null ? null : diffTrees(oldTree, newTree)
  }

  async #readDifference (manifest: Manifest | null, other: Manifest | null, progress: Progress): Promise<FleetTree | null> {
    if (manifest === null) return mergePartTrees([])
    const digests = listNewDigests(manifest, other)
    const texts = await fetchParts(this.#service, digests, progress)
    const parts = manifest.parts.filter(part => digests.includes(part.digest))
    const trees = parts.flatMap(({ name, digest }) => {
      const tree = parsePart(texts.get(digest) ?? '')
      return tree === null ? [] : [{ name, tree }]
    })
    return trees.length === parts.length ? mergePartTrees(trees) : null
  }

  #buildManifest (base: Manifest | null, parts: ConfigPart[]): Manifest {
    const digests = new Set(parts.map(part => part.digest))
    const dropped = base === null ? [] : [...new Set(base.parts.map(part => part.digest))].filter(digest => !digests.has(digest))
    return {
      generation: (base?.generation ?? 0) + 1,
      parts: parts.map(({ name, digest }) => ({ name, digest })),
      dropped,
      inline: buildInline(selectFresh(parts, base)),
      writeId: createId('config'),
      earlierWriteIds: base === null ? [] : [base.writeId, ...base.earlierWriteIds].slice(0, MAX_EARLIER_WRITE_IDS),
      appliedBy: this.#options.appliedBy,
      appliedAtMs: this.#options.clock.getWallMs()
    }
  }
}

function selectFresh (parts: ConfigPart[], base: Manifest | null): ConfigPart[] {
  const known = new Set(base?.parts.map(part => part.digest))
  return parts.filter(part => !known.has(part.digest))
}

/** Takes the new parts into the manifest when all of them are small enough together. */
function buildInline (fresh: ConfigPart[]): Manifest['inline'] {
  const bytes = fresh.reduce((sum, part) => sum + Buffer.byteLength(part.text), 0)
  return bytes > MAX_INLINE_BYTES ? [] : fresh.map(({ digest, text }) => ({ digest, text }))
}
