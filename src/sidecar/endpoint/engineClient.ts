import http from 'node:http'

import { createParser } from 'eventsource-parser'
import * as z from 'zod'

import { runExchange } from './endpointExchange'

import type { IncomingMessage } from 'node:http'
import type { EndpointClient, EndpointEnd, EndpointRunOptions } from './endpointRun'

const COMPLETIONS_PATH = '/v1/chat/completions'
const MAX_ERROR_CHARACTERS = 300
const END_OF_STREAM = '[DONE]'

const streamEventSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }).optional(),
    finish_reason: z.string().nullish()
  })).max(1)
})

/**
 * Runs chat completions at a model engine by `POST /v1/chat/completions`, answered with server-sent
 * events. Closing the connection cancels the generation.
 */
export class EngineClient implements EndpointClient {
  readonly #address: string
  readonly #agent = new http.Agent({ keepAlive: true })

  constructor (options: { address: string }) {
    this.#address = options.address
  }

  async run (options: EndpointRunOptions): Promise<EndpointEnd> {
    if (options.target.kind !== 'chat') return { kind: 'rejected', status: 400, message: 'an engine runs chat completions only' }
    const { body, resume } = options.target
    const payload = { ...body, stream: true, ...(resume && resume.chunkCount > 0 ? { resume } : {}) }
    return await runExchange({
      address: this.#address,
      method: 'POST',
      path: COMPLETIONS_PATH,
      headers: {
        'content-type': 'application/json',
        accept: 'text/event-stream',
        'x-priority': String(options.tier),
        'x-tanagerwick-attempt': options.attemptId
      },
      body: Buffer.from(JSON.stringify(payload)),
      agent: this.#agent,
      silenceMs: options.silenceMs,
      signal: options.signal,
      readAnswer: (response, finish) => readEventStream(response, options.onTexts, finish)
    })
  }

  close (): void {
    this.#agent.destroy()
  }
}

function readEventStream (response: IncomingMessage, handleTexts: (texts: string[]) => void, finish: (end: EndpointEnd) => void): void {
  if (response.statusCode !== 200) {
    readErrorText(response, message => finish({ kind: 'rejected', status: response.statusCode ?? 0, message }))
    return
  }
  let texts: string[] = []
  let isComplete = false
  let isMalformed = false
  const parser = createParser({
    onEvent: event => {
      if (event.data === END_OF_STREAM) {
        isComplete = true
        return
      }
      const text = parseContent(event.data)
      if (text === null) isMalformed = true
      else if (text !== '') texts.push(text)
    }
  })
  const decoder = new TextDecoder()
  response.on('data', (bytes: Buffer) => {
    parser.feed(decoder.decode(bytes, { stream: true }))
    const ready = texts
    texts = []
    if (ready.length > 0) handleTexts(ready)
    if (isMalformed) finish({ kind: 'broken', message: 'the engine sent an event that is not a completion chunk' })
    else if (isComplete) finish({ kind: 'completed', status: 200, contentType: 'text/event-stream' })
  })
}

/** Parses the text of one event; returns null when the event is not a completion chunk. */
function parseContent (data: string): string | null {
  try {
    const event = streamEventSchema.safeParse(JSON.parse(data))
    if (!event.success) return null
    return event.data.choices[0]?.delta?.content ?? ''
  } catch {
    return null
  }
}

function readErrorText (response: IncomingMessage, handleText: (text: string) => void): void {
  let text = ''
  response.on('data', (bytes: Buffer) => {
    if (text.length < MAX_ERROR_CHARACTERS) text += bytes.toString('utf8')
  })
  response.on('end', () => handleText(text.slice(0, MAX_ERROR_CHARACTERS)))
}
