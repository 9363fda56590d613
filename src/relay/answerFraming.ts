import { findHeader, findHeaderValues } from './headerList'

import type { HeaderList } from './relayRequest'

/**
 * How an answer ended: `framed` where its framing says that it is complete, `closed` where only its
 * connection was closed in order, which does not show whether more was to come.
 */
export type AnswerEnd = 'framed' | 'closed'

/** Statuses of answers that have no body. */
const BODILESS_STATUSES = new Set([204, 304])

/**
 * Reads from the head of an answer how its body ends (RFC 9112, section 6.3).
 *
 * @example
 * readAnswerEnd({ method: 'GET', status: 200, headers: ['Connection', 'close'] }) // 'closed'
 */
export function readAnswerEnd ({ method, status, headers }: { method: string, status: number, headers: HeaderList }): AnswerEnd {
  if (isBodiless(method, status)) return 'framed'
  const codings = findHeaderValues(headers, 'transfer-encoding').join(',').toLowerCase().split(',').map(coding => coding.trim())
  if (codings.some(coding => coding !== '')) return codings.at(-1) === 'chunked' ? 'framed' : 'closed'
  return findHeader(headers, 'content-length') === null ? 'closed' : 'framed'
}

/**
 * Returns whether an answer has no body, whatever its headers say (RFC 9112, section 6.3).
 *
 * @example
 * isBodiless('HEAD', 200) // true
 */
export function isBodiless (method: string, status: number): boolean {
  return method === 'HEAD' || BODILESS_STATUSES.has(status)
}
