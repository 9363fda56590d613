import { hashText } from '../../src/base/identifiers'
import { createSeededRandom } from '../shared/seededRandom'

const DEFAULT_MAX_TOKENS = 256
const MIN_LENGTH_FRACTION = 1 / 16
const MIN_LENGTH_TOKENS = 4
const PARETO_EXPONENT = 1.1
const SEED_HEX_DIGITS = 8

const WORDS = [
  'accord', 'amber', 'bergamot', 'cedar', 'Łódź', 'Kraków', 'lathe', 'mandrel', 'naïve', 'quote', 'sheet', 'spinning',
  '"quoted"', '\\slash', 'tab\t', 'line\n', '香', '🌲', 'and', 'of', 'the', 'with', 'under', 'after', '7.5', '—'
]

/** The fields of a chat request that determine its answer. */
export interface ChatRequest {
  model: string
  messages: unknown
  max_tokens?: number
}

/** Computes the digest that identifies a chat request across the records of all processes. */
export function hashChatRequest (request: ChatRequest): string {
  return hashText(JSON.stringify([request.model, request.messages, request.max_tokens ?? null]))
}

/**
 * Generates the answer to a chat request, one text per token. The same request always gets the same
 * answer. The number of tokens is heavy-tailed (Pareto) and at most `max_tokens`.
 *
 * @example
 * const text = generateAnswer({ model: 'm', messages: [], max_tokens: 64 }).join('')
 */
export function generateAnswer (request: ChatRequest): string[] {
  const digest = hashChatRequest(request)
  const random = createSeededRandom(parseInt(digest.slice(0, SEED_HEX_DIGITS), 16))
  const count = sampleLength(request.max_tokens ?? DEFAULT_MAX_TOKENS, random)
  const words = Array.from({ length: count - 1 }, () => `${WORDS[Math.floor(random() * WORDS.length)]} `)
  return [`${digest.slice(0, 16)} `, ...words]
}

function sampleLength (maxTokens: number, random: () => number): number {
  const shortest = Math.max(MIN_LENGTH_TOKENS, maxTokens * MIN_LENGTH_FRACTION)
  const length = Math.floor(shortest / (1 - random()) ** (1 / PARETO_EXPONENT))
  return Math.max(1, Math.min(length, maxTokens))
}
