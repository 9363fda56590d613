import { createHash } from 'node:crypto'

/** One request that a caller of the soak sends, known in full before it is sent. */
export interface SoakRequest {
  requestId: string
  kind: 'stream' | 'once' | 'read' | 'versioned'
  method: 'GET' | 'POST'
  target: string
  body: string
  key: string
  /** Workspace that holds the key. */
  workspace: string
  /** Version that brought the key or the route; null for those of every version. */
  keyVersion: number | null
  routeVersion: number | null
  /** Events of a stream. */
  events: number
  deadlineMs: number
  /** Milliseconds after which the caller leaves; null when it stays. */
  disconnectAfterMs: number | null
}

/** Whether a request may run more than once. */
export function isIdempotent (request: SoakRequest): boolean {
  return request.kind !== 'once'
}

/** Builds the answer that only this request gets; every endpoint of the soak gives the same. */
export function buildAnswer (requestId: string, target: string, body: string): string {
  const digest = createHash('sha256').update(JSON.stringify([requestId, target, body])).digest('hex')
  return `${requestId} ${digest.repeat(1 + parseInt(digest.slice(0, 1), 16))}`
}

/** Builds one event of a stream's answer. */
export function buildEvent (requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId} ${index}\n\n`
}
