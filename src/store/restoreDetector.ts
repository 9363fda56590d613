import { getEra } from './storePosition'

/**
 * Detects that the object service was restored from an older backup, by the positions of its answers.
 *
 * @example
 * const detector = new RestoreDetector()
 * detector.recordPosition(buildPosition(0, 90)) // false
 * detector.recordPosition(buildPosition(1, 40)) // true
 */
export class RestoreDetector {
  #era: number | null = null

  /** Latest era of an answer; null before the first answer. */
  get era (): number | null {
    return this.#era
  }

  /**
   * Records the position of a list or of a written object; returns whether the object service was
   * restored from an older backup since the last answer.
   */
  recordPosition (position: number): boolean {
    const before = this.#era
    // an answer of an earlier era may arrive late
    this.#era = Math.max(before ?? 0, getEra(position))
    return before !== null && this.#era > before
  }
}
