/** A crash of an endpoint, with the requests that it is blamed on. */
export interface AttributedCrash {
  /** The same at every process that sees the crash. */
  crashId: string
  endpointId: string
  fingerprints: string[]
}

/** The endpoint's process that crashed. */
export interface CrashedEndpoint {
  id: string
  bornAtMs: number
}

interface BrokenAttempt {
  fingerprint: string
  atMs: number
}

/** Time in which a crash shows itself after its connections broke: its entry lapses within four heartbeats. */
const CRASH_DETECTION_MS = 6000
/** Connections that break within this time broke for one cause. */
const SAME_CRASH_MS = 500
const MAX_ENDPOINTS = 256

/**
 * Finds the requests under which endpoints crash. A broken connection alone is no crash: it must
 * show that the process is gone, by a refused connection or by its entry. Then what broke last, all
 * at once, is blamed; of that only what is suspect already, if anything is.
 *
 * @example
 * const blame = new CrashBlame(fingerprint => registry.getCrashCount(fingerprint) > 0)
 * blame.recordBroken(endpoint, fingerprint, nowMs)
 * blame.recordGone(endpoint, nowMs) // { crashId: 'e-1/17', endpointId: 'e-1', fingerprints: [...] }
 */
export class CrashAttribution {
  readonly #isSuspect: (fingerprint: string) => boolean
  readonly #brokenAttempts = new Map<string, BrokenAttempt[]>()
  readonly #attributedCrashIds = new Set<string>()

  constructor (isSuspect: (fingerprint: string) => boolean) {
    this.#isSuspect = isSuspect
  }

  /** Records that a connection broke while the endpoint may have run the request. */
  recordBrokenAttempt (endpoint: CrashedEndpoint, fingerprint: string, nowMs: number): void {
    const crashId = formatCrashId(endpoint)
    const attempts = (this.#brokenAttempts.get(crashId) ?? []).filter(send => nowMs - send.atMs < CRASH_DETECTION_MS)
    attempts.push({ fingerprint, atMs: nowMs })
    this.#brokenAttempts.set(crashId, attempts)
    for (const known of this.#brokenAttempts.keys()) {
      if (this.#brokenAttempts.size <= MAX_ENDPOINTS) return
      this.#brokenAttempts.delete(known)
    }
  }

  /** Records that the endpoint's process is gone; null when nothing broke with it. */
  recordExit (endpoint: CrashedEndpoint, nowMs: number): AttributedCrash | null {
    const crashId = formatCrashId(endpoint)
    const attempts = (this.#brokenAttempts.get(crashId) ?? []).filter(send => nowMs - send.atMs < CRASH_DETECTION_MS)
    this.#brokenAttempts.delete(crashId)
    if (attempts.length === 0 || this.#attributedCrashIds.has(crashId)) return null
    this.#attributedCrashIds.add(crashId)
    const lastAtMs = attempts.at(-1)!.atMs
    const concurrent = [...new Set(attempts.filter(send => lastAtMs - send.atMs < SAME_CRASH_MS).map(send => send.fingerprint))]
    const suspects = concurrent.filter(this.#isSuspect)
    return { crashId, endpointId: endpoint.id, fingerprints: suspects.length > 0 ? suspects : concurrent }
  }
}

function formatCrashId (endpoint: CrashedEndpoint): string {
  return `${endpoint.id}/${endpoint.bornAtMs}`
}
