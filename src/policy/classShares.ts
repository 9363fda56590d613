import { IndexedHeap } from './indexedHeap'

interface ClassShareState {
  name: string
  /** Number of starts at the endpoint from one guaranteed start of the class to the next. */
  spacing: number
  /** Value of the start counter at which the next guaranteed start of the class is due. */
  dueAtStart: number
  /** Whether a request of the class was refused, displaced or expired since the class's last start. */
  owed: boolean
  queued: number
}

/**
 * Tracks the guaranteed share of starts of each class and finds the class whose start is due. A
 * backlogged class with share `s` starts at least once in every `1 / s` starts of the endpoint.
 *
 * @example
 * const shares = new ClassShares()
 * shares.recordDemand('lookup', 0.5)
 * shares.recordEnqueued('lookup')
 * shares.recordStart('panel', 'tier')
 * shares.recordStart('panel', 'tier')
 * shares.findOwedClass() // 'lookup'
 */
export class ClassShares {
  readonly #classes = new Map<string, ClassShareState>()
  readonly #backlogged = new IndexedHeap<ClassShareState>((a, b) => a.dueAtStart < b.dueAtStart)
  #startCount = 0

  /** Returns the backlogged class whose guaranteed start is due, if any. */
  findOwedClass (): string | undefined {
    const first = this.#backlogged.getFirst()
    return first !== undefined && first.dueAtStart <= this.#startCount ? first.name : undefined
  }

  /** Estimates how many starts pass until the class's share starts one more request. Ignores the last `queuedLater` queued requests. */
  estimateStartsUntilDue (className: string, queuedLater: number): number {
    const share = this.#classes.get(className)
    if (share === undefined) return Infinity
    return Math.max(0, share.dueAtStart - this.#startCount) + (share.queued - queuedLater) * share.spacing + 1
  }

  /** Returns the number of queued requests of a class with a share. */
  countQueued (className: string): number {
    return this.#classes.get(className)?.queued ?? 0
  }

  /** Records that a request of the class was offered. `share` is the class's guaranteed fraction of starts, 0 to 1. */
  recordDemand (className: string, share: number): void {
    if (share <= 0) return
    const spacing = 1 / Math.min(1, share)
    const known = this.#classes.get(className)
    if (known === undefined) {
      this.#classes.set(className, { name: className, spacing, dueAtStart: this.#startCount + spacing, owed: false, queued: 0 })
      return
    }
    known.spacing = spacing
    if (known.queued > 0) return
    known.dueAtStart = Math.max(known.dueAtStart, this.#startCount + (known.owed ? 0 : spacing))
  }

  /** Records that a request of the class entered the queue. */
  recordEnqueued (className: string): void {
    const share = this.#classes.get(className)
    if (share === undefined) return
    share.queued += 1
    this.#backlogged.add(share)
  }

  /** Records that a request of the class left the queue. */
  recordDequeued (className: string): void {
    const share = this.#classes.get(className)
    if (share === undefined) return
    share.queued -= 1
    if (share.queued === 0) this.#backlogged.remove(share)
  }

  /** Records that a request of the class was refused, displaced or expired. */
  recordUnserved (className: string): void {
    const share = this.#classes.get(className)
    if (share !== undefined) share.owed = true
  }

  /** Records a start of the class. `by` is the rule that selected the request. */
  recordStart (className: string, by: 'tier' | 'share'): void {
    this.#startCount += 1
    const share = this.#classes.get(className)
    if (share === undefined) return
    share.owed = false
    share.dueAtStart = (by === 'share' ? share.dueAtStart : this.#startCount) + share.spacing
    if (share.queued > 0) this.#backlogged.add(share)
  }
}
