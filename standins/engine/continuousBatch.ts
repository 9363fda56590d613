/** One request in an engine's batch. */
export interface Generation {
  priority: number
  /** Prompt tokens not yet prefilled. */
  prefillTokens: number
  /** Remaining texts of the answer, in order. */
  chunks: string[]
  handleStart: () => void
  handleChunk: (text: string) => void
  handleEnd: () => void
}

export interface BatchOptions {
  slots: number
  /** Base duration of a step in milliseconds; generating requests and prefill add to it. */
  stepMs: number
  /** Milliseconds that each generating request adds to a step. */
  stepMsPerRequest: number
  /** Milliseconds that each prefilled prompt token adds to a step. */
  prefillMsPerToken: number
  /** Maximum prompt tokens prefilled in one step. */
  prefillTokensPerStep: number
}

/** A step in progress: its duration and the requests that receive a token at its end. */
export interface BatchStep {
  durationMs: number
  generating: Generation[]
}

/** Simulates continuous batching: requests join and leave the batch between steps, the lowest priority number first. */
export class ContinuousBatch {
  readonly #options: BatchOptions
  readonly #running = new Set<Generation>()
  #waiting: Generation[] = []

  constructor (options: BatchOptions) {
    this.#options = options
  }

  get running (): number {
    return this.#running.size
  }

  get waiting (): number {
    return this.#waiting.length
  }

  add (generation: Generation): void {
    this.#waiting.push(generation)
    this.#waiting.sort((left, right) => left.priority - right.priority)
  }

  remove (generation: Generation): void {
    this.#running.delete(generation)
    this.#waiting = this.#waiting.filter(other => other !== generation)
  }

  /** Admits waiting requests to free slots and begins the next step; returns null if no request is running. */
  beginStep (): BatchStep | null {
    this.#admitWaiting()
    if (this.#running.size === 0) return null
    const prefilled = this.#runPrefill()
    const generating = [...this.#running].filter(generation => generation.prefillTokens === 0)
    const { stepMs, stepMsPerRequest, prefillMsPerToken } = this.#options
    return { durationMs: stepMs + stepMsPerRequest * generating.length + prefillMsPerToken * prefilled, generating }
  }

  /** Ends `step`: emits one token for each generating request that is still in the batch. */
  finishStep (step: BatchStep): void {
    for (const generation of step.generating) {
      if (this.#running.has(generation)) this.#emitToken(generation)
    }
  }

  #admitWaiting (): void {
    while (this.#running.size < this.#options.slots && this.#waiting.length > 0) {
      const generation = this.#waiting.shift()!
      this.#running.add(generation)
      generation.handleStart()
    }
  }

  #runPrefill (): number {
    let remaining = this.#options.prefillTokensPerStep
    for (const generation of this.#running) {
      const tokens = Math.min(remaining, generation.prefillTokens)
      generation.prefillTokens -= tokens
      remaining -= tokens
    }
    return this.#options.prefillTokensPerStep - remaining
  }

  #emitToken (generation: Generation): void {
    const text = generation.chunks.shift()
    if (text !== undefined) generation.handleChunk(text)
    if (generation.chunks.length > 0) return
    this.#running.delete(generation)
    generation.handleEnd()
  }
}
