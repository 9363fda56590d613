import { DurationHistogram } from './durationHistogram'

/** Keeps one histogram of answer durations per request class. */
export class ClassDurations {
  readonly #byClass = new Map<string, DurationHistogram>()

  /** Returns whether an answer of the class has been recorded. */
  has (className: string): boolean {
    return this.#byClass.has(className)
  }

  /** Returns the milliseconds within which the fraction `quantile` of the class's answers ended, or `initialMs` if none is recorded. */
  getQuantile (className: string, quantile: number, initialMs: number): number {
    return this.#byClass.get(className)?.getQuantile(quantile, initialMs) ?? initialMs
  }

  /** Records the duration of one answer of the class. */
  record (className: string, milliseconds: number): void {
    const histogram = this.#byClass.get(className) ?? new DurationHistogram()
    histogram.record(milliseconds)
    this.#byClass.set(className, histogram)
  }
}
