const BUCKETS_PER_DOUBLING = 4
const BUCKET_COUNT = 80
const SAMPLES_PER_HALVING = 2000

/**
 * The distribution of durations seen lately, in buckets that grow by a fifth each. The length of
 * an answer is unknown before it ends; what can be known is how long such answers have taken.
 *
 * @example
 * const durations = new DurationDistribution()
 * durations.record(900)
 * durations.getQuantile(0.95, 5000) // about 900; 5000 before anything was recorded
 */
export class DurationHistogram {
  readonly #counts = new Array<number>(BUCKET_COUNT).fill(0)
  #weight = 0
  #sampleCount = 0

  /** Gets the milliseconds within which the fraction `quantile` of the durations lay, or `initialMs` before any was recorded. */
  getQuantile (quantile: number, initialMs: number): number {
    if (this.#weight === 0) return initialMs
    let below = 0
    for (let index = 0; index < BUCKET_COUNT; index++) {
      below += this.#counts[index] as number
      if (below >= quantile * this.#weight) return computeUpperBoundMs(index)
    }
    return computeUpperBoundMs(BUCKET_COUNT - 1)
  }

  /** Records one duration; older ones lose weight. */
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
