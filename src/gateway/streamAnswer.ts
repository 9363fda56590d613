import { AnswerBase } from './answerBase'
import { buildErrorBody } from '../protocol/errorBody'
import { REQUEST_ID_HEADER } from './responseWriter'

import type { AnswerOptions } from './answerBase'
import type { Refusal } from '../protocol/errorBody'

const EVENT_END = '\n\n'

/** Sends a chat completion as server-sent events. `data: [DONE]` follows only a complete answer. */
export class StreamAnswer extends AnswerBase {
  /** Start of each chunk, up to the value of `delta`; the same for all chunks of the answer. */
  readonly #chunkHead: string

  constructor (options: AnswerOptions & { model: string, createdSeconds: number }) {
    super(options)
    const fields = { id: options.requestId, object: 'chat.completion.chunk', created: options.createdSeconds, model: options.model }
    this.#chunkHead = `data: ${JSON.stringify(fields).slice(0, -1)},"choices":[{"index":0,"delta":`
  }

  override writeText (text: string): Promise<void> | undefined {
    if (this.hasEnded) return
    this.begin()
    const canWriteMore = this.response.write(`${this.#chunkHead}{"content":${JSON.stringify(text)}},"finish_reason":null}]}${EVENT_END}`)
    return canWriteMore ? undefined : this.#waitForDrain()
  }

  protected override sendStart (): boolean {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      [REQUEST_ID_HEADER]: this.requestId
    })
    this.response.write(`${this.#chunkHead}{"role":"assistant","content":""},"finish_reason":null}]}${EVENT_END}`)
    return true
  }

  protected override sendEnd (): void {
    this.response.end(`${this.#chunkHead}{},"finish_reason":"stop"}]}${EVENT_END}data: [DONE]${EVENT_END}`)
  }

  protected override sendFailure (refusal: Refusal): void {
    const event = `data: ${JSON.stringify(buildErrorBody(refusal))}${EVENT_END}`
    this.response.write(event, () => this.response.socket?.destroySoon())
  }

  async #waitForDrain (): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = () => {
        this.response.off('drain', finish)
        this.response.off('close', finish)
        resolve()
      }
      this.response.on('drain', finish)
      this.response.on('close', finish)
    })
  }
}
