import { request as createRequest } from 'node:http'

import { resetRequest } from '../base/resetRequest'
import { TimeLimit } from '../base/timeLimit'
import { watchAnswerHead } from '../protocol/answerHead'
import { readAnswerEnd } from './answerFraming'
import { CHUNK_OVERHEAD_BYTES } from './byteBudget'

import type { Agent, ClientRequest, IncomingMessage, RequestOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '../base/clock'
import type { AnswerEnd } from './answerFraming'
import type { ByteBudget } from './byteBudget'
import type { HeaderList } from './relayRequest'

/** One attempt of a request at an endpoint. */
export interface ExchangeOptions {
  agent: Agent | false
  host: string
  port: number
  method: string
  target: string
  headers: HeaderList
  body: Buffer
  clock: Clock
  /** Milliseconds within which a new connection must be established. */
  connectTimeoutMs: number
  /** Called with a new connection once it is established. */
  handleConnect?: (socket: Socket) => void
  signal: AbortSignal
  /** Limits the bytes that all collected answers hold together. */
  budget: ByteBudget
}

/** How to handle the body of an answer, decided when its head arrives. */
export type HeadDecision = 'collect' | 'pass' | 'reject'

/** Receives an answer as it arrives. */
export interface AnswerSink {
  /**
   * Decides from the head whether the body is collected, relayed as it arrives, or rejected.
   * `isReused`: the connection has had other requests before, whose answers may come again.
   */
  handleHead (status: number, headers: HeaderList, isReused: boolean): HeadDecision
  /** Called with each chunk of a collected body. */
  handleCollectedChunk (bytes: Buffer): void
  /** Handles a chunk of a relayed body. Returning false pauses the answer until `resume` is called. */
  handleRelayedChunk (bytes: Buffer, resume: () => void): boolean
}

/** How an exchange ended, distinguished by what the endpoint may have received. */
export type ExchangeResult =
  | { kind: 'collected', body: Buffer, end: AnswerEnd }
  | { kind: 'passed', end: AnswerEnd }
  | { kind: 'rejected' }
  /** No connection was established, so the endpoint received nothing. `isRefused`: nothing listens at the address. */
  | { kind: 'notSent', message: string, isRefused: boolean }
  /** The connection broke before the answer was complete. */
  | { kind: 'broken', message: string }
  /** The framing of the answer is complete, but its stream ended within an event. */
  | { kind: 'truncated', message: string }
  /** The endpoint sent bytes that violate the protocol. */
  | { kind: 'garbled', message: string }
  | { kind: 'aborted' }

const MAX_COLLECTED_BODY_BYTES = 8_388_608
/** Maximum interim responses (1xx) before an answer; no endpoint has a reason to send more than a few. */
const MAX_INTERIM_RESPONSES = 16

/**
 * Sends a request to an endpoint and passes its answer to `sink`. An answer is complete only when
 * its framing says so; of an answer without framing, the result says that its connection was closed in order.
 * A connection that was reset breaks such an answer.
 *
 * @example
 * const result = await sendToEndpoint(options, { handleHead: () => 'collect', handleCollectedChunk: () => {}, handleRelayedChunk: () => true })
 * if (result.kind === 'collected') console.log(result.body.length)
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
  /** Bytes of memory that the collected chunks take. */
  #heldBytes = 0
  #request: ClientRequest | null = null
  #response: IncomingMessage | null = null
  #socket: Socket | null = null
  #wasReset = false
  #connectLimit: TimeLimit | undefined
  #isConnected = false
  #hasEnded = false
  #interimResponses = 0
  /** Whether this process gave the answer up, also where all of it has arrived. */
  #isGivenUp = false
  #stopWatchingHead = () => {}

  constructor (options: ExchangeOptions, sink: AnswerSink, resolve: (end: ExchangeResult) => void) {
    this.#options = options
    this.#sink = sink
    this.#resolve = resolve
  }

  start (): void {
    const { agent, host, port, method, target, headers, body, signal } = this.#options
    if (signal.aborted) return this.#finish({ kind: 'aborted' })
    // the types allow headers only as an object; Node.js also accepts a flat list
    const requestOptions = { agent, host, port, method, path: target, headers: headers as never, setHost: false, noDelay: true }
    const request = createRequestSafely(requestOptions)
    if (request instanceof Error) return this.#finish({ kind: 'notSent', message: request.message, isRefused: false })
    this.#request = request
    signal.addEventListener('abort', this.#handleAbort, { once: true })
    request.on('socket', socket => {
      this.#socket = socket
      this.#stopWatchingHead = watchAnswerHead(socket, () => this.#rejectBytes('the head of the answer is not valid'))
      // before Node.js closes its side, after which the address is unknown too
      socket.prependListener('end', this.#handleSocketEnd)
      if (!socket.connecting) return this.#handleConnect()
      this.#connectLimit = new TimeLimit(this.#options.clock, this.#options.connectTimeoutMs, () => { if (!this.#isConnected) request.destroy(new Error('connect timeout')) })
      socket.once('connect', () => {
        this.#options.handleConnect?.(socket)
        this.#handleConnect()
      })
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

  #abortConnection (): void {
    if (this.#request !== null) resetRequest(this.#request)
  }

  /**
   * Notes whether the connection that has ended was reset. Where bytes and a reset are read in one turn of the
   * event loop, Node.js reports an orderly end after the bytes. The address of the other side then is no longer
   * known to the system; after an orderly end it is.
   */
  readonly #handleSocketEnd = (): void => {
    this.#wasReset = this.#socket?.remoteAddress === undefined
  }

  #handleConnect (): void {
    this.#isConnected = true
    this.#connectLimit?.cancel()
  }

  #countInterimResponse (): void {
    this.#interimResponses += 1
    if (this.#interimResponses > MAX_INTERIM_RESPONSES) this.#rejectBytes(`the endpoint sent more than ${MAX_INTERIM_RESPONSES} interim responses`)
  }

  #rejectBytes (message: string): void {
    this.#finish({ kind: 'garbled', message })
    this.#abortConnection()
  }

  #handleResponse (response: IncomingMessage): void {
    // of a head that was rejected before the parser read it
    if (this.#hasEnded) return
    this.#response = response
    response.on('error', (error: NodeJS.ErrnoException) => this.#handleError(error))
    const decision = this.#sink.handleHead(response.statusCode ?? 0, response.rawHeaders, this.#request?.reusedSocket === true)
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
    const heldBytes = bytes.length + CHUNK_OVERHEAD_BYTES
    if (!this.#options.budget.acquire(this.#heldBytes, heldBytes)) return this.#abortAnswer('answers in flight exceed the shared buffer limit')
    this.#heldBytes += heldBytes
    this.#collectedBytes += bytes.length
    this.#chunks.push(bytes)
  }

  #abortAnswer (message: string): void {
    this.#isGivenUp = true
    this.#finish({ kind: 'broken', message })
    this.#abortConnection()
  }

  #relayChunk (response: IncomingMessage, bytes: Buffer): void {
    if (this.#hasEnded) return
    if (!this.#sink.handleRelayedChunk(bytes, () => response.resume())) response.pause()
  }

  #handleEnd (response: IncomingMessage, decision: HeadDecision): void {
    if (!response.complete) return this.#finish({ kind: 'broken', message: 'the connection closed before the answer was complete' })
    const end = readAnswerEnd({ method: this.#options.method, status: response.statusCode ?? 0, headers: response.rawHeaders })
    if (end === 'closed' && this.#wasReset) return this.#finish({ kind: 'broken', message: 'the connection was reset' })
    this.#finish(decision === 'collect' ? { kind: 'collected', body: Buffer.concat(this.#chunks), end } : { kind: 'passed', end })
  }

  #handleError (error: NodeJS.ErrnoException): void {
    // bytes after a complete answer belong to no request; the answer itself stays valid
    if (this.#response?.complete === true) return
    const message = error.code === undefined ? error.message : `${error.code}: ${error.message}`
    if (!this.#isConnected) return this.#finish({ kind: 'notSent', message, isRefused: error.code === 'ECONNREFUSED' })
    this.#finish({ kind: error.code?.startsWith('HPE_') === true ? 'garbled' : 'broken', message })
  }

  #finish (end: ExchangeResult): void {
    if (this.#hasEnded) return
    if (end.kind === 'broken' && !this.#isGivenUp && this.#response?.complete === true && !this.#response.readableEnded) return
    this.#hasEnded = true
    this.#connectLimit?.cancel()
    this.#stopWatchingHead()
    this.#socket?.off('end', this.#handleSocketEnd)
    this.#options.signal.removeEventListener('abort', this.#handleAbort)
    this.#options.budget.release(this.#heldBytes)
    this.#chunks.length = 0
    this.#resolve(end)
  }
}

/** Creates a request; returns the error of options that no request can have, such as a port out of range. */
function createRequestSafely (options: RequestOptions): ClientRequest | Error {
  try {
    return createRequest(options)
  } catch (error) {
    return error as Error
  }
}
