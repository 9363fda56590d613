import { createHash } from 'node:crypto'

import type { CallerAnswer } from './callerAnswer'

/** What is wrong with a stream of chunks. */
export type AssemblyFault = 'chunkOutOfOrder' | 'wrongDigest'

/**
 * `resumed`: a later attempt goes on where the last one ended, and text is passed on as it comes.
 * `whole`: each attempt starts anew, and its text is passed on once all of it is there.
 */
export type AssemblyMode = 'resumed' | 'whole'

/**
 * Puts one caller's answer together from the chunks of one or more attempts, and passes on
 * only what follows without a gap.
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

  /** Chunks received of the present attempt. */
  get attemptChunkCount (): number {
    return this.#attemptChunkCount
  }

  /** Begins to take the chunks of another attempt. */
  beginAttempt (): void {
    if (this.#mode === 'whole') this.#clear()
    this.#attemptChunkCount = 0
    this.#digest = createHash('sha256')
  }

  /** Adds one chunk of the present attempt; a chunk seen before is passed over. */
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

  /** Passes added text on to the caller; a promise is returned only when the caller is slow. */
  flush (): Promise<void> | undefined {
    if (this.#pending === '' || !this.#canDeliver) return undefined
    const text = this.#pending
    this.#pending = ''
    return this.#answer.writeText(text)
  }

  /** Takes the present attempt as the last one, if its chunks are all there and unchanged. */
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
