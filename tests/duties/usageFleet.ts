import { Result } from 'true-myth'

import { readClock } from '../../src/base/clockReading'
import { Progress } from '../../src/base/progress'
import { USAGE_DUTY_KEY } from '../../src/duties/dutyRecord'
import { UsageCounts } from '../../src/duties/usageCounts'
import { UsageDuty } from '../../src/duties/usageDuty'
import { buildUsageTiming, findWindow } from '../../src/duties/usageTiming'
import { buildPosition } from '../../src/store/storePosition'
import { MemoryObjectService, MemoryObjectStore } from '../fakes/memoryObjectService'

import type { Clock } from '../../src/base/clock'
import type { ClockReading } from '../../src/base/clockReading'
import type { DutyStep, SendOutcome } from '../../src/duties/usageDuty'
import type { ObjectServiceError, StoredObject } from '../../src/store/objectService'

/** A report as the platform received it. */
export interface ReceivedReport {
  atMs: number
  holder: string
  number: number
  window: number
  counts: string
}

export const LEASE_MS = 3000
export const TIMING = buildUsageTiming({ windowSeconds: 5, lateSeconds: 10, leaseMs: LEASE_MS })
const TICK_MS = 20
const TELL_MS = 400

/** One gateway that may hold the duty. */
export class DutyNode {
  readonly counts: UsageCounts
  readonly duty: UsageDuty
  /** Milliseconds by which the wall clock of this gateway is wrong. */
  wallErrorMs = 0
  isDown = false
  /** Whether this gateway hears the others and is heard by them. */
  isLinked = true
  /** Step whose call is under way, when the call was made, and when its answer is read. */
  pending: { step: DutyStep, sentAt: ClockReading, result: unknown, answerAtMs: number } | null = null
  waitUntilMs = 0
  readonly clock: Clock

  constructor (readonly name: string, readonly fleet: UsageFleet, readonly rank: number) {
    this.clock = { getMonotonicMs: () => fleet.nowMs, getWallMs: () => fleet.nowMs + this.wallErrorMs }
    const process = `${name}-${fleet.nowMs}`
    this.counts = new UsageCounts({ process, domain: name, sinceMs: fleet.nowMs })
    this.duty = new UsageDuty({ clock: this.clock, timing: TIMING, holder: name, process, sinceMs: fleet.nowMs, callsPerSecond: 50 })
  }
}

/** Several gateways, a store in memory and a platform, in simulated time. Times are Unix milliseconds. */
export class UsageFleet {
  nowMs = 1_000_000_000
  readonly store = new MemoryObjectStore()
  readonly service = new MemoryObjectService(this.store)
  readonly nodes: DutyNode[]
  readonly received: ReceivedReport[] = []
  /** Requests that began, by window and workspace. */
  readonly truth = new Map<number, Map<string, number>>()
  isPlatformDown = false
  /** Number of next reports that the platform takes without an answer. */
  lostAnswers = 0
  /** Milliseconds until the answer to a call is read. */
  answerMs = 20
  era = 0
  /** Called before each step of a gateway; returns false to leave the step out. */
  handleStep: (node: DutyNode, step: DutyStep) => boolean = () => true

  constructor (count = 3) {
    this.nodes = Array.from({ length: count }, (_, index) => new DutyNode(`gateway-${index + 1}`, this, index))
  }

  /** Lets time pass, with a request of a workspace at a gateway that is up every 20 ms. */
  async advance (milliseconds: number): Promise<void> {
    const untilMs = this.nowMs + milliseconds
    while (this.nowMs < untilMs) {
      this.nowMs += TICK_MS
      this.#beginRequest()
      if (this.nowMs % TELL_MS === 0) this.#spreadCounts()
      for (const node of this.nodes) if (!node.isDown) await this.#runNode(node)
    }
  }

  /** Lets time pass until the condition holds. */
  async advanceUntil (check: () => boolean): Promise<void> {
    for (let steps = 0; !check(); steps++) {
      if (steps > 3000) throw new Error('the condition did not come true within a minute')
      await this.advance(TICK_MS)
    }
  }

  /** Replaces the process of a gateway. */
  replaceNode (index: number): void {
    const { name, rank } = this.nodes[index]!
    this.nodes[index] = new DutyNode(name, this, rank)
  }

  /** Restores the store's object from a backup. */
  replaceObject (backup: StoredObject | undefined): void {
    this.era += 1
    if (backup === undefined) this.store.objects.delete(USAGE_DUTY_KEY)
    else this.store.objects.set(USAGE_DUTY_KEY, backup)
  }

  getHolder (): DutyNode | undefined {
    return this.nodes.find(node => !node.isDown && node.duty.heldNumber !== null)
  }

