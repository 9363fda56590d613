import { writeError } from './responseWriter'

import type { ServerResponse } from 'node:http'
import type { CallerAnswer, Completion } from './callerAnswer'
import type { Refusal } from '../protocol/errorBody'

/** Options of every form of answer. */
export interface AnswerOptions {
  requestId: string
  response: ServerResponse
}

/** Keeps the state that all forms of an answer share: start, end and disconnection. Sends errors that occur before the start. */
export abstract class AnswerBase implements CallerAnswer {
  protected readonly response: ServerResponse
  protected readonly requestId: string
  readonly #disconnect = new AbortController()
  #hasBegun = false
  #hasEnded = false

  constructor (options: AnswerOptions) {
    this.response = options.response
    this.requestId = options.requestId
    this.response.once('close', () => this.#handleClose())
    this.response.on('error', () => this.#handleClose())
  }

  get signal (): AbortSignal {
    return this.#disconnect.signal
  }

  get hasBegun (): boolean {
    return this.#hasBegun
  }

  get hasEnded (): boolean {
    return this.#hasEnded
  }

  begin (): void {
    if (this.#hasBegun || this.#hasEnded) return
    this.#hasBegun = this.sendStart()
  }

  abstract writeText (text: string): Promise<void> | undefined

  complete (completion: Completion): void {
    if (this.#hasEnded) return
    this.begin()
    this.#hasEnded = true
    this.sendEnd(completion)
  }

  refuse (refusal: Refusal): void {
    this.fail(refusal)
  }

  fail (refusal: Refusal): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    if (this.#hasBegun) this.sendFailure(refusal)
    else writeError(this.response, this.requestId, refusal)
  }

  /** Sends what precedes the text; returns whether anything was sent. */
  protected abstract sendStart (): boolean
  protected abstract sendEnd (completion: Completion): void
  /** Sends an error after the start was sent. */
  protected abstract sendFailure (refusal: Refusal): void

  #handleClose (): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    this.#disconnect.abort(new Error('the caller disconnected'))
  }
}
