import { BoundedMap } from '../base/boundedMap'

/** What an endpoint's answer says about the requests per second that it accepts from all gateways together. */
export type NamedLimit =
  | { kind: 'none' }
  | { kind: 'named', requestsPerSecond: number }
  /** The endpoint names a limit that is not a number. */
  | { kind: 'unreadable', text: string }

/** What is known about the limit of one start of an endpoint. */
export interface LimitNotice {
  id: string
  /** Start time of the endpoint in Unix milliseconds. A later start under the same id has named no limit yet. */
  bornAtMs: number
  /** Rises with each change of the limit. Of two notices about the same start, the one with the higher version holds. */
  version: number
  /** Requests per second from all gateways together; null once the endpoint no longer names a limit. */
  requestsPerSecond: number | null
}

/** An answer of an endpoint, as far as its limit is concerned. */
export interface LimitObservation {
  id: string
  bornAtMs: number
  limit: NamedLimit
  /** Monotonic milliseconds at which the request of this answer was sent. */
  sentAtMs: number
  nowMs: number
}

interface KnownLimit {
  notice: LimitNotice
  learnedAtMs: number
}

/** Maximum number of endpoints with a notice. Protects against a flood; far above the endpoints that are in need at the same time. */
const MAX_NOTICES = 4096
/** Milliseconds for which the end of a limit is reported, until every gateway has received it. */
const ENDED_NOTICE_MS = 60_000

/**
 * Stores the limits that endpoints name in their answers. A limit holds until an answer no longer names it.
 *
 * @example
 * const notices = new LimitNotices()
 * notices.recordAnswer({ id: 'engine-1', bornAtMs: 5, limit: { kind: 'named', requestsPerSecond: 4.9 }, sentAtMs, nowMs })
 * notices.getLimit('engine-1', 5) // 4.9
 * notices.getLimit('engine-1', 6) // null
 */
export class LimitNotices {
  readonly #known = new BoundedMap<string, KnownLimit>(MAX_NOTICES)

  /** Whether no endpoint has named a limit. */
  get isEmpty (): boolean {
    return this.#known.size === 0
  }

  /** Returns the requests per second that the endpoint accepts from all gateways together; null when it names no limit. */
  getLimit (id: string, bornAtMs: number): number | null {
    return this.get(id, bornAtMs)?.requestsPerSecond ?? null
  }

  /** Returns the newest notice about this start of the endpoint; null when it has named no limit. */
  get (id: string, bornAtMs: number): LimitNotice | null {
    const notice = this.#known.get(id)?.notice
    return notice?.bornAtMs === bornAtMs ? notice : null
  }

  /** Lists the notices about some starts of endpoints: the limits in force and those that ended recently. */
  list (starts: ReadonlyArray<Pick<LimitNotice, 'id' | 'bornAtMs'>>, nowMs: number): LimitNotice[] {
    if (this.isEmpty) return []
    return starts.flatMap(({ id, bornAtMs }) => {
      const known = this.#known.get(id)
      if (known?.notice.bornAtMs !== bornAtMs) return []
      return known.notice.requestsPerSecond !== null || nowMs - known.learnedAtMs < ENDED_NOTICE_MS ? known.notice : []
    })
  }

  /**
   * Records what an answer says. Text that is not a number changes nothing: the endpoint is in need, but
   * it is not known how much it accepts.
   *
   * @returns the new notice; null when the limit stays the same
   */
  recordAnswer ({ id, bornAtMs, limit, sentAtMs, nowMs }: LimitObservation): LimitNotice | null {
    if (limit.kind === 'unreadable') return null
    const known = this.#known.get(id)
    if (known !== undefined && known.notice.bornAtMs > bornAtMs) return null
    const previous = known?.notice.bornAtMs === bornAtMs ? known : null
    const requestsPerSecond = limit.kind === 'named' ? limit.requestsPerSecond : null
    if (requestsPerSecond === (previous?.notice.requestsPerSecond ?? null)) return null
    // an answer that was on its way when the limit was learned says nothing about its end
    if (requestsPerSecond === null && previous !== null && sentAtMs <= previous.learnedAtMs) return null
    return this.#put({ id, bornAtMs, version: (previous?.notice.version ?? 0) + 1, requestsPerSecond }, nowMs)
  }

  /**
   * Merges a notice of another gateway. Of two different limits with the same version, the lower one
   * holds until the next answer of the endpoint.
   *
   * @returns false when the notice changes nothing
   */
  merge (notice: LimitNotice, nowMs: number): boolean {
    const known = this.#known.get(notice.id)?.notice
    if (known !== undefined && !isNewer(notice, known)) return false
    this.#put(notice, nowMs)
    return true
  }

  #put (notice: LimitNotice, nowMs: number): LimitNotice {
    this.#known.set(notice.id, { notice, learnedAtMs: nowMs })
    return notice
  }
}

function isNewer (notice: LimitNotice, known: LimitNotice): boolean {
  if (notice.bornAtMs !== known.bornAtMs) return notice.bornAtMs > known.bornAtMs
  if (notice.version !== known.version) return notice.version > known.version
  return (notice.requestsPerSecond ?? Infinity) < (known.requestsPerSecond ?? Infinity)
}
