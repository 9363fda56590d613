import { AnswerBase } from './answerBase'

const MAX_ANSWER_CHARACTERS = 16 * 1024 * 1024

/** Buffers an answer, up to a size limit, and sends it once it is complete. */
export abstract class BufferedAnswer extends AnswerBase {
  readonly #parts: string[] = []
  #length = 0

  override writeText (text: string): undefined {
    if (this.hasEnded) return
    this.#length += text.length
    if (this.#length > MAX_ANSWER_CHARACTERS) {
      this.fail({ code: 'answer_too_large', message: 'The endpoint sent an answer larger than this form can carry.', execution: 'may_have_run' })
      return
    }
    this.#parts.push(text)
  }

  protected override sendStart (): boolean {
    return false
  }

  /** Never called, because nothing is sent before the end. */
  protected override sendFailure (): void {}

  protected getText (): string {
    return this.#parts.join('')
  }
}
