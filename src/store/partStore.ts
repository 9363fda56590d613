import { Result } from 'true-myth'

import { hashPart } from '../config/configParts'
import { PARTS_PREFIX } from './keys'
import { isRateLimited, retryCall } from './retryCall'
import { runBounded } from './runBounded'

import type { Progress } from '../base/progress'
import type { ConfigPart } from '../config/configParts'
import type { ObjectService, ObjectServiceError, StoredObject, WriteCondition } from './objectService'

const MAX_CONCURRENT_CALLS = 8
const MAX_WRITE_ATTEMPTS = 6

/**
 * Fetches parts by their digests. The result does not contain parts that are absent, unreadable or
 * do not match their digest.
 *
 * @example
 * const texts = await fetchParts(service, assembler.listMissingDigests(manifest), progress)
 */
export async function fetchParts (service: ObjectService, digests: string[], progress: Progress): Promise<Map<string, string>> {
  const texts = new Map<string, string>()
  await runBounded(digests, MAX_CONCURRENT_CALLS, async digest => {
    const object = await retryCall(() => service.get(getPartKey(digest), progress), progress, { isRetriable: isRateLimited })
    const text = object.isOk ? getVerifiedText(object.value, digest) : null
    if (text === null) progress.log(`part ${digest} could not be read`)
    else texts.set(digest, text)
  })
  return texts
}

/**
 * Writes parts. An existing part is written again to raise its version, so that another operator's
 * pending delete of the unused part fails: the delete names the old version.
 */
export async function putParts (service: ObjectService, parts: ConfigPart[], progress: Progress): Promise<Result<null, ObjectServiceError>> {
  const results = await runBounded(parts, MAX_CONCURRENT_CALLS, part => putPart(service, part, progress))
  return results.find(result => result.isErr) ?? Result.ok(null)
}

/** Reads the version of each part that exists, so that `deleteParts` can delete exactly that version later. */
export async function fetchVersions (service: ObjectService, digests: string[], progress: Progress): Promise<Map<string, number>> {
  const versions = new Map<string, number>()
  await runBounded(digests, MAX_CONCURRENT_CALLS, async digest => {
    const object = await service.get(getPartKey(digest), progress)
    if (object.isOk && object.value !== null) versions.set(digest, object.value.version)
  })
  return versions
}

/** Deletes parts that still have the given versions. A failed delete leaves an unused part, which does no harm. */
export async function deleteParts (service: ObjectService, versions: Map<string, number>, progress: Progress): Promise<void> {
  await runBounded([...versions], MAX_CONCURRENT_CALLS, async ([digest, version]) => {
    const result = await service.delete(getPartKey(digest), version, progress)
    if (result.isErr) progress.log(`part ${digest} was not deleted: ${result.error.kind}`)
  })
}

async function putPart (service: ObjectService, part: ConfigPart, progress: Progress): Promise<Result<null, ObjectServiceError>> {
  const key = getPartKey(part.digest)
  let condition: WriteCondition = { kind: 'absent' }
  let failure: ObjectServiceError = { kind: 'unavailable', message: `part ${part.name} was not written` }
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS && !progress.signal.aborted; attempt++) {
    const currentCondition = condition
    const result = await retryCall(() => service.put(key, part.text, currentCondition, progress), progress, { isRetriable: isRateLimited })
    if (result.isOk) return Result.ok(null)
    failure = result.error
    if (failure.kind === 'conflict') condition = toWriteCondition(failure.current)
    else if (failure.kind !== 'unknownOutcome') break
  }
  return Result.err(failure)
}

function toWriteCondition (current: StoredObject | null): WriteCondition {
  return current === null ? { kind: 'absent' } : { kind: 'version', version: current.version }
}

function getVerifiedText (object: StoredObject | null, digest: string): string | null {
  const value = object?.value
  return typeof value === 'string' && hashPart(value) === digest ? value : null
}

function getPartKey (digest: string): string {
  return `${PARTS_PREFIX}${digest}`
}
