import { getEra } from './storePosition'

/**
 * Notices when a store has come back from an older copy, by the positions of its lists.
 *
 * @example
 * const memory = new EraMemory()
 * memory.recordPosition(buildPosition(0, 90)) // false
 * memory.recordPosition(buildPosition(1, 40)) // true
 */
export class RestoreDetector {
  #era: number | null = null

  /** Era of the last list; null before the first. */
  get era (): number | null {
    return this.#era
  }

  /** Takes in the position of a list; returns whether the store came back from an older copy since the last one. */
  recordPosition (position: number): boolean {
    const before = this.#era
    this.#era = getEra(position)
    return before !== null && this.#era > before
  }
}
