import { createHash } from 'node:crypto'

import type { AttemptNotification, AttemptOutcome, SidecarStamp, SubmitAttempt, SubmitResult } from '../protocol/attemptMessages'

/** Phase of an attempt. It only advances, in this order. */
export type AttemptPhase = 'queued' | 'claiming' | 'running' | 'ended'

/** Receives the messages of an attempt while attached to it. */
export interface AttemptListener {
  /** Receives notifications in order. */
  notify (notifications: AttemptNotification[]): void
  /** Receives the last message. */
  finish (result: SubmitResult): void
}

export interface AttemptOptions {
  params: SubmitAttempt
  receivedAtMs: number
  /** Returns the sidecar's current stamp. */
  getStamp: () => SidecarStamp
  /** Called once, when the attempt has ended. */
  onEnd: (attempt: Attempt) => void
}

/** One attempt to run one request at this sidecar's endpoint, with all the text it has produced. */
export class Attempt {
  readonly params: SubmitAttempt
  readonly receivedAtMs: number
  readonly #getStamp: () => SidecarStamp
  readonly #onEnd: (attempt: Attempt) => void
  readonly #abortController = new AbortController()
  readonly #digest = createHash('sha256')
  readonly #chunks: string[] = []
  #phase: AttemptPhase = 'queued'
  #outcome: AttemptOutcome | null = null
  #listener: AttemptListener | null = null
  #lastSentAtMs = 0
  #detachedAtMs = 0

  constructor (options: AttemptOptions) {
    this.params = options.params
    this.receivedAtMs = options.receivedAtMs
    this.#getStamp = options.getStamp
    this.#onEnd = options.onEnd
  }

  get id (): string {
    return this.params.attemptId
  }

  get phase (): AttemptPhase {
    return this.#phase
  }

  get outcome (): AttemptOutcome | null {
    return this.#outcome
  }

  /** Aborts when the attempt is to be cancelled. */
  get signal (): AbortSignal {
    return this.#abortController.signal
  }

  get chunkCount (): number {
    return this.#chunks.length
  }

  /** Time of the last message to the listener, in milliseconds on the sidecar's clock. */
  get lastSentAtMs (): number {
    return this.#lastSentAtMs
  }

  /** Returns the milliseconds left until the caller's deadline. */
  getRemainingMs (nowMs: number): number {
    return Math.max(0, this.params.remainingMs - (nowMs - this.receivedAtMs))
  }

  isAttached (): boolean {
    return this.#listener !== null
  }

  /** Time at which the last listener detached; meaningful while none is attached. */
  get detachedAtMs (): number {
    return this.#detachedAtMs
  }

  /** Attaches `listener` in place of any other, and sends it the chunks from `fromIndex` on. */
  attach (listener: AttemptListener, fromIndex: number, nowMs: number): void {
    this.#listener = listener
    this.#notify([{ method: 'accepted', params: { attemptId: this.id, stamp: this.#getStamp() } }], nowMs)
    if (this.#phase === 'running') this.#notify([this.#createStarted()], nowMs)
    const missedChunks = this.#chunks.slice(fromIndex).map((text, offset) => this.#createChunk(fromIndex + offset, text))
    if (missedChunks.length > 0) this.#notify(missedChunks, nowMs)
    if (this.#outcome) this.#finish(this.#outcome)
  }

  /** Detaches `listener`, if it is still the one attached. */
  detach (listener: AttemptListener, nowMs: number): void {
    if (this.#listener !== listener) return
    this.#listener = null
    this.#detachedAtMs = nowMs
  }

  markClaiming (): void {
    this.#phase = 'claiming'
  }

  markRunning (nowMs: number): void {
    this.#phase = 'running'
    this.#notify([this.#createStarted()], nowMs)
  }

  /** Adds chunks in the order in which the endpoint produced them. */
  addChunks (texts: string[], nowMs: number): void {
    const first = this.#chunks.length
    for (const text of texts) {
      this.#chunks.push(text)
      this.#digest.update(text)
    }
    this.#notify(texts.map((text, offset) => this.#createChunk(first + offset, text)), nowMs)
  }

  sendHeartbeat (nowMs: number): void {
    this.#notify([{ method: 'heartbeat', params: { attemptId: this.id, stamp: this.#getStamp() } }], nowMs)
  }

  /** Ends the attempt as completed with the chunks added so far. */
  complete (status: number, contentType: string): void {
    const digest = this.#digest.digest('hex')
    this.end({ kind: 'completed', chunkCount: this.#chunks.length, digest, status, contentType })
  }

  /** Ends the attempt; a second call has no effect. */
  end (outcome: AttemptOutcome): void {
    if (this.#outcome) return
    this.#phase = 'ended'
    this.#outcome = outcome
    this.#onEnd(this)
    this.#finish(outcome)
  }

  /** Requests that the run of the attempt be cancelled. */
  cancel (reason: string): void {
    this.#abortController.abort(new Error(reason))
  }

  #createStarted (): AttemptNotification {
    return { method: 'started', params: { attemptId: this.id } }
  }

  #createChunk (position: number, text: string): AttemptNotification {
    return { method: 'chunk', params: { attemptId: this.id, index: position, text } }
  }

  #notify (notifications: AttemptNotification[], nowMs: number): void {
    if (this.#listener === null) return
    this.#lastSentAtMs = nowMs
    this.#listener.notify(notifications)
  }

  #finish (outcome: AttemptOutcome): void {
    this.#listener?.finish({ outcome, stamp: this.#getStamp() })
  }
}
