import { BoundedMap } from '../base/boundedMap'

/** How a gateway knows of a stream: it began it, another one of its failure domain or of another reported it, or it was stored. */
export type OriginKnowledge = 'own' | 'member' | 'peer' | 'store'

/** A stream that began at a version, by the key of the attempt that began it. */
export interface StreamOrigin {
  service: string
  key: string
  bucket: number
  version: string
  source: OriginKnowledge
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
  /** Streams that were learned, or whose version became uncertain, a short time ago. */
  #recent: StreamOrigin[] = []

  get size (): number {
    return this.#origins.size
  }

  record (origin: StreamOrigin): void {
    const id = formatId(origin.service, origin.key)
    if (this.#origins.has(id)) return
    this.#origins.set(id, origin)
    this.#recent.push(origin)
  }

  /** Reports the remembered streams again, because a change made the versions of some of them uncertain. */
  recordMove (): void {
    this.#recent = [...this.#origins.values()]
  }

  find (service: string, key: string): StreamOrigin | null {
    return this.#origins.get(formatId(service, key)) ?? null
  }

  /** Lists the streams to report that are known from `sources`. `getMovedAtMs` returns when the version of a stream became uncertain; null where it is certain. */
  listNews (sources: ReadonlySet<OriginKnowledge>, getMovedAtMs: (origin: StreamOrigin) => number | null, nowMs: number): StreamOrigin[] {
    const news: StreamOrigin[] = []
    const kept: StreamOrigin[] = []
    for (const origin of this.#recent) {
      const movedAtMs = getMovedAtMs(origin)
      if (nowMs - Math.max(movedAtMs ?? -Infinity, origin.learnedAtMs) >= REPORT_MS) continue
      kept.push(origin)
      if (movedAtMs !== null && sources.has(origin.source)) news.push(origin)
    }
    this.#recent = kept.slice(-MAX_ORIGINS)
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
