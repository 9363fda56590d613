import http from 'node:http'

import { ChatStreamReader } from './chatStreamReader'
import { generateExpectedAnswer } from './plannedRequest'

import type { IncomingMessage } from 'node:http'
import type { SendOutcome, SendRecord } from './callerRecord'
import type { PlannedRequest } from './plannedRequest'

const MS_PER_SECOND = 1000

export interface CallerClientOptions {
  /** `host:port` of each gateway. */
  gateways: string[]
  /** Idle timeout in milliseconds: without a byte for this long, a caller closes its connection. */
  silenceMs: number
}

/** Sends requests to several gateways over kept-alive connections. */
export class CallerClient {
  readonly #agent = new http.Agent({ keepAlive: true, noDelay: true })
  readonly #options: CallerClientOptions

  constructor (options: CallerClientOptions) {
    this.#options = options
  }

  close (): void {
    this.#agent.destroy()
  }

  /** Sends `request` once to the gateway at index `gateway`. The promise never rejects. */
  async send (request: PlannedRequest, gateway: number): Promise<SendRecord> {
    const record = createSendRecord(gateway)
    try {
      const response = await this.#open(request, this.#options.gateways[gateway]!)
      record.requestId = response.headers['x-tanagerwick-request-id']?.toString() ?? null
      record.outcome = await readOutcome(request, response, record)
    } catch (error) {
      record.outcome = { kind: 'broken', message: String((error as Error).message) }
    }
    record.endedAtMs = Date.now()
    return record
  }

  async #open (request: PlannedRequest, gateway: string): Promise<IncomingMessage> {
    const { method, path, body } = describeCall(request)
    const [host, port] = gateway.split(':')
    const { silenceMs } = this.#options
    return await new Promise((resolve, reject) => {
      const call = http.request({ host, port, method, path, agent: this.#agent, headers: buildHeaders(request) }, resolve)
      call.setTimeout(silenceMs, () => call.destroy(new Error(`received no bytes from the gateway for ${silenceMs} ms`)))
      call.on('error', reject)
      call.end(body)
    })
  }
}

function createSendRecord (gateway: number): SendRecord {
  return {
    gateway,
    requestId: null,
    sentAtMs: Date.now(),
    firstTokenAtMs: null,
    endedAtMs: 0,
    tokenGapsMs: [],
    outcome: { kind: 'broken', message: 'not sent' }
  }
}

function describeCall (request: PlannedRequest): { method: string, path: string, body: string } {
  switch (request.call.kind) {
    case 'chat': return { method: 'POST', path: '/v1/chat/completions', body: JSON.stringify(request.call.body) }
    case 'service': {
      const { method, path, body } = request.call.call
      return { method, path: `/services/${request.call.service}${path}`, body }
    }
  }
}

function buildHeaders (request: PlannedRequest): Record<string, string> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${request.apiKey}`,
    'content-type': 'application/json',
    'x-tanagerwick-class': request.className
  }
  if (request.idempotencyKey !== undefined) headers['idempotency-key'] = request.idempotencyKey
  return headers
}

async function readOutcome (request: PlannedRequest, response: IncomingMessage, record: SendRecord): Promise<SendOutcome> {
  if (response.statusCode !== 200) return await readRefusal(response)
  if (request.call.kind === 'chat' && request.call.body.stream) return await readStream(request, response, record)
  const text = await readText(response)
  record.firstTokenAtMs = Date.now()
  const answer = request.call.kind === 'chat' ? JSON.parse(text).choices[0].message.content : text
  return { kind: 'answered', isExact: answer === generateExpectedAnswer(request) }
}

async function readStream (request: PlannedRequest, response: IncomingMessage, record: SendRecord): Promise<SendOutcome> {
  let lastTokenAtMs = 0
  const reader = new ChatStreamReader(() => {
    const nowMs = Date.now()
    if (record.firstTokenAtMs === null) record.firstTokenAtMs = nowMs
    else record.tokenGapsMs.push(nowMs - lastTokenAtMs)
    lastTokenAtMs = nowMs
  })
  const connectionError = await readParts(response, part => reader.push(part))
  if (reader.isComplete) return { kind: 'answered', isExact: reader.text === generateExpectedAnswer(request) }
  if (reader.error !== null) return { kind: 'refused', status: 200, ...reader.error, retryAfterMs: null }
  return { kind: 'broken', message: connectionError ?? 'the stream ended without its end marker' }
}

/** Passes each part of the answer to `push`; returns the message of the connection error, or null if there was none. */
async function readParts (response: IncomingMessage, push: (part: Uint8Array) => void): Promise<string | null> {
  try {
    for await (const part of response) push(part)
    return null
  } catch (error) {
    return String((error as Error).message)
  }
}

async function readRefusal (response: IncomingMessage): Promise<SendOutcome> {
  const { error } = JSON.parse(await readText(response))
  const retryAfter = response.headers['retry-after']
  return {
    kind: 'refused',
    status: response.statusCode ?? 0,
    code: error.code,
    execution: error.execution,
    retryAfterMs: retryAfter === undefined ? null : Number(retryAfter) * MS_PER_SECOND
  }
}

async function readText (response: IncomingMessage): Promise<string> {
  const parts: Buffer[] = []
  for await (const part of response) parts.push(part as Buffer)
  return Buffer.concat(parts).toString('utf8')
}
