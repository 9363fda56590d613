/** Request limits of one workspace at one gateway. */
export interface WorkspaceLimits {
  requestsPerSecond: number
  maxConcurrent: number
}

/** Whether a request is admitted. A limited request may be retried after `retryAfterMs`. */
export type RateDecision =
  | { kind: 'admitted' }
  | { kind: 'limited', reason: 'rate' | 'concurrency', retryAfterMs: number }

interface WorkspaceUsage {
  tokens: number
  filledAtMs: number
  running: number
}

const BURST_SECONDS = 2
const CONCURRENCY_RETRY_AFTER_MS = 1000
const MIN_WORKSPACES_FOR_SWEEP = 1024

/**
 * Limits the request rate and the number of concurrent requests of each workspace.
 *
 * @example
 * const limiter = new RateLimiter()
 * limiter.admit('shop', { requestsPerSecond: 5, maxConcurrent: 20 }, nowMs) // { kind: 'admitted' }
 * limiter.release('shop')
 */
export class RateLimiter {
  readonly #usages = new Map<string, WorkspaceUsage>()
  #nextSweepSize = MIN_WORKSPACES_FOR_SWEEP

  /** Returns the number of requests of a workspace that are admitted and not yet released. */
  countRunning (workspace: string): number {
    return this.#usages.get(workspace)?.running ?? 0
  }

  /** Admits a request or returns the limit that it exceeds. An admitted request must be released when it ends. */
  admit (workspace: string, limits: WorkspaceLimits, nowMs: number): RateDecision {
    const usage = this.#getOrCreateUsage(workspace, limits, nowMs)
    const burst = computeBurstTokens(limits)
    usage.tokens = Math.min(burst, usage.tokens + limits.requestsPerSecond * Math.max(0, nowMs - usage.filledAtMs) / 1000)
    usage.filledAtMs = nowMs
    if (usage.running >= limits.maxConcurrent) {
      return { kind: 'limited', reason: 'concurrency', retryAfterMs: CONCURRENCY_RETRY_AFTER_MS }
    }
    if (usage.tokens < 1) {
      return { kind: 'limited', reason: 'rate', retryAfterMs: 1000 * (1 - usage.tokens) / limits.requestsPerSecond }
    }
    usage.tokens -= 1
    usage.running += 1
    return { kind: 'admitted' }
  }

  /** Releases an admitted request that ended. */
  release (workspace: string): void {
    const usage = this.#usages.get(workspace)
    if (usage !== undefined) usage.running = Math.max(0, usage.running - 1)
  }

  #getOrCreateUsage (workspace: string, limits: WorkspaceLimits, nowMs: number): WorkspaceUsage {
    const known = this.#usages.get(workspace)
    if (known !== undefined) return known
    this.#removeIdle(nowMs)
    const usage = { tokens: computeBurstTokens(limits), filledAtMs: nowMs, running: 0 }
    this.#usages.set(workspace, usage)
    return usage
  }

  /** Removes workspaces that were idle for the burst duration. Their token bucket is full again, like that of a new workspace. */
  #removeIdle (nowMs: number): void {
    if (this.#usages.size < this.#nextSweepSize) return
    for (const [workspace, usage] of this.#usages) {
      if (usage.running === 0 && nowMs - usage.filledAtMs > BURST_SECONDS * 1000) this.#usages.delete(workspace)
    }
    this.#nextSweepSize = Math.max(MIN_WORKSPACES_FOR_SWEEP, 2 * this.#usages.size)
  }
}

function computeBurstTokens (limits: WorkspaceLimits): number {
  return Math.max(1, BURST_SECONDS * limits.requestsPerSecond)
}
