import * as csp from 'js-csp'

import { Progress } from '../base/progress'
import { ATTEMPT_RETENTION_MS } from '../protocol/attemptMessages'

import type { Clock } from '../base/clock'
import type { AttemptNotification, AttemptOutcome, NotRunReason, SidecarStamp, SubmitAttempt } from '../protocol/attemptMessages'
import type { AnswerAssembly } from './answerAssembly'
import type { AttemptEvent } from './attemptEvent'
import type { SidecarPeer } from './sidecarPeer'

/** How an attempt ended, as far as the gateway can determine. */
export type AttemptEnd =
  | { kind: 'completed', status: number, contentType: string }
  | { kind: 'notRun', reason: NotRunReason | 'unreachable', retryAfterMs: number }
  | { kind: 'mayHaveRun', reason: string, retryAfterMs: number }
  /** Cancelled by `move`, so that the request is offered elsewhere. */
  | { kind: 'moved', wasRunning: boolean }
  | { kind: 'failed', reason: 'endpointCrashed' | 'endpointError' | 'cancelled' | 'deadlinePassed' | 'malformed', message: string, crashCount: number }

/** Receives the progress of an attempt. */
export interface AttemptObserver {
  recordStamp (stamp: SidecarStamp): void
  recordAccepted (stamp: SidecarStamp): void
  recordStarted (): void
  recordChunks (count: number): void
  /** Records that the stream was lost; the session tries to reattach on a new connection. */
  recordStreamLost (message: string): void
}

export interface AttemptSessionOptions {
  clock: Clock
  peer: SidecarPeer
  params: SubmitAttempt
  assembly: AnswerAssembly
  observer: AttemptObserver
  progress: Progress
  /** Epoch of the sidecar as known before the attempt was sent. */
  expectedEpoch: string
}

const CANCEL_TIMEOUT_MS = 2000
const MAX_REATTACHES = 4
const MAX_FENCE_TRIES = 3

/** Runs one attempt at one sidecar and determines how it ended, also across lost connections. */
export class AttemptSession {
  readonly #options: AttemptSessionOptions
  #knownEpoch: string
  #submittedAtMs = 0
  #hasSeenAccepted = false
  #isMoving = false
  /** Whether the submission may have been sent. A later call that could not be sent does not reset it. */
  #wasSent = false

  constructor (options: AttemptSessionOptions) {
    this.#options = options
    this.#knownEpoch = options.expectedEpoch
  }

  /** Resolves with the attempt's end; never rejects. */
  async run (): Promise<AttemptEnd> {
    const { clock, peer, params, assembly, progress } = this.#options
    assembly.beginAttempt()
    this.#submittedAtMs = clock.getMonotonicMs()
    let events = peer.submit(params, progress)
    for (let reattaches = 0; ; reattaches++) {
      const end = await runProcess(this.#serveEvents(events))
      if (end.kind !== 'lost') return end
      if (progress.signal.aborted) return await this.#abort()
      this.#options.observer.recordStreamLost(end.message)
      const resolvedEnd = await this.#resolveLostStream()
      if (resolvedEnd !== null) return resolvedEnd
      if (reattaches === MAX_REATTACHES) return await this.#abort()
      events = peer.attach(params.attemptId, assembly.attemptChunkCount, progress)
    }
  }

  /**
   * Cancels the attempt so that its request is offered elsewhere. With `onlyQueued`, an attempt that
   * has started continues. `run` resolves with `moved`, unless the attempt continues or ended
   * otherwise in the meantime.
   */
  move (options: { onlyQueued: boolean }): void {
    this.#isMoving = true
    this.#cancel(options.onlyQueued)
  }

  * #serveEvents (events: csp.Channel<AttemptEvent>): Generator<unknown, AttemptEnd | LostEnd, any> {
    for (;;) {
      const event: AttemptEvent | null = yield csp.take(events)
      if (event === null) return { kind: 'lost', message: 'the stream of events was closed' }
      switch (event.kind) {
        case 'ended': return this.#finish(event)
        case 'notifications': {
          const fault = this.#handleNotifications(event.notifications)
          if (fault !== null) return { kind: 'failed', reason: 'malformed', message: fault, crashCount: 0 }
          const backpressure = this.#options.assembly.flush()
          if (backpressure) yield csp.take(toChannel(backpressure))
          break
        }
        default: event satisfies never
      }
    }
  }

  #handleNotifications (notifications: AttemptNotification[]): string | null {
    let chunkCount = 0
    for (const notification of notifications) {
      if (notification.params.attemptId !== this.#options.params.attemptId) return 'the sidecar sent a message of another attempt'
      switch (notification.method) {
        case 'accepted':
          this.#recordAccepted(notification.params.stamp)
          break
        case 'started':
          this.#options.observer.recordStarted()
          break
        case 'chunk': {
          const fault = this.#options.assembly.addChunk(notification.params.index, notification.params.text)
          if (fault !== null) return `the sidecar's chunks are not whole: ${fault}`
          chunkCount += 1
          break
        }
        case 'heartbeat':
          this.#options.observer.recordStamp(notification.params.stamp)
          break
        default: notification satisfies never
      }
    }
    if (chunkCount > 0) this.#options.observer.recordChunks(chunkCount)
    return null
  }

