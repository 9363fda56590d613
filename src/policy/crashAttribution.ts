import { BoundedMap } from '../base/boundedMap'

/** A crash of an endpoint and what it is attributed to, as far as this process saw it. */
export interface AttributedCrash {
  /** Crash id, the same at every process that observes the crash. */
  crashId: string
  endpointId: string
  /** Time at which the first of the answers broke. */
  atMs: number
  /** Fingerprints of the requests that the crash is attributed to. */
  fingerprints: string[]
  /** For each request whose answer the endpoint had not begun, or had just begun, the keys of its shared prompt parts. */
  requests: Array<readonly string[]>
}

/** The process of an endpoint that crashed. */
export interface CrashedEndpoint {
  id: string
  address: string
  bornAtMs: number
}

/** A request whose connection broke while the endpoint may have run it. */
export interface BrokenAttempt {
  fingerprint: string
  /** Keys of its shared prompt parts; empty when its answer shows that none of them crashes endpoints. */
  parts: readonly string[]
}

interface RecordedAttempt extends BrokenAttempt {
  atMs: number
}

interface BrokenLifetime {
  endpoint: CrashedEndpoint
  attempts: RecordedAttempt[]
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
 * attribution.recordBrokenAttempt(endpoint, { fingerprint, parts }, nowMs)
 * attribution.recordExit(endpoint, nowMs) // { crashId: 'e-1/17', endpointId: 'e-1', fingerprints: [...], ... }
 */
export class CrashAttribution {
  readonly #isSuspect: (fingerprint: string) => boolean
  readonly #lifetimes = new BoundedMap<string, BrokenLifetime>(MAX_ENDPOINTS)
  /** Times of the crashes that were attributed, by crash id. */
  readonly #attributed = new BoundedMap<string, number>(MAX_ENDPOINTS)

  constructor (isSuspect: (fingerprint: string) => boolean) {
    this.#isSuspect = isSuspect
  }

  /** Counts the attempts that broke at the endpoint and may have broken with its process; `lastAtMs` is null without any. */
  countBrokenAttempts (endpoint: CrashedEndpoint, nowMs: number): { attempts: number, lastAtMs: number | null } {
    const attempts = this.#listAttempts(formatCrashId(endpoint), nowMs)
    return { attempts: attempts.length, lastAtMs: attempts.at(-1)?.atMs ?? null }
  }

  /**
   * Records that a connection broke while the endpoint may have run the request.
   *
   * @returns the crash, where the endpoint is already known to have ended; null otherwise
   */
  recordBrokenAttempt (endpoint: CrashedEndpoint, attempt: BrokenAttempt, nowMs: number): AttributedCrash | null {
    const crashId = formatCrashId(endpoint)
    const recorded = { ...attempt, atMs: nowMs }
    const crashedAtMs = this.#attributed.get(crashId)
    if (crashedAtMs !== undefined) return nowMs - crashedAtMs < CRASH_DETECTION_MS ? this.#buildCrash(endpoint, [recorded]) : null
    this.#lifetimes.set(crashId, { endpoint, attempts: [...this.#listAttempts(crashId, nowMs), recorded] })
    return null
  }

  /**
   * Records that the endpoint's process is gone.
   *
   * @returns null when no attempt broke with it, or when the crash was already attributed
   */
  recordExit (endpoint: CrashedEndpoint, nowMs: number): AttributedCrash | null {
    const crashId = formatCrashId(endpoint)
    const attempts = this.#listAttempts(crashId, nowMs)
    this.#lifetimes.delete(crashId)
    const lastAttempt = attempts.at(-1)
    if (lastAttempt === undefined || this.#attributed.has(crashId)) return null
    this.#attributed.set(crashId, nowMs)
    return this.#buildCrash(endpoint, attempts.filter(attempt => lastAttempt.atMs - attempt.atMs < SAME_CRASH_MS))
  }

  /** Finds the processes with broken attempts that another process has replaced at its address. */
  findReplaced (replacement: CrashedEndpoint): CrashedEndpoint[] {
    return [...this.#lifetimes.values()]
      .map(({ endpoint }) => endpoint)
      .filter(endpoint => endpoint.address === replacement.address && formatCrashId(endpoint) !== formatCrashId(replacement))
  }

  #listAttempts (crashId: string, nowMs: number): RecordedAttempt[] {
    return (this.#lifetimes.get(crashId)?.attempts ?? []).filter(attempt => nowMs - attempt.atMs < CRASH_DETECTION_MS)
  }

  #buildCrash (endpoint: CrashedEndpoint, attempts: readonly RecordedAttempt[]): AttributedCrash {
    const fingerprints = [...new Set(attempts.map(attempt => attempt.fingerprint))]
    const suspects = fingerprints.filter(this.#isSuspect)
    return {
      crashId: formatCrashId(endpoint),
      endpointId: endpoint.id,
      atMs: Math.min(...attempts.map(attempt => attempt.atMs)),
      fingerprints: suspects.length > 0 ? suspects : fingerprints,
      requests: attempts.map(attempt => attempt.parts).filter(parts => parts.length > 0)
    }
  }
}

/** Formats the id of the crash that ends the endpoint's process. */
export function formatCrashId (endpoint: { id: string, bornAtMs: number }): string {
  return `${endpoint.id}/${endpoint.bornAtMs}`
}

/** Parses the endpoint's id out of a crash id. */
export function parseCrashedEndpoint (crashId: string): string {
  return crashId.slice(0, crashId.lastIndexOf('/'))
}
