import { hashText } from '../../src/base/identifiers'

const BLOCK_TOKENS = 16

/** Counts the tokens of a prompt, one per word. */
export function countTokens (prompt: string): number {
  return prompt.split(/\s+/).length
}

/** Caches prompt prefixes in blocks of tokens, with a maximum size and least-recently-used eviction. */
export class PrefixCache {
  readonly #maxBlocks: number
  readonly #blocks = new Set<string>()

  constructor (maxTokens: number) {
    this.#maxBlocks = Math.floor(maxTokens / BLOCK_TOKENS)
  }

  /** Returns the number of leading tokens of `prompt` in the cache, then caches all full blocks of the prompt. */
  putPrompt (prompt: string): number {
    const blocks = listBlocks(prompt)
    const missing = blocks.findIndex(block => !this.#blocks.has(block))
    for (const block of blocks) this.#putBlock(block)
    return (missing === -1 ? blocks.length : missing) * BLOCK_TOKENS
  }

  #putBlock (block: string): void {
    this.#blocks.delete(block)
    this.#blocks.add(block)
    if (this.#blocks.size <= this.#maxBlocks) return
    const [oldest] = this.#blocks
    this.#blocks.delete(oldest!)
  }
}

function listBlocks (prompt: string): string[] {
  const words = prompt.split(/\s+/)
  const blocks: string[] = []
  let previous = ''
  for (let end = BLOCK_TOKENS; end <= words.length; end += BLOCK_TOKENS) {
    previous = hashText(previous + words.slice(end - BLOCK_TOKENS, end).join(' '))
    blocks.push(previous)
  }
  return blocks
}
