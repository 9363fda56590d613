import { Result } from 'true-myth'

import { createId } from '../base/identifiers'
import { buildConfigParts, mergePartTrees } from '../config/configParts'
import { listNewDigests, parseManifest } from '../config/manifest'
import { diffTrees } from '../config/treeDiff'
import { readManifest, readTree } from './configReader'
import { MANIFEST_KEY } from './keys'
import { deleteParts, fetchVersions, putParts } from './partStore'
import { waitFor } from './channels'
import { describeServiceError, isRateLimited, retryCall } from './retryCall'

import type { Clock } from '../base/clock'
import type { Progress } from '../base/progress'
import type { ConfigPart, PartTooLarge } from '../config/configParts'
import type { FleetTree } from '../config/fleetSchema'
import type { Manifest } from '../config/manifest'
import type { ConfigChange } from '../config/treeDiff'
import type { ObjectService, StoredObject, WriteCondition } from './objectService'

/** A configuration whose manifest write is confirmed, with the number and size of the parts written. */
export interface AcceptedPublication {
  kind: 'accepted'
  manifest: Manifest
  parts: ConfigPart[]
  writtenParts: number
  writtenBytes: number
}

/** Result of a successful publish. */
export type Publication =
  | AcceptedPublication
  | { kind: 'unchanged', manifest: Manifest, parts: ConfigPart[] }

/** Why a configuration was not accepted, or why it is unknown whether it was. */
export type PublishError =
  /**
   * Another operator's configuration is in force. `changes` lists what it changed. It is null if a part
   * can no longer be read, or if `baseGeneration` was already outdated at the start.
   */
  | { kind: 'conflict', baseGeneration: number, current: Manifest, changes: ConfigChange[] | null }
  /** Nothing was accepted. */
  | { kind: 'unavailable', message: string }
  /** The manifest may have been written; only a read from the platform shows it. */
  | { kind: 'unknownOutcome', generation: number, writeId: string, message: string }
  | { kind: 'malformedManifest', message: string }
  | PartTooLarge

export interface PublisherOptions {
  /** Name of the operator, as shown to other operators. */
  appliedBy: string
  clock: Clock
}

export interface PublishOptions {
  /** Generation that must be in force; by default the one found at the start. */
  baseGeneration?: number
  /** Called once the configuration is accepted, before unused parts are deleted. */
  onAccepted?: (publication: AcceptedPublication) => Promise<void>
}

interface BaseManifest {
  manifest: Manifest | null
  condition: WriteCondition
}

const MAX_INLINE_PARTS_BYTES = 131_072
const MAX_EARLIER_WRITE_IDS = 16
const READ_BACK_DELAY_MS = 100