  /** Lists the broken rules of single holders. */
  listViolations (): string[] {
    const violations: string[] = []
    const holders = new Map<number, string>()
    const counts = new Map<number, string>()
    this.received.forEach((report, index) => {
      const earlier = this.received.slice(0, index)
      if ((holders.get(report.number) ?? report.holder) !== report.holder) violations.push(`number ${report.number} of two holders`)
      if ((counts.get(report.window) ?? report.counts) !== report.counts) violations.push(`window ${report.window} twice`)
      if (earlier.some(({ number }) => number > report.number)) violations.push(`number ${report.number} after a higher one`)
      const others = earlier.findLastIndex(({ holder }) => holder !== report.holder)
      const before = earlier.slice(0, Math.max(0, others)).findLast(({ holder }) => holder === report.holder)
      if (before !== undefined && report.atMs - before.atMs <= LEASE_MS) violations.push(`back at ${report.holder} within the lease`)
      holders.set(report.number, report.holder)
      counts.set(report.window, report.counts)
    })
    return violations
  }

  /** Returns whether the report of a window came in time and is right, each workspace within a twentieth. */
  isRight (window: number): boolean {
    const report = this.received.find(candidate => candidate.window === window)
    if (report === undefined || report.atMs > (window + 1) * TIMING.windowMs + 10_000) return false
    const counts = new Map(JSON.parse(report.counts) as Array<[string, number]>)
    return [...this.truth.get(window) ?? []].every(([workspace, count]) => Math.abs((counts.get(workspace) ?? 0) - count) <= 0.05 * count)
  }

  /** Lists the windows from one time to another that were whole and were not reported right. */
  listWrong (fromMs: number, untilMs: number): number[] {
    const first = Math.ceil(fromMs / TIMING.windowMs)
    const last = Math.floor(untilMs / TIMING.windowMs) - 1
    return Array.from({ length: last - first + 1 }, (_, index) => first + index).filter(window => !this.isRight(window))
  }

  #beginRequest (): void {
    const up = this.nodes.filter(node => !node.isDown)
    const index = this.nowMs / TICK_MS
    const node = up[index % Math.max(1, up.length)]
    if (node === undefined) return
    const window = findWindow(this.nowMs, TIMING)
    const workspace = `w-${index % 4}`
    const counts = this.truth.get(window) ?? new Map<string, number>()
    this.truth.set(window, counts.set(workspace, (counts.get(workspace) ?? 0) + 1))
    node.counts.recordRun(workspace, window)
  }

  #spreadCounts (): void {
    for (const node of this.nodes) {
      node.counts.expire(node.duty.reportedWindow, findWindow(this.nowMs, TIMING))
      if (node.isDown || !node.isLinked) continue
      const { counts } = node.counts.listUnknown(0, 10_000)
      for (const other of this.nodes) {
        if (other === node || other.isDown || !other.isLinked) continue
        other.counts.merge(counts)
        other.duty.recordReported(node.duty.reportedWindow)
      }
    }
  }

  async #runNode (node: DutyNode): Promise<void> {
    if (node.pending !== null) {
      if (this.nowMs < node.pending.answerAtMs) return
      this.#finish(node)
    }
    if (this.nowMs < node.waitUntilMs) return
    const step = node.duty.decide({ trueMs: this.nowMs, rank: node.rank, isLeaving: false, counts: node.counts })
    if (step.kind === 'wait') node.waitUntilMs = this.nowMs + step.ms
    else if (this.handleStep(node, step)) node.pending = { step, sentAt: readClock(node.clock), result: await this.#call(node, step), answerAtMs: this.nowMs + this.answerMs }
  }

  async #call (node: DutyNode, step: Exclude<DutyStep, { kind: 'wait' }>): Promise<unknown> {
    const progress = new Progress({ title: 'testing', timeoutMs: 1000 })
    switch (step.kind) {
      case 'read': return (await this.service.get(USAGE_DUTY_KEY, progress)).map(found => found === null ? null : { ...found, version: buildPosition(this.era, found.version) })
      case 'write': {
        const condition = step.condition.kind === 'absent' ? step.condition : { kind: 'version' as const, version: step.condition.version % buildPosition(1, 0) }
        return (await this.service.put(USAGE_DUTY_KEY, step.value, condition, progress)).map(({ version }) => ({ version: buildPosition(this.era, version) }))
      }
      case 'send': return this.#receive(node, step)
    }
  }

  #receive (node: DutyNode, { intent: [window, counts], number }: Extract<DutyStep, { kind: 'send' }>): SendOutcome {
    if (this.isPlatformDown) return { kind: 'failed', message: 'down' }
    this.received.push({ atMs: this.nowMs, holder: node.name, number, window, counts: JSON.stringify(counts) })
    if (this.lostAnswers === 0) return { kind: 'accepted' }
    this.lostAnswers -= 1
    return { kind: 'failed', message: 'no answer' }
  }

  #finish (node: DutyNode): void {
    const { step, sentAt, result } = node.pending!
    node.pending = null
    if (step.kind === 'read') node.duty.recordRead(result as Result<StoredObject | null, ObjectServiceError>, step.dueWindow)
    if (step.kind === 'write') node.duty.recordWrite(step, result as Result<{ version: number }, ObjectServiceError>, sentAt)
    if (step.kind === 'send') node.duty.recordSend(step, result as SendOutcome)
  }
}
