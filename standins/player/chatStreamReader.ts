import { createParser } from 'eventsource-parser'

const END_MARKER = '[DONE]'

/** Error that a gateway reports inside a started stream. */
export interface StreamError {
  code: string
  execution: string
}

/** Reads a chat completion stream as a caller does. The stream may be split or truncated at any byte. */
export class ChatStreamReader {
  readonly #decoder = new TextDecoder()
  readonly #parser = createParser({ onEvent: event => this.#handleData(event.data) })
  readonly #handleText: () => void
  #text = ''
  #isComplete = false
  #error: StreamError | null = null

  /** Calls `handleText` for each event that carries text. */
  constructor (handleText: () => void) {
    this.#handleText = handleText
  }

  get text (): string {
    return this.#text
  }

  /** Whether the end marker of the stream arrived. */
  get isComplete (): boolean {
    return this.#isComplete
  }

  get error (): StreamError | null {
    return this.#error
  }

  push (bytes: Uint8Array): void {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }))
  }

  #handleData (data: string): void {
    if (data === END_MARKER) {
      this.#isComplete = true
      return
    }
    const body = JSON.parse(data)
    if (body.error !== undefined) this.#error = { code: body.error.code, execution: body.error.execution }
    const content = body.choices?.[0]?.delta?.content ?? ''
    if (content === '') return
    this.#text += content
    this.#handleText()
  }
}
