import { IndexedHeap } from './indexedHeap'

interface ClassShareState {
  name: string
  /** Starts at the endpoint between two guaranteed starts of the class. */
  spacing: number
  /** Number of the start by which the class is owed its next one. */
  dueAtStart: number
  /** Whether a request of the class went unserved since the class last started one. */
  owed: boolean
  queued: number
}

/**
 * Counts starts by class and says which class is owed one: each class with a share of `s` and
 * something queued starts at least once in every `1 / s` starts of the endpoint.
 *
 * @example
 * const shares = new ClassShares()
 * shares.recordDemand('lookup', 0.5)
 * shares.recordQueued('lookup')
 * shares.recordStart('panel', 'tier')
 * shares.recordStart('panel', 'tier')
 * shares.findOwedClass() // 'lookup'
 */
export class ClassShares {
  readonly #classes = new Map<string, ClassShareState>()
  readonly #backlogged = new IndexedHeap<ClassShareState>((a, b) => a.dueAtStart < b.dueAtStart)
  #startCount = 0

  /** Finds the backlogged class that is owed the next start. */
  findOwedClass (): string | undefined {
    const first = this.#backlogged.getFirst()
    return first !== undefined && first.dueAtStart <= this.#startCount ? first.name : undefined
  }

  /** Estimates how many starts pass until the class's share starts one more request, not counting the last `queuedLater`. */
  estimateStartsUntilDue (className: string, queuedLater: number): number {
    const share = this.#classes.get(className)
    if (share === undefined) return Infinity
    return Math.max(0, share.dueAtStart - this.#startCount) + (share.queued - queuedLater) * share.spacing + 1
  }

  /** Counts the queued requests of a class. */
  countQueued (className: string): number {
    return this.#classes.get(className)?.queued ?? 0
  }

  /** Records that a request of the class was offered, with the class's share of 0 to 1. */
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

  /** Records that a request of the class joined the queue. */
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

  /** Records a start of the class, by its tier or by its share. */
  recordStart (className: string, by: 'tier' | 'share'): void {
    this.#startCount += 1
    const share = this.#classes.get(className)
    if (share === undefined) return
    share.owed = false
    share.dueAtStart = (by === 'share' ? share.dueAtStart : this.#startCount) + share.spacing
    if (share.queued > 0) this.#backlogged.add(share)
  }
}
