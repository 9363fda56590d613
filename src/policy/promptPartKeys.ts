import { createHash } from 'node:crypto'

import type { PromptPart } from './prefixCacheEstimate'

/** Maximum parts of one prompt that are considered as the cause of a crash; callers choose how many they send. */
const MAX_PARTS = 64
const KEY_LENGTH = 16

/**
 * Lists a key for each prompt part that other requests of the service may share: all but the last one.
 * The key has the same length for any id that a caller sends, and does not show the id.
 *
 * @example
 * listSharedPartKeys('archive', [{ id: '5c1e', tokens: 800 }, { id: 'e440', tokens: 250 }]) // ['0f3a…'], for part 5c1e
 */
export function listSharedPartKeys (service: string, promptParts: readonly PromptPart[]): string[] {
  const ids = new Set(promptParts.slice(0, -1).slice(0, MAX_PARTS).map(part => part.id.toLowerCase()))
  return [...ids].map(id => createHash('sha256').update(JSON.stringify([service, id])).digest('hex').slice(0, KEY_LENGTH))
}

/** Characters that any object store accepts in names. */
const FINGERPRINT_PREFIX = 'part-'
const SEPARATOR = '-'

/**
 * Formats the fingerprint under which crashes of requests with all of these parts are recorded.
 *
 * @example
 * formatPartFingerprint(['b', 'a']) // 'part-a-b'
 */
export function formatPartFingerprint (parts: readonly string[]): string {
  return FINGERPRINT_PREFIX + [...parts].sort().join(SEPARATOR)
}

/** Parses the parts of a fingerprint; returns null when it stands for a whole request. */
export function parsePartFingerprint (fingerprint: string): string[] | null {
  return fingerprint.startsWith(FINGERPRINT_PREFIX) ? fingerprint.slice(FINGERPRINT_PREFIX.length).split(SEPARATOR) : null
}
