import { createHash, randomUUID } from 'node:crypto'

/** Creates a globally unique identifier from `prefix` and a random UUID. */
export function createId (prefix: string): string {
  return `${prefix}-${randomUUID()}`
}

/** Hashes `text` with SHA-256 to lower-case hexadecimal. */
export function hashText (text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex')
}
