import { getEra } from './storePosition'

/**
 * Detects that the object service was restored from an older backup, by the positions of its lists.
 *
 * @example
 * const detector = new RestoreDetector()
 * detector.recordPosition(buildPosition(0, 90)) // false
 * detector.recordPosition(buildPosition(1, 40)) // true
 */
export class RestoreDetector {
  #era: number | null = null

  /** Era of the last list; null before the first list. */
  get era (): number | null {
    return this.#era
  }

  /**
   * Records the position of a list; returns whether the object service was restored from an older
   * backup since the last list.
   */
  recordPosition (position: number): boolean {
    const before = this.#era
    this.#era = getEra(position)
    return before !== null && this.#era > before
  }
}
