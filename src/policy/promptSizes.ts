/** How a prompt's size compares with the others of its service. */
export type PromptSize = 'light' | 'heavy'

const SMOOTHING_FACTOR = 0.01
/** Part of the mean size below which a prompt is light. */
const LIGHT_SIZE_RATIO = 1 / 3

/**
 * Tells light prompts from heavy ones by what each service is asked lately, so that answers to light
 * ones need not wait between two tokens while an engine reads a heavy one.
 *
 * @example
 * const sizes = new PromptSizes()
 * sizes.record('engines', 17_000, 3000)
 * sizes.getSize('engines', 1400) // 'light'
 */
export class PromptSizes {
  readonly #meanTokens = new Map<string, number>()
  readonly #meanUniqueTokens = new Map<string, number>()

  /** Takes in the tokens of one prompt that was asked of a service, and those of its own part. */
  record (service: string, tokens: number, uniqueTokens: number): void {
    updateMean(this.#meanTokens, service, tokens)
    updateMean(this.#meanUniqueTokens, service, uniqueTokens)
  }

  /** Gets the mean tokens of prompts' own parts; 0 before the first. */
  getMeanUniqueTokens (service: string): number {
    return this.#meanUniqueTokens.get(service) ?? 0
  }

  /** Tells whether a prompt is smaller than the service's mean one. */
  isBelowMean (service: string, tokens: number): boolean {
    return tokens < (this.#meanTokens.get(service) ?? 0)
  }

  /** Gets how a prompt of so many tokens compares with what the service is asked lately. */
  getSize (service: string, tokens: number): PromptSize {
    return tokens < LIGHT_SIZE_RATIO * (this.#meanTokens.get(service) ?? 0) ? 'light' : 'heavy'
  }
}

function updateMean (means: Map<string, number>, service: string, tokens: number): void {
  const mean = means.get(service) ?? tokens
  means.set(service, mean + SMOOTHING_FACTOR * (tokens - mean))
}
