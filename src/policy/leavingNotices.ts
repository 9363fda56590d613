/** That an endpoint is leaving, although the platform's list does not say so yet. */
export interface LeavingNotice {
  id: string
  /** Unix milliseconds of the start that the notice is about; a later start under the same id is not leaving. */
  bornAtMs: number
  /** Who told it: the endpoint itself in an answer, or another gateway. */
  source: 'answer' | 'peer'
  /** Monotonic milliseconds at which the endpoint said so. */
  saidAtMs: number
}

/** Bound against a flood of notices; far above the endpoints that leave while a process runs. */
const MAX_NOTICES = 4096

/**
 * Endpoints that said in an answer that they are leaving. A notice outlasts the endpoint's entry in the
 * list, which may lapse and come back, and yields to nothing but a new start.
 *
 * @example
 * const memory = new LeavingMemory()
 * memory.record({ id: 'engine-1', bornAtMs: 5, source: 'answer', saidAtMs: nowMs })
 * memory.has('engine-1', 5) // true
 * memory.has('engine-1', 6) // false
 */
export class LeavingNotices {
  readonly #notices = new Map<string, LeavingNotice>()

  /** Takes in a notice; false when it tells nothing new. */
  record (notice: LeavingNotice): boolean {
    const known = this.#notices.get(notice.id)
    if (known !== undefined && known.bornAtMs >= notice.bornAtMs) return false
    this.#notices.delete(notice.id)
    this.#notices.set(notice.id, notice)
    this.#removeOldest()
    return true
  }

  has (id: string, bornAtMs: number): boolean {
    return this.get(id, bornAtMs) !== null
  }

  get (id: string, bornAtMs: number): LeavingNotice | null {
    const notice = this.#notices.get(id)
    return notice?.bornAtMs === bornAtMs ? notice : null
  }

  #removeOldest (): void {
    if (this.#notices.size <= MAX_NOTICES) return
    const [oldest] = this.#notices.keys()
    if (oldest !== undefined) this.#notices.delete(oldest)
  }
}
