/** Settings of a `PoisonTracker`. */
export interface PoisonTrackerOptions {
  /** Crashes after which a fingerprint is refused. */
  crashLimit: number
  /** Milliseconds after its last crash when a fingerprint is forgotten. */
  expiryMs: number
  /** Fingerprints remembered at most; the one that crashed longest ago is forgotten first. */
  maxFingerprints: number
}

/**
 * How a fingerprint may run: freely; after a crash, still beside others; one crash before the
 * limit, only where no other such fingerprint runs; at the limit, nowhere.
 */
export type PoisonVerdict = 'clear' | 'suspect' | 'confined' | 'refused'

interface CrashCount {
  crashes: number
  lastCrashAtMs: number
}

/**
 * Counts the endpoint crashes under which each fingerprint ran. The last crash before the limit
 * is counted only against a fingerprint that ran confined, hence alone among its kind, so that
 * requests which merely ran beside a poison request are never refused for it.
 *
 * @example
 * const tracker = new PoisonTracker({ crashLimit: 3, expiryMs: 600_000, maxFingerprints: 10_000 })
 * tracker.recordCrash(['fingerprint-a', 'fingerprint-b'], nowMs)
 * tracker.getVerdict('fingerprint-a', nowMs) // 'suspect'
 */
export class PoisonTracker {
  readonly #options: PoisonTrackerOptions
  /** In the order of the last crash. */
  readonly #records = new Map<string, CrashCount>()

  constructor (options: PoisonTrackerOptions) {
    this.#options = options
  }

  /** Number of fingerprints remembered. */
  get size (): number {
    return this.#records.size
  }

  /** Gets the crashes counted against a fingerprint. */
  getCrashCount (fingerprint: string, nowMs: number): number {
    const record = this.#records.get(fingerprint)
    return record === undefined || this.#isExpired(record, nowMs) ? 0 : record.crashes
  }

  /** Gets how a fingerprint may run. */
  getVerdict (fingerprint: string, nowMs: number): PoisonVerdict {
    const crashes = this.getCrashCount(fingerprint, nowMs)
    if (crashes >= this.#options.crashLimit) return 'refused'
    if (crashes >= 1 && crashes >= this.#options.crashLimit - 1) return 'confined'
    return crashes === 0 ? 'clear' : 'suspect'
  }

  /** Tells whether a fingerprint may start at an endpoint beside those that run there. */
  canStartAlongside (fingerprint: string, running: Iterable<string>, nowMs: number): boolean {
    const verdict = this.getVerdict(fingerprint, nowMs)
    if (verdict === 'refused') return false
    if (verdict !== 'confined') return true
    for (const other of running) if (this.getVerdict(other, nowMs) === 'confined') return false
    return true
  }

  /**
   * Records a crash of an endpoint under the given fingerprints, and returns those it was counted
   * against: the confined one if there was one, else the suspects, else all.
   */
  recordCrash (running: Iterable<string>, nowMs: number): string[] {
    const attributed = this.#selectAttributed([...new Set(running)], nowMs)
    for (const fingerprint of attributed) this.#put(fingerprint, this.getCrashCount(fingerprint, nowMs) + 1, nowMs)
    return attributed
  }

  /** Adopts a count that another process told; a lower one than is known changes nothing. */
  adoptCrashCount (fingerprint: string, crashes: number, nowMs: number): void {
    if (crashes > this.getCrashCount(fingerprint, nowMs)) this.#put(fingerprint, crashes, nowMs)
  }

  #selectAttributed (running: string[], nowMs: number): string[] {
    for (const verdict of ['confined', 'suspect'] as const) {
      const attributed = running.filter(fingerprint => this.getVerdict(fingerprint, nowMs) === verdict)
      if (attributed.length > 0) return attributed
    }
    return running.filter(fingerprint => this.getVerdict(fingerprint, nowMs) === 'clear')
  }

  #put (fingerprint: string, crashes: number, nowMs: number): void {
    this.#records.delete(fingerprint)
    this.#records.set(fingerprint, { crashes, lastCrashAtMs: nowMs })
    this.#evictOldest(nowMs)
  }

  #evictOldest (nowMs: number): void {
    for (const [fingerprint, record] of this.#records) {
      if (this.#records.size <= this.#options.maxFingerprints && !this.#isExpired(record, nowMs)) return
      this.#records.delete(fingerprint)
    }
  }

  #isExpired (record: CrashCount, nowMs: number): boolean {
    return nowMs - record.lastCrashAtMs > this.#options.expiryMs
  }
}
