/** How a prompt's size compares with the others of its service. */
export type PromptSize = 'light' | 'heavy'

const SMOOTHING = 0.01
/** Part of the mean size below which a prompt is light. */
const LIGHT_SHARE = 1 / 3

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
  readonly #means = new Map<string, number>()
  readonly #ownMeans = new Map<string, number>()

  /** Takes in the tokens of one prompt that was asked of a service, and those of its own part. */
  record (service: string, tokens: number, ownTokens: number): void {
    updateMean(this.#means, service, tokens)
    updateMean(this.#ownMeans, service, ownTokens)
  }

  /** Gets the mean tokens of prompts' own parts; 0 before the first. */
  getOwnMean (service: string): number {
    return this.#ownMeans.get(service) ?? 0
  }

  /** Tells whether a prompt is smaller than the service's mean one. */
  isBelowMean (service: string, tokens: number): boolean {
    return tokens < (this.#means.get(service) ?? 0)
  }

  /** Gets how a prompt of so many tokens compares with what the service is asked lately. */
  getSize (service: string, tokens: number): PromptSize {
    return tokens < LIGHT_SHARE * (this.#means.get(service) ?? 0) ? 'light' : 'heavy'
  }
}

function updateMean (means: Map<string, number>, service: string, tokens: number): void {
  const mean = means.get(service) ?? tokens
  means.set(service, mean + SMOOTHING * (tokens - mean))
}
