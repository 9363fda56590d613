import { dutyRecordSchema } from './dutyRecord'

import type { Result } from 'true-myth'
import type { DecisionLog } from '../base/decisionLog'
import type { Counter, Metrics } from '../base/metrics'
import type { ObjectServiceError, StoredObject } from '../store/objectService'
import type { DutyStep, SendOutcome } from './usageDuty'

/** Writes the decision log and the metrics of duties. */
export class DutyObserver {
  readonly #log: DecisionLog
  readonly #reports: Counter
  readonly #storeCalls: Counter

  constructor (log: DecisionLog, metrics: Metrics) {
    this.#log = log
    this.#reports = metrics.createCounter('usage_reports_total', 'Reports of usage to the platform by outcome.')
    this.#storeCalls = metrics.createCounter('duty_store_calls_total', 'Reads and writes of the stored object of a duty by outcome.')
  }

  /** Records that this gateway looked who holds the duty. */
  recordRead (result: Result<StoredObject | null, ObjectServiceError>, dueWindow: number): void {
    const outcome = result.isOk ? describeFound(result.value) : result.error.kind
    this.#storeCalls.add({ call: 'read', outcome })
    this.#log.write('notable', { event: 'dutyChecked', duty: 'usage', dueWindow, outcome, version: result.isOk ? result.value?.version ?? null : null })
  }

  recordWrite ({ value, isClaim, skipped }: Extract<DutyStep, { kind: 'write' }>, result: Result<{ version: number }, ObjectServiceError>): void {
    const outcome = result.isOk ? 'written' : result.error.kind
    this.#storeCalls.add({ call: 'write', outcome })
    const { number, era, window, intents } = value
    if (isClaim || result.isErr) this.#log.write('notable', { event: 'dutyWritten', duty: 'usage', isClaim, outcome, number, era, window, intents: intents.length })
    if (skipped.length > 0 && result.isOk) this.#log.write('notable', { event: 'usageSkipped', windows: skipped })
  }

  recordLost (reason: string): void {
    this.#log.write('notable', { event: 'dutyLost', duty: 'usage', reason })
  }

  recordSend ({ intent: [window, counts], number }: Extract<DutyStep, { kind: 'send' }>, outcome: SendOutcome, elapsedMs: number): void {
    this.#reports.add({ outcome: outcome.kind })
    const requests = counts.reduce((sum, [, count]) => sum + count, 0)
    this.#log.write('notable', { event: 'usageSent', window, number, outcome, workspaces: counts.length, requests, elapsedMs: Math.round(elapsedMs) })
  }
}

function describeFound (found: StoredObject | null): 'absent' | 'read' | 'unreadable' {
  if (found === null) return 'absent'
  return dutyRecordSchema.safeParse(found.value).success ? 'read' : 'unreadable'
}