/**
 * Publishes configurations. It writes the parts first, which change nothing by themselves. Then it
 * writes the manifest by one conditional update. A configuration is accepted when that update is
 * confirmed.
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

  /** Publishes a validated configuration, or returns why not, with the changes of a concurrent operator. */
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
    const isUnchanged = manifest !== null && listNewDigests(next, manifest).length === 0 && listNewDigests(manifest, next).length === 0
    if (isUnchanged) return Result.ok({ kind: 'unchanged', manifest, parts: parts.value })
    return await this.#writePublication(base.value, next, parts.value, progress, options)
  }

  async #readBase (progress: Progress): Promise<Result<BaseManifest, PublishError>> {
    const stored = await readManifest(this.#service, progress)
    return stored.map((found): BaseManifest => found === null
      ? { manifest: null, condition: { kind: 'absent' } }
      : { manifest: found.manifest, condition: { kind: 'version', version: found.version } })
  }

  async #writePublication (base: BaseManifest, next: Manifest, parts: ConfigPart[], progress: Progress, options: PublishOptions): Promise<Result<Publication, PublishError>> {
    const usedDigests = new Set(next.parts.map(part => part.digest))
    const unusedDigests = (base.manifest?.dropped ?? []).filter(digest => !usedDigests.has(digest))
    const versions = await fetchVersions(this.#service, unusedDigests, progress)
    const newParts = selectNewParts(parts, base.manifest)
    const written = await putParts(this.#service, newParts, progress)
    if (written.isErr) return Result.err({ kind: 'unavailable', message: `the parts could not be written: ${describeServiceError(written.error)}` })
    const confirmed = await this.#writeManifest(base, next, progress)
    if (confirmed.isErr) return Result.err(confirmed.error)
    const writtenBytes = newParts.reduce((sum, part) => sum + Buffer.byteLength(part.text), 0)
    const publication: AcceptedPublication = { kind: 'accepted', manifest: next, parts, writtenParts: newParts.length, writtenBytes }
    await options.onAccepted?.(publication)
    await deleteParts(this.#service, versions, progress)
    return Result.ok(publication)
  }

  /**
   * Writes the manifest, with retries until the outcome is known. Repeating the same conditional write
   * is safe: if an earlier one took effect without a response, the conflict shows its write id.
   */
  async #writeManifest (base: BaseManifest, next: Manifest, progress: Progress): Promise<Result<null, PublishError>> {
    let lostAnswerMessage: string | null = null
    while (true) {
      const result = await retryCall(() => this.#service.put(MANIFEST_KEY, next, base.condition, progress), progress, { isRetriable: isRateLimited })
      if (result.isOk) return Result.ok(null)
      const { error } = result
      if (error.kind === 'conflict') return await this.#resolveConflict(base, next, error.current, progress)
      if (error.kind === 'unknownOutcome') lostAnswerMessage = error.message
      else if (lostAnswerMessage === null) return Result.err({ kind: 'unavailable', message: `the manifest was not written: ${describeServiceError(error)}` })
      if (progress.signal.aborted || progress.getRemainingMs() <= READ_BACK_DELAY_MS) {
        return Result.err({ kind: 'unknownOutcome', generation: next.generation, writeId: next.writeId, message: lostAnswerMessage ?? describeServiceError(error) })
      }
      await waitFor(READ_BACK_DELAY_MS, progress.signal)
    }
  }

  async #resolveConflict (base: BaseManifest, next: Manifest, object: StoredObject | null, progress: Progress): Promise<Result<null, PublishError>> {
    const current = parseManifest(object?.value)
    if (current === null) return Result.err({ kind: 'malformedManifest', message: `the object ${MANIFEST_KEY} was removed or is not a valid manifest` })
    if ([current.writeId, ...current.earlierWriteIds].includes(next.writeId)) return Result.ok(null)
    const changes = await this.#listChanges(base.manifest, current, progress)
    return Result.err({ kind: 'conflict', baseGeneration: base.manifest?.generation ?? 0, current, changes })
  }

  /** Lists the changes between two manifests; returns `null` when a part of either can no longer be read. */
  async #listChanges (before: Manifest | null, after: Manifest, progress: Progress): Promise<ConfigChange[] | null> {
    const oldTree = await this.#readChangedParts(before, after, progress)
    const newTree = await this.#readChangedParts(after, before, progress)
    return oldTree === null || newTree === null ? null : diffTrees(oldTree, newTree)
  }

  async #readChangedParts (manifest: Manifest | null, other: Manifest | null, progress: Progress): Promise<FleetTree | null> {
    if (manifest === null) return mergePartTrees([])
    return await readTree(this.#service, manifest, listNewDigests(manifest, other), progress)
  }

  #buildManifest (base: Manifest | null, parts: ConfigPart[]): Manifest {
    const digests = new Set(parts.map(part => part.digest))
    const dropped = base === null ? [] : [...new Set(base.parts.map(part => part.digest))].filter(digest => !digests.has(digest))
    return {
      generation: (base?.generation ?? 0) + 1,
      parts: parts.map(({ name, digest }) => ({ name, digest })),
      dropped,
      inline: buildInlineParts(selectNewParts(parts, base)),
      writeId: createId('config'),
      earlierWriteIds: base === null ? [] : [base.writeId, ...base.earlierWriteIds].slice(0, MAX_EARLIER_WRITE_IDS),
      appliedBy: this.#options.appliedBy,
      appliedAtMs: this.#options.clock.getWallMs()
    }
  }
}

function selectNewParts (parts: ConfigPart[], base: Manifest | null): ConfigPart[] {
  const known = new Set(base?.parts.map(part => part.digest))
  return parts.filter(part => !known.has(part.digest))
}

/** Returns the new parts to inline in the manifest; none when they are too large together. */
function buildInlineParts (newParts: ConfigPart[]): Manifest['inline'] {
  const bytes = newParts.reduce((sum, part) => sum + Buffer.byteLength(part.text), 0)
  return bytes > MAX_INLINE_PARTS_BYTES ? [] : newParts.map(({ digest, text }) => ({ digest, text }))
}
