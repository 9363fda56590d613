import { request as createRequest } from 'node:http'

import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import type { ByteBudget } from './byteBudget'
import type { HeaderList } from './relayRequest'

/** One send of a request to an endpoint. */
export interface ExchangeOptions {
  agent: Agent | false
  host: string
  port: number
  method: string
  target: string
  headers: HeaderList
  body: Buffer
  /** Milliseconds within which a new connection must be made. */
  connectTimeoutMs: number
  signal: AbortSignal
  /** What answers that are collected may hold together. */
  budget: ByteBudget
}

/** What to do with an answer once its head is there. */
export type HeadDecision = 'collect' | 'pass' | 'reject'

/** Takes an answer as it comes. */
export interface AnswerSink {
  /** Decides by the head whether the body is collected whole or passed on as it comes. */
  handleHead (status: number, headers: HeaderList): HeadDecision
  /** Told of bytes of a body that is collected. */
  handleCollectedChunk (bytes: Buffer): void
  /** Takes bytes of a body that is passed on; false pauses the endpoint until `resume` is called. */
  handleRelayedChunk (bytes: Buffer, resume: () => void): boolean
}

/** How a send ended, told apart by what the endpoint may have seen of it. */
export type ExchangeResult =
  | { kind: 'collected', body: Buffer }
  | { kind: 'passed' }
  | { kind: 'rejected' }
  /** No connection was made: the endpoint saw nothing; `isRefused` when nobody listens there. */
  | { kind: 'notSent', message: string, isRefused: boolean }
  /** The connection broke before the answer was whole. */
  | { kind: 'broken', message: string }
  /** Bytes came that are no answer in the protocol. */
  | { kind: 'garbled', message: string }
  | { kind: 'aborted' }

const MAX_COLLECTED_BODY_BYTES = 8_388_608
/** Interim heads (1xx) before an answer; no endpoint has reason to send more than a few. */
const MAX_INTERIM_RESPONSES = 16

/**
 * Sends a request to an endpoint and hands its answer to `sink`. An answer counts as whole only
 * when its framing says so; one without a length ends with its connection, if that is not reset.
 *
 * @example
 * const end = await sendToEndpoint(send, { handleHead: () => 'collect', handlePart: () => {}, handleData: () => true })
 * if (end.kind === 'collected') console.log(end.body.length)
 */
export async function sendToEndpoint (options: ExchangeOptions, sink: AnswerSink): Promise<ExchangeResult> {
  return await new Promise(resolve => new EndpointExchange(options, sink, resolve).start())
}

class EndpointExchange {
  readonly #options: ExchangeOptions
  readonly #sink: AnswerSink
  readonly #resolve: (end: ExchangeResult) => void
  readonly #chunks: Buffer[] = []
  #collectedBytes = 0
  #request: ClientRequest | null = null
  #response: IncomingMessage | null = null
  #connectTimer: NodeJS.Timeout | undefined
  #isConnected = false
  #hasEnded = false
  #interimResponses = 0

  constructor (options: ExchangeOptions, sink: AnswerSink, resolve: (end: ExchangeResult) => void) {
    this.#options = options
    this.#sink = sink
    this.#resolve = resolve
  }

