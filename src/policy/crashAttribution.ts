/** A crash of an endpoint and the requests that it is attributed to. */
export interface AttributedCrash {
  /** Crash id, the same at every process that observes the crash. */
  crashId: string
  endpointId: string
  fingerprints: string[]
}

/** The process of an endpoint that crashed. */
export interface CrashedEndpoint {
  id: string
  bornAtMs: number
}

interface BrokenAttempt {
  fingerprint: string
  atMs: number
}

/** Milliseconds after a broken connection within which a crash is detected: the entry lapses within four heartbeats. */
const CRASH_DETECTION_MS = 6000
/** Milliseconds within which broken connections count as broken by the same crash. */
const SAME_CRASH_MS = 500
const MAX_ENDPOINTS = 256

/**
 * Attributes endpoint crashes to requests. A broken connection alone is not a crash: a refused
 * connection or the endpoint's list entry must show that the process is gone. The crash is then
 * attributed to the attempts that broke last and together. If some of them are already suspect, it is
 * attributed only to those.
 *
 * @example
 * const attribution = new CrashAttribution(fingerprint => registry.getCrashCount(fingerprint) > 0)
 * attribution.recordBrokenAttempt(endpoint, fingerprint, nowMs)
 * attribution.recordExit(endpoint, nowMs) // { crashId: 'e-1/17', endpointId: 'e-1', fingerprints: [...] }
 */
export class CrashAttribution {
  readonly #isSuspect: (fingerprint: string) => boolean
  readonly #brokenAttempts = new Map<string, BrokenAttempt[]>()
  readonly #attributedCrashIds = new Set<string>()

  constructor (isSuspect: (fingerprint: string) => boolean) {
    this.#isSuspect = isSuspect
  }

  /** Counts the attempts that broke at the endpoint and may have broken with its process; `lastAtMs` is null without any. */
  countBrokenAttempts (endpoint: CrashedEndpoint, nowMs: number): { attempts: number, lastAtMs: number | null } {
    const attempts = (this.#brokenAttempts.get(formatCrashId(endpoint)) ?? []).filter(attempt => nowMs - attempt.atMs < CRASH_DETECTION_MS)
    return { attempts: attempts.length, lastAtMs: attempts.at(-1)?.atMs ?? null }
  }

  /** Records that a connection broke while the endpoint may have run the request. */
  recordBrokenAttempt (endpoint: CrashedEndpoint, fingerprint: string, nowMs: number): void {
    const crashId = formatCrashId(endpoint)
    const attempts = (this.#brokenAttempts.get(crashId) ?? []).filter(attempt => nowMs - attempt.atMs < CRASH_DETECTION_MS)
    attempts.push({ fingerprint, atMs: nowMs })
    this.#brokenAttempts.set(crashId, attempts)
    for (const known of this.#brokenAttempts.keys()) {
      if (this.#brokenAttempts.size <= MAX_ENDPOINTS) return
      this.#brokenAttempts.delete(known)
    }
  }

  /**
   * Records that the endpoint's process is gone.
   *
   * @returns null when no attempt broke with it, or when the crash was already attributed
   */
  recordExit (endpoint: CrashedEndpoint, nowMs: number): AttributedCrash | null {
    const crashId = formatCrashId(endpoint)
    const attempts = (this.#brokenAttempts.get(crashId) ?? []).filter(attempt => nowMs - attempt.atMs < CRASH_DETECTION_MS)
    this.#brokenAttempts.delete(crashId)
    if (attempts.length === 0 || this.#attributedCrashIds.has(crashId)) return null
    this.#attributedCrashIds.add(crashId)
    const lastAtMs = attempts.at(-1)!.atMs
    const concurrent = [...new Set(attempts.filter(attempt => lastAtMs - attempt.atMs < SAME_CRASH_MS).map(attempt => attempt.fingerprint))]
    const suspects = concurrent.filter(this.#isSuspect)
    return { crashId, endpointId: endpoint.id, fingerprints: suspects.length > 0 ? suspects : concurrent }
  }
}

/** Formats the id of the crash that ends the endpoint's process. */
export function formatCrashId (endpoint: CrashedEndpoint): string {
  return `${endpoint.id}/${endpoint.bornAtMs}`
}
