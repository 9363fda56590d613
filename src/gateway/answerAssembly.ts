import { createHash } from 'node:crypto'

import type { CallerAnswer } from './callerAnswer'

/** Fault in a sequence of chunks. */
export type AssemblyFault = 'chunkOutOfOrder' | 'wrongDigest'

/**
 * `resumed`: a later attempt continues where the previous one ended, and text is forwarded as it
 * arrives. `whole`: each attempt starts from the beginning, and its text is forwarded once complete.
 */
export type AssemblyMode = 'resumed' | 'whole'

/**
 * Assembles one caller's answer from the chunks of one or more attempts. Forwards only text without
 * gaps.
 */
export class AnswerAssembly {
  readonly #answer: CallerAnswer
  readonly #mode: AssemblyMode
  #text = ''
  #pending = ''
  #canDeliver: boolean
  #chunkCount = 0
  #attemptChunkCount = 0
  #digest = createHash('sha256')

  constructor (answer: CallerAnswer, options: { mode: AssemblyMode }) {
    this.#answer = answer
    this.#mode = options.mode
    this.#canDeliver = options.mode === 'resumed'
  }

  /** Text delivered so far, over all attempts. */
  get text (): string {
    return this.#text
  }

  /** Chunks delivered so far, over all attempts. */
  get chunkCount (): number {
    return this.#chunkCount
  }

  /** Chunks received from the current attempt. */
  get attemptChunkCount (): number {
    return this.#attemptChunkCount
  }

  /** Starts receiving the chunks of another attempt. */
  beginAttempt (): void {
    if (this.#mode === 'whole') this.#clear()
    this.#attemptChunkCount = 0
    this.#digest = createHash('sha256')
  }

  /** Adds one chunk of the current attempt; ignores a chunk received before. */
  addChunk (position: number, text: string): AssemblyFault | null {
    if (position < this.#attemptChunkCount) return null
    if (position > this.#attemptChunkCount) return 'chunkOutOfOrder'
    this.#attemptChunkCount += 1
    this.#chunkCount += 1
    this.#digest.update(text)
    this.#text += text
    this.#pending += text
    return null
  }

  /** Forwards added text to the caller; returns a promise only when the caller's connection is full. */
  flush (): Promise<void> | undefined {
    if (this.#pending === '' || !this.#canDeliver) return undefined
    const text = this.#pending
    this.#pending = ''
    return this.#answer.writeText(text)
  }

  /** Accepts the current attempt as the last one; returns a fault if its chunks are incomplete or altered. */
  finishAttempt (chunkCount: number, digest: string): AssemblyFault | null {
    if (chunkCount !== this.#attemptChunkCount) return 'chunkOutOfOrder'
    if (digest !== this.#digest.digest('hex')) return 'wrongDigest'
    this.#canDeliver = true
    return null
  }

  #clear (): void {
    this.#text = ''
    this.#pending = ''
    this.#chunkCount = 0
  }
}
