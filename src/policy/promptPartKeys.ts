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
