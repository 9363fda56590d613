import type { PromptPart } from '../../src/policy/prefixCacheEstimate'

/** Speed of an engine with continuous batching. */
export interface EngineSpeed {
  slots: number
  stepMs: number
  stepMsPerSlot: number
  prefillTokensPerMs: number
  /** Maximum prompt tokens that are prefilled between two steps. */
  chunkTokens: number
  /** Milliseconds from the end of the prefill until tokens are generated. */
  firstMs: number
  /** Tokens in one event of a stream. */
  eventTokens: number
}

/** A request to the engine. */
export interface EngineJob {
  rank: number
  promptParts: readonly PromptPart[]
  outputTokens: number
  /** Engine to fetch the beginning of the prompt from before it is prefilled, and the tokens that this moves per millisecond. */
  source: { engine: EngineModel, tokensPerMs: number } | null
  handleFirst: (nowMs: number) => void
  /** Called at the end, with the longest pause between two events. */
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

/** Simulates an engine with chunked prefill: it prefills prompts in chunks between the tokens of its other answers. */
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

  /** Runs one step and returns the milliseconds that it takes. Reports the step's results with its end time. */
  runStep (nowMs: number): number {
    const fetchMs = this.#admit()
    const { stepMs, stepMsPerSlot, prefillTokensPerMs } = this.#speed
    const { prefilledTokens, finished } = this.#runPrefill()
    const tookMs = fetchMs + stepMs + stepMsPerSlot * this.#running.length + prefilledTokens / prefillTokensPerMs
    const endMs = nowMs + tookMs
    this.busyMs += tookMs
    this.prefilledTokens += prefilledTokens
    for (const job of finished) job.prefillEndAtMs = endMs
    this.#generate(endMs)
    return tookMs
  }

  /** Admits waiting jobs, and returns the milliseconds that their fetches take. */
  #admit (): number {
    let fetchMs = 0
    while (this.#running.length < this.#speed.slots && this.#waiting.length > 0) {
      const job = this.#waiting.shift()!
      fetchMs += this.#fetch(job)
      const firstUncachedIndex = job.promptParts.findIndex((part, index) => index === job.promptParts.length - 1 || !this.#cachedPartIds.has(part.id))
      job.unread = job.promptParts.slice(firstUncachedIndex).map(part => ({ ...part }))
      this.#running.push(job)
    }
    return fetchMs
  }

  /** Fetches the shared parts that the source has and this engine lacks, and returns the milliseconds that this takes. */
  #fetch ({ promptParts, source }: RunningJob): number {
    if (source === null) return 0
    let tokens = 0
    for (const part of promptParts.slice(0, -1)) {
      if (this.#cachedPartIds.has(part.id)) continue
      if (!source.engine.#cachedPartIds.has(part.id)) break
      this.#cachedPartIds.add(part.id)
      tokens += part.tokens
    }
    return tokens / source.tokensPerMs
  }

  /** Prefills the next chunk, by rank and then by arrival. */
  #runPrefill (): { prefilledTokens: number, finished: RunningJob[] } {
    let remainingTokens = this.#speed.chunkTokens
    const finished: RunningJob[] = []
    const prefilling = this.#running.filter(job => job.unread.length > 0).sort((one, other) => one.rank - other.rank || one.order - other.order)
    for (const job of prefilling) {
      while (remainingTokens > 0 && job.unread.length > 0) {
        const part = job.unread[0]!
        const chunkPartTokens = Math.min(remainingTokens, part.tokens)
        part.tokens -= chunkPartTokens
        remainingTokens -= chunkPartTokens
        if (part.tokens > 0) break
        this.#cachedPartIds.add(part.id)
        job.unread.shift()
      }
      if (job.unread.length === 0) finished.push(job)
    }
    return { prefilledTokens: this.#speed.chunkTokens - remainingTokens, finished }
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
