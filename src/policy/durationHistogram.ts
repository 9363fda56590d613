const BUCKETS_PER_DOUBLING = 4
const BUCKET_COUNT = 80
const SAMPLES_PER_HALVING = 2000

/**
 * Estimates quantiles of recent durations with a decaying histogram. Each bucket is about a fifth
 * wider than the previous one. The duration of an answer is unknown until it ends, so the durations
 * of earlier answers stand in for it.
 *
 * @example
 * const durations = new DurationHistogram()
 * durations.record(900)
 * durations.getQuantile(0.95, 5000) // about 900; 5000 before anything was recorded
 */
export class DurationHistogram {
  readonly #counts = new Array<number>(BUCKET_COUNT).fill(0)
  #weight = 0
  #sampleCount = 0

  /** Returns the upper bound in milliseconds of the fraction `quantile` of the durations, or `initialMs` if none is recorded. */
  getQuantile (quantile: number, initialMs: number): number {
    if (this.#weight === 0) return initialMs
    let below = 0
    for (let index = 0; index < BUCKET_COUNT; index++) {
      below += this.#counts[index] as number
      if (below >= quantile * this.#weight) return computeUpperBoundMs(index)
    }
    return computeUpperBoundMs(BUCKET_COUNT - 1)
  }

  /** Records one duration. All counts are halved periodically, so older durations lose weight. */
  record (milliseconds: number): void {
    const index = Math.floor(BUCKETS_PER_DOUBLING * Math.log2(Math.max(1, milliseconds)))
    const bucket = Math.min(BUCKET_COUNT - 1, index)
    this.#counts[bucket] = (this.#counts[bucket] as number) + 1
    this.#weight += 1
    this.#sampleCount += 1
    if (this.#sampleCount % SAMPLES_PER_HALVING === 0) this.#applyDecay()
  }

  #applyDecay (): void {
    for (let index = 0; index < BUCKET_COUNT; index++) this.#counts[index] = (this.#counts[index] as number) / 2
    this.#weight /= 2
  }
}

function computeUpperBoundMs (index: number): number {
  return 2 ** ((index + 1) / BUCKETS_PER_DOUBLING)
}
