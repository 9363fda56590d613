/** A crash of an endpoint, with the requests that it is blamed on. */
export interface BlamedCrash {
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

interface BrokenSend {
  fingerprint: string
  atMs: number
}

/** Time in which a crash shows itself after its connections broke: its entry lapses within four heartbeats. */
const EVIDENCE_MS = 6000
/** Connections that break within this time broke for one cause. */
const TOGETHER_MS = 500
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
export class CrashBlame {
  readonly #isSuspect: (fingerprint: string) => boolean
  readonly #broken = new Map<string, BrokenSend[]>()
  readonly #blamed = new Set<string>()

  constructor (isSuspect: (fingerprint: string) => boolean) {
    this.#isSuspect = isSuspect
  }

  /** Records that a connection broke while the endpoint may have run the request. */
  recordBroken (endpoint: CrashedEndpoint, fingerprint: string, nowMs: number): void {
    const crashId = formatCrashId(endpoint)
    const sends = (this.#broken.get(crashId) ?? []).filter(send => nowMs - send.atMs < EVIDENCE_MS)
    sends.push({ fingerprint, atMs: nowMs })
    this.#broken.set(crashId, sends)
    for (const known of this.#broken.keys()) {
      if (this.#broken.size <= MAX_ENDPOINTS) return
      this.#broken.delete(known)
    }
  }

  /** Records that the endpoint's process is gone; null when nothing broke with it. */
  recordGone (endpoint: CrashedEndpoint, nowMs: number): BlamedCrash | null {
    const crashId = formatCrashId(endpoint)
    const sends = (this.#broken.get(crashId) ?? []).filter(send => nowMs - send.atMs < EVIDENCE_MS)
    this.#broken.delete(crashId)
    if (sends.length === 0 || this.#blamed.has(crashId)) return null
    this.#blamed.add(crashId)
    const lastAtMs = sends.at(-1)!.atMs
    const together = [...new Set(sends.filter(send => lastAtMs - send.atMs < TOGETHER_MS).map(send => send.fingerprint))]
    const suspects = together.filter(this.#isSuspect)
    return { crashId, endpointId: endpoint.id, fingerprints: suspects.length > 0 ? suspects : together }
  }
}

function formatCrashId (endpoint: CrashedEndpoint): string {
  return `${endpoint.id}/${endpoint.bornAtMs}`
}
