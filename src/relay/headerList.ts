import type { HeaderList } from './relayRequest'

/** Hop-by-hop headers (RFC 9110, section 7.6.1, and those of older proxies). */
const HOP_BY_HOP_HEADERS = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/**
 * Removes the hop-by-hop headers, the headers that `Connection` names, and those in `removed`, whose
 * names are in lower case.
 *
 * @example
 * removeHeaders(['Connection', 'close, X-Hop', 'X-Hop', '1', 'Accept', '*'], new Set()) // ['Accept', '*']
 */
export function removeHeaders (headers: HeaderList, removed: ReadonlySet<string>): HeaderList {
  const namedByConnection = new Set(findHeaderValues(headers, 'connection').flatMap(value => value.toLowerCase().split(',').map(name => name.trim())))
  const kept: HeaderList = []
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index] as string
    const lowerName = name.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(lowerName) || namedByConnection.has(lowerName) || removed.has(lowerName)) continue
    kept.push(name, headers[index + 1] as string)
  }
  return kept
}

/** Returns all values of a header by its name in lower case. */
export function findHeaderValues (headers: HeaderList, lowerName: string): string[] {
  const values: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    if ((headers[index] as string).toLowerCase() === lowerName) values.push(headers[index + 1] as string)
  }
  return values
}

/** Returns the first value of a header by its name in lower case; null when it is missing. */
export function findHeader (headers: HeaderList, lowerName: string): string | null {
  return findHeaderValues(headers, lowerName)[0] ?? null
}

/** Counts the bytes of the header lines of a request or an answer. */
export function countHeaderBytes (headers: HeaderList): number {
  return headers.reduce((sum, text) => sum + text.length + 2, 0)
}
