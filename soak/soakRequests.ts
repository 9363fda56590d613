import { createHash } from 'node:crypto'

import type { CallerManner } from './callerManner'

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
  /** The stream that a caller takes up; null for a new request. */
  resumed: ResumedStream | null
  /** Milliseconds after which the caller disconnects; null when it waits for the answer. */
  disconnectAfterMs: number | null
  manner: CallerManner
}

/** What a caller already has of a stream that broke off. */
export interface ResumedStream {
  /** Id of the attempt that brought the first event. */
  originId: string
  lastEventId: number
  /** Software version of the endpoints that wrote the events. */
  version: string
}

/** Returns whether a request may run more than once. */
export function isIdempotent (request: SoakRequest): boolean {
  return request.kind !== 'once'
}

/** Builds the expected answer of a request. It is unique to the request and the same from every endpoint. A target may ask for its length in bytes. */
export function buildAnswer (requestId: string, target: string, body: string): string {
  const digest = createHash('sha256').update(JSON.stringify([requestId, target, body])).digest('hex')
  const bytes = Number(/[?&]bytes=(\d+)/.exec(target)?.[1] ?? 0)
  return `${requestId} ${digest.repeat(1 + parseInt(digest.slice(0, 1), 16))}`.padEnd(bytes, digest)
}

/** Builds one event of a streamed answer, which names the software version of the endpoint that wrote it. */
export function buildEvent (requestId: string, index: number, version: string): string {
  return `id: ${index}\ndata: ${requestId} ${index} ${version}\n\n`
}

/** Reads the complete events of a streamed answer. */
export function parseEvents (body: string): Array<{ id: number, version: string }> {
  return [...body.matchAll(/id: (\d+)\ndata: \S+ \d+ (\S+)\n\n/g)].map(([, id, version]) => ({ id: Number(id), version: version! }))
}