  #recordAccepted (stamp: SidecarStamp): void {
    this.#knownEpoch = stamp.sidecarEpoch
    this.#wasSent = true
    if (this.#hasSeenAccepted) this.#options.observer.recordStamp(stamp)
    else this.#options.observer.recordAccepted(stamp)
    this.#hasSeenAccepted = true
  }

  #finish (event: Extract<AttemptEvent, { kind: 'ended' }>): AttemptEnd | LostEnd {
    if (event.result.isErr) return this.#finishWithError(event.result.error)
    const { outcome, stamp } = event.result.value
    this.#options.observer.recordStamp(stamp)
    return this.#toEnd(outcome)
  }

  #finishWithError (error: { kind: string, message: string }): AttemptEnd | LostEnd {
    if (error.kind === 'notSent' && !this.#wasSent) return { kind: 'notRun', reason: 'unreachable', retryAfterMs: 0 }
    this.#wasSent = true
    return { kind: 'lost', message: error.message }
  }

  #toEnd (outcome: AttemptOutcome): AttemptEnd {
    switch (outcome.kind) {
      case 'completed': {
        const fault = this.#options.assembly.finishAttempt(outcome.chunkCount, outcome.digest)
        if (fault !== null) return { kind: 'failed', reason: 'malformed', message: `the answer is not whole: ${fault}`, crashCount: 0 }
        this.#options.assembly.flush()?.catch(() => {})
        return { kind: 'completed', status: outcome.status, contentType: outcome.contentType }
      }
      case 'notRun':
        if (this.#isMoving && outcome.reason === 'cancelled') return { kind: 'moved', wasRunning: false }
        return { kind: 'notRun', reason: outcome.reason, retryAfterMs: outcome.retryAfterMs }
      case 'mayHaveRun': return { kind: 'mayHaveRun', reason: outcome.reason, retryAfterMs: outcome.retryAfterMs }
      case 'failedAfterStart':
        if (this.#isMoving && outcome.reason === 'cancelled') return { kind: 'moved', wasRunning: true }
        return { kind: 'failed', reason: outcome.reason, message: outcome.message, crashCount: outcome.crashCount }
      default: return outcome satisfies never
    }
  }

  /** Determines the end of an attempt whose stream was lost; null when the sidecar knows the attempt, so that `run` can reattach to it. */
  async #resolveLostStream (): Promise<AttemptEnd | null> {
    const { peer, params, progress, observer } = this.#options
    for (let tries = 0; tries < MAX_FENCE_TRIES; tries++) {
      const answer = await peer.fenceAttempt(params.attemptId, progress)
      if (answer.isErr) continue
      observer.recordStamp(answer.value.stamp)
      if (answer.value.state !== 'unknown') return null
      return this.#decideUnknown(answer.value.stamp.sidecarEpoch)
    }
    return { kind: 'mayHaveRun', reason: 'the sidecar could not be asked what became of the attempt', retryAfterMs: 0 }
  }

  /**
   * Decides the end of an attempt that the sidecar does not know. A sidecar knows neither the attempts
   * of its predecessor nor its own attempts whose retention has expired.
   */
  #decideUnknown (epoch: string): AttemptEnd {
    if (this.#options.clock.getMonotonicMs() - this.#submittedAtMs >= ATTEMPT_RETENTION_MS) {
      return { kind: 'mayHaveRun', reason: 'the sidecar was asked too late to still know of the attempt', retryAfterMs: 0 }
    }
    if (this.#knownEpoch !== epoch) {
      return { kind: 'mayHaveRun', reason: 'the sidecar was replaced while the attempt was open', retryAfterMs: 0 }
    }
    return { kind: 'notRun', reason: 'fenced', retryAfterMs: 0 }
  }

  /** Abandons the attempt: the caller disconnected, the deadline passed, or the stream was lost too often. */
  async #abort (): Promise<AttemptEnd> {
    this.#cancel(false)
    return { kind: 'mayHaveRun', reason: 'the attempt was given up', retryAfterMs: 0 }
  }

  #cancel (onlyQueued: boolean): void {
    const { peer, params } = this.#options
    const progress = new Progress({ title: `cancelling attempt ${params.attemptId}`, timeoutMs: CANCEL_TIMEOUT_MS })
    peer.cancelAttempt({ attemptId: params.attemptId, onlyQueued }, progress).catch(() => {})
  }
}

/** The connection was lost; the attempt may still be running. */
interface LostEnd { kind: 'lost', message: string }

async function runProcess<R> (process: Generator<unknown, R, any>): Promise<R> {
  return await new Promise(resolve => csp.takeAsync(csp.spawn(process), value => resolve(value as R)))
}

function toChannel (promise: Promise<void>): csp.Channel<boolean> {
  const done = csp.chan<boolean>(1)
  promise.finally(() => csp.putAsync(done, true)).catch(() => {})
  return done
}
