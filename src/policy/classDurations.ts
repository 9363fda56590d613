import { DurationHistogram } from './durationHistogram'

/** The distributions of how long answers have taken, one for each class of requests. */
export class ClassDurations {
  readonly #byClass = new Map<string, DurationHistogram>()

  /** Tells whether an answer of the class has been recorded. */
  has (className: string): boolean {
    return this.#byClass.has(className)
  }

  /** Gets the milliseconds within which the fraction `quantile` of the class's answers ended, or `initialMs` before any did. */
  getQuantile (className: string, quantile: number, initialMs: number): number {
    return this.#byClass.get(className)?.getQuantile(quantile, initialMs) ?? initialMs
  }

  /** Records how long one answer of the class took. */
  record (className: string, milliseconds: number): void {
    const histogram = this.#byClass.get(className) ?? new DurationHistogram()
    histogram.record(milliseconds)
    this.#byClass.set(className, histogram)
  }
}
