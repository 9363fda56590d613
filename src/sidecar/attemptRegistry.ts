import type { Attempt } from './attempt'

const MAX_FENCED_IDS = 20_000

/** Holds the attempts of this sidecar: open ones, recently ended ones, and ids fenced before they arrived. */
export class AttemptRegistry {
  readonly #attempts = new Map<string, Attempt>()
  readonly #ended: Array<{ attempt: Attempt, endedAtMs: number }> = []
  readonly #fencedIds = new Set<string>()
  readonly #retentionMs: number

  constructor (options: { retentionMs: number }) {
    this.#retentionMs = options.retentionMs
  }

  find (attemptId: string): Attempt | undefined {
    return this.#attempts.get(attemptId)
  }

  isFenced (attemptId: string): boolean {
    return this.#fencedIds.has(attemptId)
  }

  listOpen (): Attempt[] {
    return [...this.#attempts.values()].filter(attempt => attempt.phase !== 'ended')
  }

  count (): number {
    return this.#attempts.size
  }

  add (attempt: Attempt): void {
    this.#attempts.set(attempt.id, attempt)
  }

  /** Fences an attempt that has not arrived, so that it is refused from now on. */
  fence (attemptId: string): void {
    this.#fencedIds.add(attemptId)
    if (this.#fencedIds.size <= MAX_FENCED_IDS) return
    const oldest = this.#fencedIds.values().next().value
    if (oldest !== undefined) this.#fencedIds.delete(oldest)
  }

  /** Keeps an ended attempt until its retention expires, so that a gateway that lost its stream can read the rest. */
  markEnded (attempt: Attempt, nowMs: number): void {
    this.#ended.push({ attempt, endedAtMs: nowMs })
  }

  /** Removes ended attempts whose retention has expired. */
  removeExpired (nowMs: number): void {
    while (this.#ended[0] !== undefined && this.#ended[0].endedAtMs + this.#retentionMs <= nowMs) {
      const expired = this.#ended.shift()
      if (expired) this.#attempts.delete(expired.attempt.id)
    }
  }
}
