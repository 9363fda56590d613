import { createHash } from 'node:crypto'

/** A request that a caller of the soak sends. All its properties are chosen before it is sent. */
export interface SoakRequest {
  requestId: string
  kind: 'stream' | 'once' | 'read' | 'versioned'
  method: 'GET' | 'POST'
  target: string
  body: string
  key: string
  /** Workspace of the key. */
  workspace: string
  /** Versions that added the key and the route; null for those that every version contains. */
  keyVersion: number | null
  routeVersion: number | null
  /** Number of events of a stream. */
  events: number
  deadlineMs: number
  /** Milliseconds after which the caller disconnects; null when it waits for the answer. */
  disconnectAfterMs: number | null
}

/** Returns whether a request may run more than once. */
export function isIdempotent (request: SoakRequest): boolean {
  return request.kind !== 'once'
}

/** Builds the expected answer of a request. It is unique to the request and the same from every endpoint. */
export function buildAnswer (requestId: string, target: string, body: string): string {
  const digest = createHash('sha256').update(JSON.stringify([requestId, target, body])).digest('hex')
  return `${requestId} ${digest.repeat(1 + parseInt(digest.slice(0, 1), 16))}`
}

/** Builds one event of a streamed answer. */
export function buildEvent (requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId} ${index}\n\n`
}
