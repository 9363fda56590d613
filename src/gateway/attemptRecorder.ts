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
  /** Told of the generation that a sidecar has in force. */
  onConfigGeneration: (generation: number, address: string) => void
}

/** Passes what one attempt shows on to the view and the observers. */
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

  /** Where the attempt stands; null before it was accepted. */
  getStatus (): AttemptStatus | null {
    if (this.#startedAtMs !== null) return { kind: 'running' }
    return this.#acceptedAtMs === null ? null : { kind: 'queued', sinceMs: this.#acceptedAtMs }
  }

  recordStamp (stamp: SidecarStamp): void {
    const { view, clock, onConfigGeneration: onGeneration } = this.#options
    const nowMs = clock.getMonotonicMs()
    if (this.#hasRecordedReport) view.table.recordLoad(this.#target.endpointName, stamp.load, nowMs)
    else view.table.recordFirstReport(this.#target.endpointName, this.#params.tier, stamp.load, nowMs)
    this.#hasRecordedReport = true
    onGeneration(stamp.configGeneration, this.#target.peer.address)
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

  /** Smoothed milliseconds between tokens of this attempt; 0 before there are enough to tell. */
  getTokenIntervalMs (): number {
    return this.#chunkCount < MIN_CHUNKS_FOR_INTERVAL ? 0 : this.#tokenIntervalMs
  }

  recordStreamLost (message: string): void {
    this.#options.observer.recordStreamLost(this.#request, this.#params.attemptId, message)
  }

  /** The caller left or its deadline passed, which says nothing against the endpoint. */
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
