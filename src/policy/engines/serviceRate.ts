/** Prompt tokens that an engine prefills per millisecond, assumed for services whose rate is unknown. */
export const DEFAULT_PREFILL_TOKENS_PER_MS = 100

/** A prompt whose first event arrived. */
export interface PrefillSample {
  /** Tokens that the engine prefilled from the send to the first event: those of the prompt and those that waited before it. */
  tokens: number
  /** Milliseconds from the send to the first event. */
  delayMs: number
  atMs: number
}

const MIN_TOKENS_PER_MS = 10
const MAX_TOKENS_PER_MS = 1000
/** Maximum factor by which a fit changes the rate of the one before. */
const MAX_CHANGE_FACTOR = 1.5
const MAX_SAMPLES = 128
/** Number of samples before the first fit, and between two fits. */
const MIN_SAMPLES = 24
const SAMPLES_PER_FIT = 8
const SAMPLE_EXPIRY_MS = 120_000
/** Milliseconds after the last fit for which its rate is used. */
const RATE_EXPIRY_MS = 600_000
/** Minimum difference in tokens between the typical sample of the smallest and of the largest third. */
const MIN_SPREAD_TOKENS = 800
const FIT_ITERATIONS = 8
const LOWER_QUARTILE = 0.25

/**
 * Learns how many prompt tokens the engines of a service prefill per millisecond. Fits a line through the
 * delays of prompts by their size, at the lower quartile: a prompt may be late for many reasons, but
 * never early. A common delay of all prompts does not change the rate.
 *
 * @example
 * const rate = new ServiceRate()
 * for (const sample of samples) rate.record(sample)
 * rate.tokensPerMs // 61
 */
export class ServiceRate {
  #samples: PrefillSample[] = []
  #samplesSinceFit = 0
  #tokensPerMs = DEFAULT_PREFILL_TOKENS_PER_MS
  #firstEventDelayMs = 0
  #fittedAtMs: number | null = null

  get tokensPerMs (): number {
    return this.#tokensPerMs
  }

  /** Time of the last fit; null while the rate is the default. */
  get fittedAtMs (): number | null {
    return this.#fittedAtMs
  }

  /** Returns how long a prompt is expected to take to its first event when the engine prefills this number of tokens; null while unknown. */
  estimateDelayMs (tokens: number): number | null {
    return this.#fittedAtMs === null ? null : this.#firstEventDelayMs + tokens / this.#tokensPerMs
  }

  record (sample: PrefillSample): void {
    this.#samples.push(sample)
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift()
    this.#samplesSinceFit += 1
    if (this.#samples.length >= MIN_SAMPLES && this.#samplesSinceFit >= SAMPLES_PER_FIT) this.#updateRate(sample.atMs)
  }

  /** Records the tokens per millisecond that engines prefilled, though they may have been idle at times. */
  recordMinimum (tokensPerMs: number, nowMs: number): void {
    if (tokensPerMs > this.#tokensPerMs) this.#setRate(tokensPerMs, nowMs)
  }

  /** Returns to the default when the last fit is too old. */
  expire (nowMs: number): void {
    if (this.#fittedAtMs === null || nowMs - this.#fittedAtMs <= RATE_EXPIRY_MS) return
    this.#fittedAtMs = null
    this.#tokensPerMs = DEFAULT_PREFILL_TOKENS_PER_MS
    this.#samples = []
  }

  #updateRate (nowMs: number): void {
    this.#samplesSinceFit = 0
    this.#samples = this.#samples.filter(({ atMs }) => nowMs - atMs <= SAMPLE_EXPIRY_MS)
    if (this.#samples.length < MIN_SAMPLES) return
    const sorted = [...this.#samples].sort((one, other) => one.tokens - other.tokens)
    const third = Math.floor(sorted.length / 3)
    const small = sorted.slice(0, third)
    const large = sorted.slice(-third)
    const spreadTokens = getMedianTokens(large) - getMedianTokens(small)
    if (spreadTokens < MIN_SPREAD_TOKENS) return
    let msPerToken = 1 / this.#tokensPerMs
    for (let iteration = 0; iteration < FIT_ITERATIONS; iteration++) {
      const differenceMs = computeRemainderMs(large, msPerToken) - computeRemainderMs(small, msPerToken)
      msPerToken = computeWithin(msPerToken + differenceMs / spreadTokens, 1 / MAX_TOKENS_PER_MS, 1 / MIN_TOKENS_PER_MS)
    }
    const changeFactor = this.#fittedAtMs === null ? Infinity : MAX_CHANGE_FACTOR
    this.#setRate(computeWithin(1 / msPerToken, this.#tokensPerMs / changeFactor, this.#tokensPerMs * changeFactor), nowMs)
    this.#firstEventDelayMs = Math.max(0, computeRemainderMs(sorted, 1 / this.#tokensPerMs))
  }

  #setRate (tokensPerMs: number, nowMs: number): void {
    this.#tokensPerMs = computeWithin(tokensPerMs, MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS)
    this.#fittedAtMs = nowMs
  }
}

/** Computes the lower quartile of the delays that the prefill does not explain. */
function computeRemainderMs (samples: readonly PrefillSample[], msPerToken: number): number {
  const remainders = samples.map(({ tokens, delayMs }) => delayMs - tokens * msPerToken).sort((one, other) => one - other)
  return remainders[Math.floor(LOWER_QUARTILE * remainders.length)]!
}

function getMedianTokens (sorted: readonly PrefillSample[]): number {
  return sorted[Math.floor(sorted.length / 2)]!.tokens
}

/** Returns `value`, or the bound that it exceeds. */
export function computeWithin (value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value))
}
