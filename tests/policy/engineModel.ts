import type { PromptPart } from '../../src/policy/prefixCacheEstimate'

/** How fast an engine with continuous batching is. */
export interface EngineSpeed {
  slots: number
  stepMs: number
  stepMsPerSlot: number
  prefillTokensPerMs: number
  /** Prompt tokens that are read between two steps at most. */
  chunkTokens: number
  /** Milliseconds from the end of the reading until tokens are generated. */
  firstMs: number
  /** Tokens of one event of a stream. */
  eventTokens: number
}

/** A request as the engine runs it. */
export interface EngineJob {
  rank: number
  promptParts: readonly PromptPart[]
  outputTokens: number
  handleFirst: (nowMs: number) => void
  /** Told of the longest pause between two events as well. */
  handleEnd: (nowMs: number, longestPauseMs: number) => void
}

interface RunningJob extends EngineJob {
  unread: PromptPart[]
  prefillEndAtMs: number | null
  generatedTokens: number
  lastEventAtMs: number | null
  longestPauseMs: number
  order: number
}

/** An engine that reads prompts in chunks between the tokens of its other answers. */
export class EngineModel {
  readonly #speed: EngineSpeed
  readonly #cachedPartIds = new Set<string>()
  readonly #waiting: RunningJob[] = []
  #running: RunningJob[] = []
  #arrivals = 0
  busyMs = 0
  prefilledTokens = 0

  constructor (speed: EngineSpeed) {
    this.#speed = speed
  }

  get isIdle (): boolean {
    return this.#running.length === 0 && this.#waiting.length === 0
  }

  add (job: EngineJob): void {
    this.#waiting.push({ ...job, unread: [], prefillEndAtMs: null, generatedTokens: 0, lastEventAtMs: null, longestPauseMs: 0, order: this.#arrivals++ })
    this.#waiting.sort((one, other) => one.rank - other.rank || one.order - other.order)
  }

  /** Runs one step and returns the milliseconds that it takes; what it produced is told at its end. */
  runStep (nowMs: number): number {
    this.#admit()
    const { stepMs, stepMsPerSlot, prefillTokensPerMs } = this.#speed
    const { readTokens, finished } = this.#runPrefill()
    const tookMs = stepMs + stepMsPerSlot * this.#running.length + readTokens / prefillTokensPerMs
    const endMs = nowMs + tookMs
    this.busyMs += tookMs
    this.prefilledTokens += readTokens
    for (const job of finished) job.prefillEndAtMs = endMs
    this.#generate(endMs)
    return tookMs
  }

  #admit (): void {
    while (this.#running.length < this.#speed.slots && this.#waiting.length > 0) {
      const job = this.#waiting.shift()!
      const missing = job.promptParts.findIndex((part, index) => index === job.promptParts.length - 1 || !this.#cachedPartIds.has(part.id))
      job.unread = job.promptParts.slice(missing).map(part => ({ ...part }))
      this.#running.push(job)
    }
  }

  /** Reads on in the order of ranks, and of arrival inside one. */
  #runPrefill (): { readTokens: number, finished: RunningJob[] } {
    let left = this.#speed.chunkTokens
    const finished: RunningJob[] = []
    const reading = this.#running.filter(job => job.unread.length > 0).sort((one, other) => one.rank - other.rank || one.order - other.order)
    for (const job of reading) {
      while (left > 0 && job.unread.length > 0) {
        const part = job.unread[0]!
        const taken = Math.min(left, part.tokens)
        part.tokens -= taken
        left -= taken
        if (part.tokens > 0) break
        this.#cachedPartIds.add(part.id)
        job.unread.shift()
      }
      if (job.unread.length === 0) finished.push(job)
    }
    return { readTokens: this.#speed.chunkTokens - left, finished }
  }

  #generate (endMs: number): void {
    const { firstMs, eventTokens } = this.#speed
    this.#running = this.#running.filter(job => {
      if (job.prefillEndAtMs === null || endMs < job.prefillEndAtMs + firstMs) return true
      job.generatedTokens += 1
      if (job.generatedTokens === Math.min(eventTokens, job.outputTokens)) job.handleFirst(endMs)
      if (job.generatedTokens % eventTokens === 0) recordEvent(job, endMs)
      if (job.generatedTokens < job.outputTokens) return true
      job.handleEnd(endMs, job.longestPauseMs)
      return false
    })
  }
}

function recordEvent (job: RunningJob, nowMs: number): void {
  if (job.lastEventAtMs !== null) job.longestPauseMs = Math.max(job.longestPauseMs, nowMs - job.lastEventAtMs)
  job.lastEventAtMs = nowMs
}
