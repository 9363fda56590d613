import { computeElapsedMs } from '../base/clockReading'
import { getEra } from '../store/storePosition'
import { computeNextNumber, dutyRecordSchema, selectIntents } from './dutyRecord'
import { computeDueAtMs, findDueWindow, findWindow } from './usageTiming'

import type { Result } from 'true-myth'
import type { Clock } from '../base/clock'
import type { ClockReading } from '../base/clockReading'
import type { ObjectServiceError, StoredObject, WriteCondition } from '../store/objectService'
import type { DutyRecord, UsageIntent } from './dutyRecord'
import type { UsageCounts } from './usageCounts'
import type { UsageTiming } from './usageTiming'

/** What a gateway does next for the usage report. */
export type DutyStep =
  | { kind: 'wait', ms: number }
  | { kind: 'read', dueWindow: number }
  | { kind: 'write', value: DutyRecord, condition: WriteCondition, isClaim: boolean, skipped: number[] }
  | { kind: 'send', intent: UsageIntent, number: number, timeoutMs: number }

/** How a call to the platform ended. */
export type SendOutcome =
  | { kind: 'accepted' }
  /** The platform does not take the report, now or later. */
  | { kind: 'refused', status: number }
  | { kind: 'rateLimited', retryAfterMs: number }
  | { kind: 'failed', message: string }

export interface DutySituation {
  /** Unix milliseconds, as estimated by `TrueTime`. */
  trueMs: number
  /** Position of this gateway among those that may step in, from 0; null when it may not. */
  rank: number | null
  isLeaving: boolean
  counts: UsageCounts
}

export interface UsageDutyOptions {
  clock: Clock
  timing: UsageTiming
  /** Name of this gateway, and id of its process. */
  holder: string
  process: string
  /** Unix milliseconds since which this process counts. */
  sinceMs: number
  /** Calls per second that the platform takes from all gateways together. */
  callsPerSecond: number
}

/** The duty as this process holds it. */
interface Holding {
  record: DutyRecord
  version: number
  /** When the last write was sent; null when no call may be sent on its strength. */
  sentAt: ClockReading | null
}

/** The stored object as this process last read it. */
interface Observation {
  record: DutyRecord | null
  version: number | null
  /** Monotonic milliseconds at which this version was first seen. */
  seenAtMs: number
  /** Window that was due at the last read. */
  dueWindow: number
  /** Whether the holder is behind, so that another one may claim. An object that cannot be read is left alone: its number is not known. */
  isBehind: boolean
}

const POLL_MS = 250
/** Milliseconds between two looks of a gateway that has nothing to do. */
const IDLE_MS = 1000
/** Windows that are named at most when several are skipped together. */
const MAX_LISTED_WINDOWS = 16
/** Milliseconds that a call to the platform has at least. */
const MIN_CALL_MS = 100
const MIN_RETRY_MS = 300
const MAX_RETRY_MS = 2000
const MS_PER_SECOND = 1000

/**
 * Decides who reports the usage of a window, when, and what is sent again. Makes no call itself: `decide` returns the next
 * step, and its result is recorded. The counts of a window are stored before they are sent, by the same conditional write
 * that claims or renews the duty; nothing else is ever sent.
 *
 * @example
 * const step = duty.decide({ trueMs: trueTime.getMs(), rank: 0, isLeaving: false, counts })
 */
export class UsageDuty {
  readonly #options: UsageDutyOptions
  #holding: Holding | null = null
  #observation: Observation | null = null
  /** Whether a write had no answer, so that the stored object has to be read. */
  #isUnsure = false
  readonly #settled = new Set<number>()
  #reportedWindow = -Infinity
  /** Last window that had ended before this process started; it steps in only for later ones. */
  readonly #windowBeforeStart: number
  /** Highest number that this process has seen; an object that was deleted does not begin again below it. */
  #highestNumber = 0
  #retryAtMs = -Infinity
  #retryMs = MIN_RETRY_MS

  constructor (options: UsageDutyOptions) {
    this.#options = options
    this.#windowBeforeStart = findWindow(options.sinceMs, options.timing) - 1
  }

  /** Last window that is settled at the platform together with all before it; -Infinity while this process knows of none. */
  get reportedWindow (): number {
    return this.#reportedWindow
  }

  /** Number with which this process holds the duty; null when it does not. */
  get heldNumber (): number | null {
    return this.#holding?.record.number ?? null
  }

