/** One `data:` event of a chat completion stream. */
export interface ChatEvent {
  content: string
  finishReason: string | null
}

/** What a stream of server-sent events yields: events, and whether it ended as it should. */
export type SseItem =
  | { kind: 'event', event: ChatEvent }
  | { kind: 'error', message: string }
  | { kind: 'done' }

/** Reads the text of a chat completion stream, which may be cut anywhere. */
export class SseReader {
  #rest = ''

  /** Takes the next part of the stream and returns the items that it completes. */
  takeItems (text: string): SseItem[] {
    const blocks = (this.#rest + text).split('\n\n')
    this.#rest = blocks.pop() ?? ''
    return blocks.flatMap(block => parseBlock(block))
  }
}

function parseBlock (block: string): SseItem[] {
  const data = block.split('\n').find(line => line.startsWith('data: '))?.slice('data: '.length)
  if (data === undefined) return []
  if (data === '[DONE]') return [{ kind: 'done' }]
  const body = JSON.parse(data)
  if (body.error !== undefined) return [{ kind: 'error', message: JSON.stringify(body.error) }]
  const choice = body.choices?.[0]
  return [{ kind: 'event', event: { content: choice?.delta?.content ?? '', finishReason: choice?.finish_reason ?? null } }]
}
