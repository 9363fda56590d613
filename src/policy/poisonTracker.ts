/** Settings of a `PoisonTracker`. */
export interface PoisonTrackerOptions {
  /** Number of crashes at which a fingerprint is refused. */
  crashLimit: number
  /** Milliseconds after its last crash at which a fingerprint expires. */
  expiryMs: number
  /** Maximum number of fingerprints kept. The one with the oldest last crash is evicted first. */
  maxFingerprints: number
}

/**
 * Whether and where a fingerprint may run. `clear` has no crash and may run anywhere. `suspect` has
 * crashes and may still run anywhere. `confined` is one crash below the limit and may run only at
 * an endpoint without another confined fingerprint. `refused` has reached the limit and may not run.
 */
export type PoisonVerdict = 'clear' | 'suspect' | 'confined' | 'refused'

interface CrashCount {
  crashes: number
  lastCrashAtMs: number
}

/**
 * Counts the endpoint crashes during which each fingerprint ran. The crash that reaches the limit
 * counts only against a confined fingerprint, and an endpoint runs at most one of these. Requests
 * that merely ran alongside a poison request are therefore never refused.
 *
 * @example
 * const tracker = new PoisonTracker({ crashLimit: 3, expiryMs: 600_000, maxFingerprints: 10_000 })
 * tracker.recordCrash(['fingerprint-a', 'fingerprint-b'], nowMs)
 * tracker.getVerdict('fingerprint-a', nowMs) // 'suspect'
 */
export class PoisonTracker {
  readonly #options: PoisonTrackerOptions
  /** Ordered by the time of the last crash, oldest first. */
  readonly #records = new Map<string, CrashCount>()

  constructor (options: PoisonTrackerOptions) {
    this.#options = options
  }

  /** Number of fingerprints kept. */
  get size (): number {
    return this.#records.size
  }

  /** Returns the number of crashes counted against a fingerprint. */
  getCrashCount (fingerprint: string, nowMs: number): number {
    const record = this.#records.get(fingerprint)
    return record === undefined || this.#isExpired(record, nowMs) ? 0 : record.crashes
  }

  /** Returns whether and where a fingerprint may run. */
  getVerdict (fingerprint: string, nowMs: number): PoisonVerdict {
    const crashes = this.getCrashCount(fingerprint, nowMs)
    if (crashes >= this.#options.crashLimit) return 'refused'
    if (crashes >= 1 && crashes >= this.#options.crashLimit - 1) return 'confined'
    return crashes === 0 ? 'clear' : 'suspect'
  }

  /** Returns whether a fingerprint may start at an endpoint that runs the fingerprints in `running`. */
  canStartAlongside (fingerprint: string, running: Iterable<string>, nowMs: number): boolean {
    const verdict = this.getVerdict(fingerprint, nowMs)
    if (verdict === 'refused') return false
    if (verdict !== 'confined') return true
    for (const other of running) if (this.getVerdict(other, nowMs) === 'confined') return false
    return true
  }

  /**
   * Records a crash of an endpoint that ran the given fingerprints.
   *
   * @returns the fingerprints to which the crash is attributed: the confined one if there is one,
   * otherwise the suspects, otherwise all
   */
  recordCrash (running: Iterable<string>, nowMs: number): string[] {
    const attributed = this.#selectAttributed([...new Set(running)], nowMs)
    for (const fingerprint of attributed) this.#put(fingerprint, this.getCrashCount(fingerprint, nowMs) + 1, nowMs)
    return attributed
  }

  /** Adopts a crash count reported by another process if it is higher than the known one. */
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
