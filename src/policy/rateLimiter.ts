/** Limits of one workspace at one gateway. */
export interface WorkspaceLimits {
  requestsPerSecond: number
  maxConcurrent: number
}

/** Whether a request of a workspace is admitted; if not, after how long it may come again. */
export type RateDecision =
  | { kind: 'admitted' }
  | { kind: 'limited', reason: 'rate' | 'concurrency', retryAfterMs: number }

interface WorkspaceUse {
  tokens: number
  filledAtMs: number
  running: number
}

const BURST_SECONDS = 2
const CONCURRENCY_RETRY_MS = 1000
const SWEEP_SIZE = 1024

/**
 * Limits the requests a second and the requests at once of each workspace.
 *
 * @example
 * const limiter = new RateLimiter()
 * limiter.admit('shop', { requestsPerSecond: 5, maxConcurrent: 20 }, nowMs) // { kind: 'admitted' }
 * limiter.release('shop')
 */
export class RateLimiter {
  readonly #uses = new Map<string, WorkspaceUse>()
  #nextSweepSize = SWEEP_SIZE

  /** Counts the requests of a workspace that are admitted and not yet released. */
  countRunning (workspace: string): number {
    return this.#uses.get(workspace)?.running ?? 0
  }

  /** Admits a request, which must be released when it ended, or says why not. */
  admit (workspace: string, limits: WorkspaceLimits, nowMs: number): RateDecision {
    const use = this.#openUse(workspace, limits, nowMs)
    const burst = computeBurst(limits)
    use.tokens = Math.min(burst, use.tokens + limits.requestsPerSecond * Math.max(0, nowMs - use.filledAtMs) / 1000)
    use.filledAtMs = nowMs
    if (use.running >= limits.maxConcurrent) {
      return { kind: 'limited', reason: 'concurrency', retryAfterMs: CONCURRENCY_RETRY_MS }
    }
    if (use.tokens < 1) {
      return { kind: 'limited', reason: 'rate', retryAfterMs: 1000 * (1 - use.tokens) / limits.requestsPerSecond }
    }
    use.tokens -= 1
    use.running += 1
    return { kind: 'admitted' }
  }

  /** Gives back the place of an admitted request that ended. */
  release (workspace: string): void {
    const use = this.#uses.get(workspace)
    if (use !== undefined) use.running = Math.max(0, use.running - 1)
  }

  #openUse (workspace: string, limits: WorkspaceLimits, nowMs: number): WorkspaceUse {
    const known = this.#uses.get(workspace)
    if (known !== undefined) return known
    this.#removeIdle(nowMs)
    const use = { tokens: computeBurst(limits), filledAtMs: nowMs, running: 0 }
    this.#uses.set(workspace, use)
    return use
  }

  /** A workspace idle for as long as its burst has a full bucket again, as a new one has. */
  #removeIdle (nowMs: number): void {
    if (this.#uses.size < this.#nextSweepSize) return
    for (const [workspace, use] of this.#uses) {
      if (use.running === 0 && nowMs - use.filledAtMs > BURST_SECONDS * 1000) this.#uses.delete(workspace)
    }
    this.#nextSweepSize = Math.max(SWEEP_SIZE, 2 * this.#uses.size)
  }
}

function computeBurst (limits: WorkspaceLimits): number {
  return Math.max(1, BURST_SECONDS * limits.requestsPerSecond)
}