  start (): void {
    const { agent, host, port, method, target, headers, body, signal } = this.#options
    if (signal.aborted) return this.#finish({ kind: 'aborted' })
    // the types know header lists only as an object, the library takes both
    const requestOptions = { agent, host, port, method, path: target, headers: headers as never, setHost: false, noDelay: true }
    const request = createRequest(requestOptions)
    this.#request = request
    signal.addEventListener('abort', this.#handleAbort, { once: true })
    request.on('socket', socket => {
      if (!socket.connecting) return this.#handleConnect()
      this.#connectTimer = setTimeout(() => request.destroy(new Error('no connection in time')), this.#options.connectTimeoutMs)
      socket.once('connect', () => this.#handleConnect())
    })
    request.on('information', () => this.#countInterimResponse())
    request.on('response', response => this.#handleResponse(response))
    request.on('error', (error: NodeJS.ErrnoException) => this.#handleError(error))
    request.on('close', () => this.#finish({ kind: 'broken', message: 'connection closed' }))
    request.end(body.length === 0 ? undefined : body)
  }

  readonly #handleAbort = (): void => {
    this.#finish({ kind: 'aborted' })
    this.#abortConnection()
  }

  /**
   * Resets the connection. Closing it would leave bytes with the system that go out seconds later, when
   * a broken link works again, and the endpoint would run a request that nobody waits for.
   */
  #abortConnection (): void {
    const socket = this.#request?.socket ?? null
    if (socket !== null && !socket.connecting) socket.resetAndDestroy()
    this.#request?.destroy()
  }

  #handleConnect (): void {
    this.#isConnected = true
    clearTimeout(this.#connectTimer)
  }

  #countInterimResponse (): void {
    this.#interimResponses += 1
    if (this.#interimResponses <= MAX_INTERIM_RESPONSES) return
    this.#finish({ kind: 'garbled', message: `more than ${MAX_INTERIM_RESPONSES} interim heads` })
    this.#abortConnection()
  }

  #handleResponse (response: IncomingMessage): void {
    this.#response = response
    response.on('error', (error: NodeJS.ErrnoException) => this.#handleError(error))
    const decision = this.#sink.handleHead(response.statusCode ?? 0, response.rawHeaders)
    if (decision === 'reject') {
      this.#finish({ kind: 'rejected' })
      this.#abortConnection()
      return
    }
    response.on('data', (bytes: Buffer) => decision === 'collect' ? this.#collectChunk(bytes) : this.#relayChunk(response, bytes))
    response.on('end', () => this.#handleEnd(response, decision))
  }

  #collectChunk (bytes: Buffer): void {
    if (this.#hasEnded) return
    this.#sink.handleCollectedChunk(bytes)
    if (this.#collectedBytes + bytes.length > MAX_COLLECTED_BODY_BYTES) return this.#abortAnswer(`the answer is larger than ${MAX_COLLECTED_BODY_BYTES} bytes`)
    if (!this.#options.budget.acquire(this.#collectedBytes, bytes.length)) return this.#abortAnswer('answers under way hold too many bytes')
    this.#collectedBytes += bytes.length
    this.#chunks.push(bytes)
  }

  #abortAnswer (message: string): void {
    this.#finish({ kind: 'broken', message })
    this.#abortConnection()
  }

  #relayChunk (response: IncomingMessage, bytes: Buffer): void {
    if (this.#hasEnded) return
    if (!this.#sink.handleRelayedChunk(bytes, () => response.resume())) response.pause()
  }

  #handleEnd (response: IncomingMessage, decision: HeadDecision): void {
    if (!response.complete) return this.#finish({ kind: 'broken', message: 'the answer broke off' })
    this.#finish(decision === 'collect' ? { kind: 'collected', body: Buffer.concat(this.#chunks) } : { kind: 'passed' })
  }

  #handleError (error: NodeJS.ErrnoException): void {
    // bytes after a whole answer belong to no request; the answer itself stands
    if (this.#response?.complete === true) return
    const message = error.code === undefined ? error.message : `${error.code}: ${error.message}`
    if (!this.#isConnected) return this.#finish({ kind: 'notSent', message, isRefused: error.code === 'ECONNREFUSED' })
    this.#finish({ kind: error.code?.startsWith('HPE_') === true ? 'garbled' : 'broken', message })
  }

  #finish (end: ExchangeResult): void {
    if (this.#hasEnded) return
    if (end.kind === 'broken' && this.#response?.complete === true && !this.#response.readableEnded) return
    this.#hasEnded = true
    clearTimeout(this.#connectTimer)
    this.#options.signal.removeEventListener('abort', this.#handleAbort)
    this.#options.budget.release(this.#collectedBytes)
    this.#chunks.length = 0
    this.#resolve(end)
  }
}
