/** Size of a prompt relative to the other prompts of its service. */
export type PromptSize = 'light' | 'heavy'

const SMOOTHING_FACTOR = 0.01
/** Fraction of the mean size below which a prompt is light. */
const LIGHT_SIZE_RATIO = 1 / 3

/**
 * Classifies prompts as light or heavy by the recent prompts of their service. Light prompts can then
 * run apart from heavy ones, so that their tokens are not delayed while an engine prefills a heavy prompt.
 *
 * @example
 * const sizes = new PromptSizes()
 * sizes.record('engines', 17_000, 3000)
 * sizes.getSize('engines', 1400) // 'light'
 */
export class PromptSizes {
  readonly #meanTokens = new Map<string, number>()
  readonly #meanUniqueTokens = new Map<string, number>()

  /** Records the tokens of a prompt of a service, and the unique tokens among them. */
  record (service: string, tokens: number, uniqueTokens: number): void {
    updateMean(this.#meanTokens, service, tokens)
    updateMean(this.#meanUniqueTokens, service, uniqueTokens)
  }

  /** Returns the mean number of unique tokens per prompt; 0 before the first prompt. */
  getMeanUniqueTokens (service: string): number {
    return this.#meanUniqueTokens.get(service) ?? 0
  }

  /** Returns whether a prompt is smaller than the service's mean prompt. */
  isBelowMean (service: string, tokens: number): boolean {
    return tokens < (this.#meanTokens.get(service) ?? 0)
  }

  /** Returns the size class of a prompt with this number of tokens, relative to the service's recent prompts. */
  getSize (service: string, tokens: number): PromptSize {
    return tokens < LIGHT_SIZE_RATIO * (this.#meanTokens.get(service) ?? 0) ? 'light' : 'heavy'
  }
}

function updateMean (means: Map<string, number>, service: string, tokens: number): void {
  const mean = means.get(service) ?? tokens
  means.set(service, mean + SMOOTHING_FACTOR * (tokens - mean))
}
