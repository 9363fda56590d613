import { SonicBoom } from 'sonic-boom'

import { systemClock } from './clock'
import { getRequestId } from './decisionEvents'

import type { Clock } from './clock'
import type { DecisionLine } from './decisionEvents'

/**
 * Priority of a line when the log reaches its byte rate. Notable lines, which are view changes and
 * failures, are kept first. Routine lines are kept for a sample of requests.
 */
export type LinePriority = 'notable' | 'routine'

export interface DecisionLogOptions {
  instance: string
  /** Maximum number of bytes written per second. */
  bytesPerSecond: number
  clock?: Clock
  /** Receives the lines; standard output by default. */
  destination?: LogDestination
}

/** Accepts lines without blocking; `write` returns false when the line was dropped. */
export interface LogDestination {
  write (line: string): boolean
  /** Writes the buffered lines, closes the output, then calls `handleDone`; never calls it while the output is not read. */
  flush (handleDone: () => void): void
}

const BURST_SECONDS = 4
/** Fraction of the burst capacity below which routine lines are sampled. */
const SAMPLING_THRESHOLD_FRACTION = 0.5
/** Fraction of the burst capacity that is reserved for notable lines. */
const NOTABLE_RESERVE_FRACTION = 0.25
const MAX_SAMPLING_LEVEL = 8
const REPORT_INTERVAL_MS = 1000
const MAX_ERROR_CHARACTERS = 1000
const MAX_BUFFERED_BYTES = 1_048_576

/**
 * Writes one JSON line for each decision, within a limit of bytes per second and without blocking.
 * Near the limit, routine lines are kept for one in 2, 4, 8 ... requests. A hash of the request's
 * id selects them, so that every process keeps the lines of the same requests. Dropped lines are
 * counted, and a `linesLeftOut` line reports the counts.
 *
 * @example
 * const log = new DecisionLog({ instance: 'gateway-1', bytesPerSecond: 65_536 })
 * log.write('notable', { event: 'crashLearned', fingerprint, crashes: 3, before: 2, limit: 3 })
 */
export class DecisionLog {
  readonly #instance: string
  #bytesPerSecond: number
  readonly #clock: Clock
  readonly #destination: LogDestination
  readonly #droppedSinceReport = { notable: 0, routine: 0, unread: 0 }
  readonly #totalCounts = { written: 0, notable: 0, routine: 0, unread: 0 }
  #samplingLevel = 0
  #tokens: number
  #tokensUpdatedAtMs: number
  #reportedAtMs: number

  constructor (options: DecisionLogOptions) {
    this.#instance = options.instance
    this.#bytesPerSecond = options.bytesPerSecond
    this.#clock = options.clock ?? systemClock
    this.#destination = options.destination ?? openStandardOutput()
    this.#tokens = options.bytesPerSecond * BURST_SECONDS
    this.#tokensUpdatedAtMs = this.#clock.getMonotonicMs()
    this.#reportedAtMs = this.#tokensUpdatedAtMs
  }

  /** Lines written, and lines dropped by cause, since the start. */
  get counts (): Readonly<{ written: number, notable: number, routine: number, unread: number }> {
    return this.#totalCounts
  }

  write (priority: LinePriority, line: DecisionLine): void {
    this.#addTokens()
    if (priority === 'routine' && !this.#isSampled(getRequestId(line))) return this.#countDropped('routine')
    if (this.#tokens <= this.#getReservedTokens(priority)) return this.#countDropped(priority)
    this.#writeLine(line)
  }

  /** Writes an unexpected error with its stack trace. */
  writeError (error: unknown): void {
    const text = String((error as Error | null)?.stack ?? error)
    this.write('notable', { event: 'unexpectedError', message: text.slice(0, MAX_ERROR_CHARACTERS) })
  }

  /** Changes the limit of bytes per second. */
  setBytesPerSecond (bytesPerSecond: number): void {
    this.#bytesPerSecond = bytesPerSecond
  }

  /** Ends the log and writes the buffered lines; returns false if the output is not read within `timeoutMs`. */
  async flush (timeoutMs: number): Promise<boolean> {
    return await new Promise(resolve => {
      const timer = setTimeout(() => resolve(false), timeoutMs)
      this.#destination.flush(() => {
        clearTimeout(timer)
        resolve(true)
      })
    })
  }

  #getReservedTokens (priority: LinePriority): number {
    return priority === 'routine' ? NOTABLE_RESERVE_FRACTION * this.#bytesPerSecond * BURST_SECONDS : 0
  }

  #writeLine (line: DecisionLine): void {
    const time = new Date(this.#clock.getWallMs()).toISOString()
    const text = `${JSON.stringify({ time, instance: this.#instance, ...line })}\n`
    this.#tokens -= text.length
    if (!this.#destination.write(text)) return this.#countDropped('unread')
    this.#totalCounts.written += 1
  }

  #countDropped (kind: 'notable' | 'routine' | 'unread'): void {
    this.#droppedSinceReport[kind] += 1
    this.#totalCounts[kind] += 1
  }

  #isSampled (requestId: string | undefined): boolean {
    if (this.#samplingLevel === 0 || requestId === undefined) return this.#samplingLevel === 0
    return hashToUint32(requestId) % (1 << this.#samplingLevel) === 0
  }

  #addTokens (): void {
    const nowMs = this.#clock.getMonotonicMs()
    const capacity = this.#bytesPerSecond * BURST_SECONDS
    this.#tokens = Math.min(capacity, this.#tokens + (nowMs - this.#tokensUpdatedAtMs) / 1000 * this.#bytesPerSecond)
    this.#tokensUpdatedAtMs = nowMs
    if (nowMs - this.#reportedAtMs >= REPORT_INTERVAL_MS) this.#updateSamplingLevel(nowMs, capacity)
  }

  #updateSamplingLevel (nowMs: number, capacity: number): void {
    this.#reportedAtMs = nowMs
    const isNearLimit = this.#tokens < SAMPLING_THRESHOLD_FRACTION * capacity
    this.#samplingLevel = isNearLimit ? Math.min(MAX_SAMPLING_LEVEL, this.#samplingLevel + 1) : Math.max(0, this.#samplingLevel - 1)
    const { notable, routine, unread } = this.#droppedSinceReport
    if (notable + routine + unread === 0) return
    this.#writeLine({ event: 'linesLeftOut', notable, routine, unread, keptOneIn: 1 << this.#samplingLevel })
    this.#droppedSinceReport.notable = this.#droppedSinceReport.routine = this.#droppedSinceReport.unread = 0
  }
}

function openStandardOutput (): LogDestination {
  let hasDropped = false
  const stream = new SonicBoom({ fd: 1, sync: false, maxLength: MAX_BUFFERED_BYTES })
  stream.on('error', () => { hasDropped = true }) // a closed pipe must not end the process
  stream.on('drop', () => { hasDropped = true })
  return {
    write: line => {
      hasDropped = false
      stream.write(line)
      return !hasDropped
    },
    flush: handleDone => {
      stream.once('finish', handleDone)
      stream.end()
    }
  }
}

function hashToUint32 (text: string): number {
  let hash = 0
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash, 31) + text.charCodeAt(index) | 0
  return (hash ^ (hash >>> 15)) >>> 0
}