  /** Windows that are stored and not settled; empty when another gateway holds the duty. */
  listUnsettled (): UsageIntent[] {
    return this.#holding?.record.intents.filter(([window]) => !this.#settled.has(window)) ?? []
  }

  /** Records which window another gateway told is settled. */
  recordReported (window: number): void {
    this.#reportedWindow = Math.max(this.#reportedWindow, window)
  }

  /** Decides on the next step. */
  decide (situation: DutySituation): DutyStep {
    const { clock, timing } = this.#options
    if (situation.isLeaving) {
      this.#holding = null
      return { kind: 'wait', ms: IDLE_MS }
    }
    const pauseMs = this.#retryAtMs - clock.getMonotonicMs()
    if (pauseMs > 0) return { kind: 'wait', ms: pauseMs }
    const dueWindow = findDueWindow(situation.trueMs, timing)
    if (this.#isUnsure) return { kind: 'read', dueWindow }
    if (this.#holding !== null) return this.#decideAsHolder(this.#holding, situation, dueWindow)
    return this.#decideAsCandidate(situation, dueWindow)
  }

  /** Records the result of a read. Returns whether this process has lost the duty. */
  recordRead (result: Result<StoredObject | null, ObjectServiceError>, dueWindow: number): boolean {
    if (result.isErr) {
      this.#pause(result.error)
      return false
    }
    this.#retryMs = MIN_RETRY_MS
    this.#isUnsure = false
    const found = result.value
    const parsed = dutyRecordSchema.safeParse(found?.value)
    const record = parsed.success ? parsed.data : null
    const isRestored = record !== null && found !== null && getEra(found.version) !== record.era
    this.#highestNumber = Math.max(this.#highestNumber, record?.number ?? 0)
    if (record !== null && found !== null && !isRestored && record.process === this.#options.process) {
      // written before, without an answer: it may not be sent on the strength of a write of unknown age
      this.#holding = { record, version: found.version, sentAt: null }
      return false
    }
    const wasHolding = this.#holding !== null
    this.#holding = null
    const version = found?.version ?? null
    const before = this.#observation
    const seenAtMs = before !== null && before.version === version ? before.seenAtMs : this.#options.clock.getMonotonicMs()
    this.#observation = { record, version, seenAtMs, dueWindow, isBehind: record === null ? found === null : isRestored || record.window < dueWindow }
    return wasHolding
  }

  /** Records the result of a write, which was sent at `sentAt`. Returns whether this process has lost the duty. */
  recordWrite ({ value }: Extract<DutyStep, { kind: 'write' }>, result: Result<{ version: number }, ObjectServiceError>, sentAt: ClockReading): boolean {
    if (result.isOk && getEra(result.value.version) === value.era) {
      this.#retryMs = MIN_RETRY_MS
      this.#observation = null
      this.#holding = { record: value, version: result.value.version, sentAt }
      this.#highestNumber = Math.max(this.#highestNumber, value.number)
      for (const window of this.#settled) if (!value.intents.some(([stored]) => stored === window)) this.#settled.delete(window)
      if (value.intents.length === 0) this.recordReported(value.window)
      return false
    }
    // it may have been stored: by this write, by one without an answer before, or in a store that was restored since
    this.#isUnsure = true
    if (result.isErr && result.error.kind !== 'conflict') {
      this.#pause(result.error)
      return false
    }
    const wasHolding = this.#holding !== null
    this.#holding = null
    this.#observation = null
    return wasHolding
  }

  /** Records how a call to the platform ended. */
  recordSend ({ intent: [window] }: Extract<DutyStep, { kind: 'send' }>, outcome: SendOutcome): void {
    const { callsPerSecond, clock } = this.#options
    switch (outcome.kind) {
      case 'accepted':
      case 'refused':
        this.#settled.add(window)
        this.#retryMs = MIN_RETRY_MS
        this.#retryAtMs = clock.getMonotonicMs() + MS_PER_SECOND / callsPerSecond
        this.#recordSettled()
        break
      case 'rateLimited':
        this.#retryAtMs = clock.getMonotonicMs() + outcome.retryAfterMs
        break
      case 'failed':
        this.#pause({ kind: 'unavailable', message: outcome.message })
    }
  }

  #recordSettled (): void {
    if (this.#holding === null) return
    const [unsettled] = this.listUnsettled()
    this.recordReported(unsettled === undefined ? this.#holding.record.window : unsettled[0] - 1)
  }

  #decideAsHolder (holding: Holding, { trueMs, counts }: DutySituation, dueWindow: number): DutyStep {
    const { clock, timing } = this.#options
    const { record, version, sentAt } = holding
    const condition: WriteCondition = { kind: 'version', version }
    if (dueWindow > record.window) return this.#buildWrite({ ...record, intents: this.listUnsettled() }, condition, dueWindow, counts, false)
    const [intent] = this.listUnsettled()
    if (intent === undefined) return { kind: 'wait', ms: Math.min(POLL_MS, Math.max(1, computeDueAtMs(record.window + 1, timing) - trueMs)) }
    const timeoutMs = sentAt === null ? 0 : timing.sendBoundMs - computeElapsedMs(sentAt, clock)
    if (timeoutMs < MIN_CALL_MS) return this.#buildWrite({ ...record, intents: this.listUnsettled() }, condition, dueWindow, counts, false)
    return { kind: 'send', intent, number: record.number, timeoutMs }
  }

  #decideAsCandidate ({ trueMs, rank, counts }: DutySituation, dueWindow: number): DutyStep {
    const { timing, clock } = this.#options
    if (rank === null || Math.max(this.#reportedWindow, this.#windowBeforeStart) >= dueWindow) {
      this.#observation = null
      return { kind: 'wait', ms: IDLE_MS }
    }
    const observed = this.#observation
    if (observed?.isBehind === true) {
      const waitMs = observed.version === null ? 0 : observed.seenAtMs + timing.claimWaitMs - clock.getMonotonicMs()
      return waitMs > 0 ? { kind: 'wait', ms: Math.min(POLL_MS, waitMs) } : this.#buildClaim(observed, dueWindow, counts)
    }
    const overdueInMs = computeDueAtMs(dueWindow, timing) + timing.detectMs + rank * timing.rankStepMs - trueMs
    // a holder that has stored the window is there; whether the report arrived shows with the next one
    if (overdueInMs > 0 || observed?.dueWindow === dueWindow) return { kind: 'wait', ms: Math.min(POLL_MS, Math.max(1, overdueInMs)) }
    return { kind: 'read', dueWindow }
  }

  #buildClaim ({ record, version }: Observation, dueWindow: number, counts: UsageCounts): DutyStep {
    const { holder, process, sinceMs, timing } = this.#options
    const condition: WriteCondition = version === null ? { kind: 'absent' } : { kind: 'version', version }
    const era = version === null ? 0 : getEra(version)
    const isRestored = record !== null && record.era !== era
    const firstWindow = findWindow(Math.min(sinceMs, counts.sinceMs), timing)
    // what was reported after the backup is not known, nor in which store the object was written: nothing that was due until now is sent
    const window = isRestored ? dueWindow : record?.window ?? firstWindow - 1
    const base: DutyRecord = { holder, process, era, number: computeNextNumber(Math.max(this.#highestNumber, record?.number ?? 0), era), window, intents: isRestored ? [] : record?.intents ?? [] }
    this.#settled.clear()
    return this.#buildWrite(base, condition, dueWindow, counts, true)
  }

  /** Builds the write that stores the windows which have become due, besides those that are not settled. */
  #buildWrite (base: DutyRecord, condition: WriteCondition, dueWindow: number, counts: UsageCounts, isClaim: boolean): DutyStep {
    const firstKnown = Math.max(findWindow(counts.sinceMs, this.#options.timing), counts.firstWindow)
    const firstWindow = Math.max(base.window + 1, Math.min(firstKnown, dueWindow + 1))
    const skipped = listWindows(base.window + 1, firstWindow - 1)
    const added = listWindows(firstWindow, dueWindow).map((window): UsageIntent => [window, counts.computeTotals(window)])
    const { kept, dropped } = selectIntents([...base.intents, ...added])
    return { kind: 'write', value: { ...base, window: Math.max(base.window, dueWindow), intents: kept }, condition, isClaim, skipped: [...skipped, ...dropped] }
  }

  #pause (error: ObjectServiceError): void {
    const askedMs = error.kind === 'rateLimited' ? error.retryAfterMs : 0
    this.#retryAtMs = this.#options.clock.getMonotonicMs() + Math.max(askedMs, this.#retryMs)
    this.#retryMs = Math.min(MAX_RETRY_MS, 2 * this.#retryMs)
  }
}

/** Lists the windows from one to another, at most the last few. */
function listWindows (first: number, last: number): number[] {
  const count = Math.max(0, Math.min(MAX_LISTED_WINDOWS, last - first + 1))
  return Array.from({ length: count }, (_, index) => last - count + 1 + index)
}
