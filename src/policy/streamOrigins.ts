import { BoundedMap } from '../base/boundedMap'

/** A stream that began at a version, by the key of the attempt that began it. */
export interface StreamOrigin {
  service: string
  key: string
  bucket: number
  version: string
  /** Whether this gateway began the stream, another one reported it, or it was read from the object service. */
  source: 'own' | 'peer' | 'store'
  /** Monotonic milliseconds at which this gateway learned of it. */
  learnedAtMs: number
}

/** Maximum number of remembered streams; the oldest are dropped first. A take-up of a dropped one may be refused. */
const MAX_ORIGINS = 4096
/** Milliseconds for which a begun stream is reported, several exchanges, so that a lost message does no harm. */
const REPORT_MS = 1000
/** Maximum number of streams in one report; the latest ones are sent. */
const MAX_REPORTED_ORIGINS = 300

/**
 * Remembers at which version recent streams began. Other gateways are told only about streams whose version the
 * assignment does not say for certain.
 *
 * @example
 * origins.record({ service: 'archive', ...hashStreamId(requestId), version: 'v1', source: 'own', learnedAtMs: nowMs })
 * origins.find('archive', hashStreamId(requestId).key)?.version // 'v1'
 */
export class StreamOrigins {
  readonly #origins = new BoundedMap<string, StreamOrigin>(MAX_ORIGINS)

  get size (): number {
    return this.#origins.size
  }

  record (origin: StreamOrigin): void {
    const id = formatId(origin.service, origin.key)
    if (!this.#origins.has(id)) this.#origins.set(id, origin)
  }

  find (service: string, key: string): StreamOrigin | null {
    return this.#origins.get(formatId(service, key)) ?? null
  }

  /** Lists the streams to report. `getMovedAtMs` returns when the version of a stream became uncertain; null where it is certain. */
  listNews (getMovedAtMs: (origin: StreamOrigin) => number | null, nowMs: number): StreamOrigin[] {
    const news: StreamOrigin[] = []
    for (const origin of this.#origins.values()) {
      const movedAtMs = getMovedAtMs(origin)
      if (movedAtMs !== null && nowMs - Math.max(movedAtMs, origin.learnedAtMs) < REPORT_MS) news.push(origin)
    }
    return news.slice(-MAX_REPORTED_ORIGINS)
  }

  /** Lists the streams whose version is uncertain, the latest last. */
  listUncertain (isUncertain: (origin: StreamOrigin) => boolean): StreamOrigin[] {
    return [...this.#origins.values()].filter(isUncertain)
  }

  /** Drops the streams that no caller can take up any more. */
  expire (isExpired: (origin: StreamOrigin) => boolean): void {
    for (const [id, origin] of this.#origins) {
      if (!isExpired(origin)) return
      this.#origins.delete(id)
    }
  }
}

function formatId (service: string, key: string): string {
  return `${service} ${key}`
}
