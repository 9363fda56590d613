import { IndexedHeap } from '../../src/policy/indexedHeap'

import type { EventQueue } from './eventQueue'

/** Speed and capacity of a model engine. */
export interface EngineSpec {
  name: string
  domain: string
  slots: number
  /** Milliseconds between tokens when one request runs alone. */
  baseIntervalMs: number
  /** Milliseconds between tokens that each additional running request adds. */
  addedIntervalMs: number
}

/** One generation run on an engine. */
export interface EngineRun {
  prefillUnits: number
  tokens: number
  onFirstToken: () => void
  onEnd: (end: 'completed' | 'crashed') => void
  /** Unit counter of the engine when the run started, set by the engine. */
  startedAtUnits?: number
  engine?: Engine
}

interface Milestone {
  atUnits: number
  run: EngineRun
  kind: 'firstToken' | 'end'
}

/**
 * A model engine with continuous batching. In each interval every running request advances by one unit,
 * which is a token or a part of the prompt. The interval grows with the number of running requests.
 */
export class Engine {
  readonly spec: EngineSpec
  readonly #events: EventQueue
  readonly #milestones = new IndexedHeap<Milestone>((a, b) => a.atUnits < b.atUnits)
  readonly #running = new Map<EngineRun, Milestone[]>()
  readonly #waiting: EngineRun[] = []
  #units = 0
  #advancedAtMs = 0
  #slowFactor = 1
  #up = true
  #cancelNext = () => {}
  #generatedUnits = 0

  constructor (events: EventQueue, spec: EngineSpec) {
    this.#events = events
    this.spec = spec
  }

  isUp (): boolean {
    return this.#up
  }

  countRunning (): number {
    return this.#running.size
  }

  getIntervalMs (running = this.#running.size): number {
    return this.#slowFactor * (this.spec.baseIntervalMs + this.spec.addedIntervalMs * Math.max(0, running - 1))
  }

  /**
   * Computes the units per second that the engine can generate while its token interval stays within `targetMs`.
   * A slowed engine counts with all its slots, whatever its token interval.
   */
  computeCapacity (targetMs: number): number {
    if (!this.#up) return 0
    let running = this.spec.slots
    while (running > 1 && this.getIntervalMs(running) > targetMs && this.#slowFactor === 1) running -= 1
    return 1000 * running / this.getIntervalMs(running)
  }

  /** Counts the tokens of a run generated so far. */
  countTokens (run: EngineRun): number {
    this.#advance()
    return Math.min(run.tokens, Math.max(0, Math.floor(this.countUnits(run) - run.prefillUnits)))
  }

  countUnits (run: EngineRun): number {
    this.#advance()
    return run.startedAtUnits === undefined ? 0 : this.#units - run.startedAtUnits
  }

  /** Counts the units generated for all runs so far. */
  countGenerated (): number {
    this.#advance()
    return this.#generatedUnits
  }

  /** Starts a run, or queues it until a slot is free, first come first served. */
  start (run: EngineRun): void {
    this.#advance()
    run.engine = this
    if (this.#running.size < this.spec.slots) this.#startNow(run)
    else this.#waiting.push(run)
    this.#scheduleNext()
  }

  cancel (run: EngineRun): void {
    this.#advance()
    this.#remove(run)
    this.#scheduleNext()
  }

  setSlowFactor (factor: number): void {
    this.#advance()
    this.#slowFactor = factor
    this.#scheduleNext()
  }

  fail (): void {
    this.#advance()
    this.#up = false
    const lost = [...this.#running.keys(), ...this.#waiting]
    this.#waiting.length = 0
    for (const run of lost) this.#remove(run)
    for (const run of lost) run.onEnd('crashed')
    this.#scheduleNext()
  }

  reset (): void {
    this.#up = true
  }

  #startNow (run: EngineRun): void {
    run.startedAtUnits = this.#units
    const firstTokenAt = this.#units + run.prefillUnits + 1
    const milestones: Milestone[] = [
      { atUnits: firstTokenAt, run, kind: 'firstToken' },
      { atUnits: Math.max(firstTokenAt, this.#units + run.prefillUnits + run.tokens) + 1e-6, run, kind: 'end' }
    ]
    this.#running.set(run, milestones)
    milestones.forEach(milestone => this.#milestones.add(milestone))
  }

  #remove (run: EngineRun): void {
    const place = this.#waiting.indexOf(run)
    if (place >= 0) this.#waiting.splice(place, 1)
    this.#running.get(run)?.forEach(milestone => this.#milestones.remove(milestone))
    this.#running.delete(run)
    while (this.#up && this.#waiting.length > 0 && this.#running.size < this.spec.slots) this.#startNow(this.#waiting.shift() as EngineRun)
  }

  #advance (): void {
    const units = (this.#events.getNowMs() - this.#advancedAtMs) / this.getIntervalMs()
    this.#advancedAtMs = this.#events.getNowMs()
    this.#units += units
    this.#generatedUnits += units * this.#running.size
  }

  #scheduleNext (): void {
    this.#cancelNext()
    const next = this.#milestones.getFirst()
    if (next === undefined) return
    this.#cancelNext = this.#events.schedule((next.atUnits - this.#units) * this.getIntervalMs(), () => this.#finish(next))
  }

  #finish (milestone: Milestone): void {
    this.#advance()
    this.#milestones.remove(milestone)
    if (milestone.kind === 'end') this.#remove(milestone.run)
    this.#scheduleNext()
    if (milestone.kind === 'end') milestone.run.onEnd('completed')
    else milestone.run.onFirstToken()
  }
}
