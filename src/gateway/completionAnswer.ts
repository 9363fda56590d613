import { BufferedAnswer } from './bufferedAnswer'
import { writeJson } from './responseWriter'

import type { AnswerOptions } from './answerBase'

/** Sends a chat completion as one JSON object. */
export class CompletionAnswer extends BufferedAnswer {
  readonly #model: string
  readonly #createdSeconds: number

  constructor (options: AnswerOptions & { model: string, createdSeconds: number }) {
    super(options)
    this.#model = options.model
    this.#createdSeconds = options.createdSeconds
  }

  protected override sendEnd (): void {
    writeJson(this.response, this.requestId, 200, {
      id: this.requestId,
      object: 'chat.completion',
      created: this.#createdSeconds,
      model: this.#model,
      choices: [{ index: 0, message: { role: 'assistant', content: this.getText() }, finish_reason: 'stop' }]
    })
  }
}
