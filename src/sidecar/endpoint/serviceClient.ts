import http from 'node:http'

import { runExchange } from './endpointExchange'

import type { IncomingMessage } from 'node:http'
import type { EndpointClient, EndpointEnd, EndpointRunOptions } from './endpointRun'

/** Runs calls of a plain service. Passes the answer's bytes on as Latin-1 text, one character per byte. */
export class ServiceClient implements EndpointClient {
  readonly #address: string
  readonly #agent = new http.Agent({ keepAlive: false })

  constructor (options: { address: string }) {
    this.#address = options.address
  }

  async run (options: EndpointRunOptions): Promise<EndpointEnd> {
    const { target } = options
    if (target.kind !== 'service') return { kind: 'rejected', status: 400, message: 'a plain service runs service calls only' }
    return await runExchange({
      address: this.#address,
      method: target.method,
      path: target.path,
      headers: {
        'content-type': target.contentType,
        'x-priority': String(options.tier),
        'x-tanagerwick-attempt': options.attemptId,
        ...(options.idempotencyKey ? { 'idempotency-key': options.idempotencyKey } : {})
      },
      body: Buffer.from(target.bodyBase64, 'base64'),
      agent: this.#agent,
      silenceMs: options.silenceMs,
      signal: options.signal,
      readAnswer: (response, finish) => readResponse(response, options.onTexts, finish)
    })
  }

  close (): void {
    this.#agent.destroy()
  }
}

function readResponse (response: IncomingMessage, handleTexts: (texts: string[]) => void, finish: (end: EndpointEnd) => void): void {
  response.on('data', (bytes: Buffer) => handleTexts([bytes.toString('latin1')]))
  response.on('end', () => {
    if (!response.complete) return
    finish({
      kind: 'completed',
      status: response.statusCode ?? 0,
      contentType: response.headers['content-type'] ?? 'application/octet-stream'
    })
  })
}
