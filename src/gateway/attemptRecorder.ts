import type { Clock } from '../base/clock'
import type { SidecarStamp, SubmitAttempt } from '../protocol/attemptMessages'
import type { AttemptStatus } from './attemptMover'
import type { AttemptEnd, AttemptObserver } from './attemptSession'
import type { CallerRequest } from './callerRequest'
import type { FleetView, OfferTarget } from './fleetView'
import type { RelayObserver } from './relayObserver'

const TOKEN_INTERVAL_SMOOTHING = 0.2
const MIN_CHUNKS_FOR_INTERVAL = 8

export interface AttemptRecorderOptions {
  clock: Clock
  view: FleetView
  observer: RelayObserver
  /** Receives the configuration generation that a sidecar has in force. */
  onConfigGeneration: (generation: number, address: string) => void
}

/**
 * Records the progress and the end of one attempt in the fleet view. Reports a lost stream, and an end
 * without a run, to the observer.
 */
export class AttemptRecorder implements AttemptObserver {
  readonly #options: AttemptRecorderOptions
  readonly #request: CallerRequest
  readonly #params: SubmitAttempt
  readonly #target: OfferTarget
  #hasRecordedReport = false
  #acceptedAtMs: number | null = null
  #startedAtMs: number | null = null
  #lastChunkAtMs: number | null = null
  #tokenIntervalMs = 0
  #chunkCount = 0

  constructor (options: AttemptRecorderOptions, request: CallerRequest, params: SubmitAttempt, target: OfferTarget) {
    this.#options = options
    this.#request = request
    this.#params = params
    this.#target = target
  }

  recordAccepted (stamp: SidecarStamp): void {
    this.#acceptedAtMs = this.#options.clock.getMonotonicMs()
    this.recordStamp(stamp)
  }

  /** Returns whether the attempt is queued or running; null before the sidecar accepted it. */
  getStatus (): AttemptStatus | null {
    if (this.#startedAtMs !== null) return { kind: 'running' }
    return this.#acceptedAtMs === null ? null : { kind: 'queued', sinceMs: this.#acceptedAtMs }
  }

  recordStamp (stamp: SidecarStamp): void {
    const { view, clock, onConfigGeneration } = this.#options
    const nowMs = clock.getMonotonicMs()
    if (this.#hasRecordedReport) view.table.recordLoad(this.#target.endpointName, stamp.load, nowMs)
    else view.table.recordFirstReport(this.#target.endpointName, this.#params.tier, stamp.load, nowMs)
    this.#hasRecordedReport = true
    onConfigGeneration(stamp.configGeneration, this.#target.peer.address)
  }

  recordStarted (): void {
    this.#startedAtMs ??= this.#options.clock.getMonotonicMs()
  }

  recordChunks (count: number): void {
    const nowMs = this.#options.clock.getMonotonicMs()
    if (this.#lastChunkAtMs === null) this.#recordFirstChunk(nowMs)
    else this.#tokenIntervalMs += TOKEN_INTERVAL_SMOOTHING * ((nowMs - this.#lastChunkAtMs) / count - this.#tokenIntervalMs)
    this.#lastChunkAtMs = nowMs
    this.#chunkCount += count
  }

  /** Returns the smoothed milliseconds between tokens of this attempt; 0 before `MIN_CHUNKS_FOR_INTERVAL` chunks arrived. */
  getTokenIntervalMs (): number {
    return this.#chunkCount < MIN_CHUNKS_FOR_INTERVAL ? 0 : this.#tokenIntervalMs
  }

  recordStreamLost (message: string): void {
    this.#options.observer.recordStreamLost(this.#request, this.#params.attemptId, message)
  }

  /**
   * Records an attempt that was abandoned because the caller disconnected or the deadline passed.
   * Neither counts as a failure of the endpoint.
   */
  recordAbandoned (nowMs: number): void {
    if (!this.#hasRecordedReport) this.#options.view.table.recordFirstReport(this.#target.endpointName, this.#params.tier, null, nowMs)
  }

  recordEnd (end: AttemptEnd, nowMs: number): void {
    const { table } = this.#options.view
    const name = this.#target.endpointName
    if (!this.#hasRecordedReport) table.recordFirstReport(name, this.#params.tier, null, nowMs)
    switch (end.kind) {
      case 'completed': return table.recordAnswer(name, nowMs - (this.#startedAtMs ?? nowMs))
      case 'notRun':
        this.#options.observer.recordNotRun(this.#request, this.#params.attemptId, end.reason)
        if (end.reason === 'unreachable' || end.reason === 'endpointUnavailable') return table.recordFailure(name, nowMs)
        return
      case 'moved': return
      case 'mayHaveRun':
      case 'failed': return table.recordFailure(name, nowMs)
      default: end satisfies never
    }
  }

  #recordFirstChunk (nowMs: number): void {
    if (this.#startedAtMs !== null) this.#options.view.table.recordFirstToken(this.#target.endpointName, nowMs - this.#startedAtMs)
  }
}
