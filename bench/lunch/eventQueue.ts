import { IndexedHeap } from '../../src/policy/indexedHeap'

interface ScheduledEvent {
  atMs: number
  sequence: number
  run: () => void
}

/** A virtual clock that runs scheduled functions in time order. */
export class EventQueue {
  readonly #events = new IndexedHeap<ScheduledEvent>((a, b) => a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence))
  #sequence = 0
  #nowMs = 0

  /** Gets the virtual time. */
  getNowMs (): number {
    return this.#nowMs
  }

  /** Schedules `run` after `delayMs` and returns a function that cancels it. */
  schedule (delayMs: number, run: () => void): () => void {
    const event = { atMs: this.#nowMs + Math.max(0, delayMs), sequence: this.#sequence++, run }
    this.#events.add(event)
    return () => this.#events.remove(event)
  }

  /** Runs `run` every `periodMs` until `untilMs`. */
  scheduleEvery (periodMs: number, untilMs: number, run: () => void): void {
    this.schedule(periodMs, () => {
      run()
      if (this.#nowMs < untilMs) this.scheduleEvery(periodMs, untilMs, run)
    })
  }

  /** Runs all events, including those that an event schedules. */
  runAll (): void {
    for (let event = this.#events.getFirst(); event !== undefined; event = this.#events.getFirst()) {
      this.#events.remove(event)
      this.#nowMs = event.atMs
      event.run()
    }
  }
}
