import { createHash } from 'node:crypto'

/** Number of buckets into which attempt ids are divided; a byte of the hash. */
export const BUCKET_COUNT = 256

/** What the hash of an attempt's id says about the streams that the attempt begins. */
export interface HashedStreamId {
  /** Bucket of the id, from 0 to `BUCKET_COUNT - 1`. */
  bucket: number
  /** Short form of the id, for messages between gateways. */
  key: string
  /** Uniform number from 0 (inclusive) to 1 (exclusive). */
  point: number
}

/** Bytes of the hash in a key, the last of which is the bucket: enough to tell apart the streams that are alive at once. */
const KEY_BYTES = 7
const POINT_RANGE = 2 ** 32

/**
 * Hashes the id of an attempt. All gateways compute the same values.
 *
 * @example
 * hashStreamId('9c41d07be2a35f68').bucket // the same number at every gateway
 */
export function hashStreamId (requestId: string): HashedStreamId {
  const digest = createHash('sha256').update(requestId).digest()
  return {
    bucket: digest[KEY_BYTES - 1]!,
    key: digest.toString('base64url', 0, KEY_BYTES),
    point: digest.readUInt32BE(KEY_BYTES) / POINT_RANGE
  }
}

/** Returns the bucket of a key that another gateway sent; null when the text is no key. */
export function parseKeyBucket (key: string): number | null {
  const bytes = Buffer.from(key, 'base64url')
  return bytes.length === KEY_BYTES ? bytes[KEY_BYTES - 1]! : null
}
