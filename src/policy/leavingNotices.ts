import { BoundedMap } from '../base/boundedMap'

/** Notice that an endpoint is leaving, although the platform's list does not show it as draining yet. */
export interface LeavingNotice {
  id: string
  /** Start time of the leaving process in Unix milliseconds. A later start under the same id is not leaving. */
  bornAtMs: number
  /** Reporter of the notice: the endpoint itself in an answer, or a peer gateway. */
  source: 'answer' | 'peer'
  /** Monotonic milliseconds at which the endpoint announced that it is leaving. */
  saidAtMs: number
}

/** Maximum number of notices. Protects against a flood; far above the endpoints that leave while a process runs. */
const MAX_NOTICES = 4096

/**
 * Stores the endpoints that announced in an answer that they are leaving. A notice outlives the
 * endpoint's list entry, which may lapse and return. Only a new start of the endpoint supersedes it.
 *
 * @example
 * const notices = new LeavingNotices()
 * notices.record({ id: 'engine-1', bornAtMs: 5, source: 'answer', saidAtMs: nowMs })
 * notices.has('engine-1', 5) // true
 * notices.has('engine-1', 6) // false
 */
export class LeavingNotices {
  readonly #notices = new BoundedMap<string, LeavingNotice>(MAX_NOTICES)

  /**
   * Records a notice.
   *
   * @returns false when the notice contains nothing new
   */
  record (notice: LeavingNotice): boolean {
    const known = this.#notices.get(notice.id)
    if (known !== undefined && known.bornAtMs >= notice.bornAtMs) return false
    this.#notices.set(notice.id, notice)
    return true
  }

  has (id: string, bornAtMs: number): boolean {
    return this.get(id, bornAtMs) !== null
  }

  get (id: string, bornAtMs: number): LeavingNotice | null {
    const notice = this.#notices.get(id)
    return notice?.bornAtMs === bornAtMs ? notice : null
  }
}
