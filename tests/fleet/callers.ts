import { generateAnswer } from '../../standins/engine/generateAnswer'
import { getApiKey, MODEL } from './fleetFixture'

import type { FleetProcess } from './fleetProcess'

/** Result of one call, as the caller observed it. */
export interface CallerResult {
  status: number
  /** Text of a chat completion, or the body of a service's answer. */
  text: string
  /** Whether a streamed answer ended with its end marker. */
  isComplete: boolean
  code: string | undefined
  execution: string | undefined
  retryAfterS: number | undefined
  elapsedMs: number
}

export interface ChatOptions {
  workspace?: string
  className?: string
  maxTokens?: number
  stream?: boolean
  headers?: Record<string, string>
  signal?: AbortSignal
  /** Called with the text received so far, after each part of the stream. */
  onText?: (text: string) => void
}

/** Sends one chat completion to a gateway and reads the complete answer. */
export async function sendChat (gateway: FleetProcess, prompt: string, options: ChatOptions = {}): Promise<CallerResult> {
  const startMs = Date.now()
  const response = await fetch(`${gateway.url}/v1/chat/completions`, {
    method: 'POST',
    headers: buildHeaders(options),
    body: JSON.stringify(buildChatBody(prompt, options)),
    signal: options.signal
  })
  if (response.status !== 200) return await readRefusal(response, startMs)
  if (options.stream === false) {
    const body = await response.json() as any
    return buildResult(200, body.choices[0].message.content, true, startMs)
  }
  return await readStream(response, options, startMs)
}

/** Returns the engine stand-in's answer to `prompt`. */
export function getExpectedAnswer (prompt: string, options: ChatOptions = {}): string {
  return generateAnswer(buildChatBody(prompt, options) as Parameters<typeof generateAnswer>[0]).join('')
}

export interface ServiceCallOptions {
  workspace?: string
  className?: string
  idempotencyKey?: string
  method?: string
  body?: string
}

/** Sends one call to a plain service through a gateway. */
export async function callService (gateway: FleetProcess, path: string, options: ServiceCallOptions = {}): Promise<CallerResult> {
  const startMs = Date.now()
  const method = options.method ?? 'POST'
  const headers = buildHeaders(options)
  if (options.idempotencyKey) headers['idempotency-key'] = options.idempotencyKey
  const response = await fetch(`${gateway.url}/services/${path}`, { method, headers, body: method === 'GET' ? undefined : options.body ?? '{}' })
  if (response.headers.get('x-tanagerwick-error') !== null || response.status >= 400) return await readRefusal(response, startMs)
  return buildResult(response.status, await response.text(), true, startMs)
}

function buildChatBody (prompt: string, options: ChatOptions) {
  return { model: MODEL, messages: [{ role: 'user', content: prompt }], max_tokens: options.maxTokens ?? 20, stream: options.stream ?? true }
}

function buildHeaders (options: { workspace?: string, className?: string, headers?: Record<string, string> }): Record<string, string> {
  return {
    'content-type': 'application/json',
    authorization: `Bearer ${getApiKey(options.workspace ?? 'shop')}`,
    ...(options.className ? { 'x-tanagerwick-class': options.className } : {}),
    ...options.headers
  }
}

async function readRefusal (response: Response, startMs: number): Promise<CallerResult> {
  const body = await response.json().catch(() => ({})) as any
  const retryAfter = response.headers.get('retry-after')
  return {
    ...buildResult(response.status, '', false, startMs),
    code: body.error?.code,
    execution: body.error?.execution,
    retryAfterS: retryAfter === null ? undefined : Number(retryAfter)
  }
}

async function readStream (response: Response, options: ChatOptions, startMs: number): Promise<CallerResult> {
  let raw = ''
  let text = ''
  let error: any
  const decoder = new TextDecoder()
  try {
    for await (const bytes of response.body as unknown as AsyncIterable<Uint8Array>) {
      raw += decoder.decode(bytes, { stream: true })
      const events = raw.split('\n\n')
      raw = events.pop() ?? ''
      for (const event of events) {
        if (event === 'data: [DONE]') return buildResult(200, text, true, startMs)
        if (!event.startsWith('data: ')) continue
        const message = JSON.parse(event.slice('data: '.length))
        error ??= message.error
        text += message.choices?.[0]?.delta?.content ?? ''
      }
      options.onText?.(text)
    }
  } catch (reason) {
    error ??= { code: String(reason) }
  }
  return { ...buildResult(200, text, false, startMs), code: error?.code, execution: error?.execution }
}

function buildResult (status: number, text: string, isComplete: boolean, startMs: number): CallerResult {
  return { status, text, isComplete, code: undefined, execution: undefined, retryAfterS: undefined, elapsedMs: Date.now() - startMs }
}
