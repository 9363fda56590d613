import { isBodiless } from './answerFraming'

import type { ServerResponse } from 'node:http'
import type { CallerDialect } from './dialects'
import type { HeaderList } from './relayRequest'
import type { Refusal } from '../protocol/errorBody'

/** State of a reply, as the caller sees it. */
export type ReplyEnd = 'open' | 'whole' | 'cut' | 'callerLeft'

/** Who ended a reply that is not whole: its caller, this gateway, because there is no whole answer, or the end of a planned stop. */
export type ReplyEnder = 'caller' | 'gateway' | 'stop'

/** How far a request and its reply have come. */
export type ReplyStage = 'reading' | 'waiting' | 'sent' | 'answering' | 'delivering'

/** Counts the bytes of a reply that the system has not taken. */
export interface ReplyHolding {
  setReplyBytes: (bytes: number) => void
  close: () => void
}

/** Bytes below which the body of a complete reply is not counted. */
const MIN_COUNTED_BYTES = 1024

/** Status and headers of a reply whose body comes from an endpoint. */
export interface ReplyHead {
  status: number
  headers: HeaderList
}

/**
 * Writes the reply to one request. The reply ends once: complete, or cut in a way that the caller can
 * detect. Its body has a length or comes in chunks, whatever the framing of the endpoint's answer, so that
 * it never looks complete where this process stops or is killed. A caller that knows no chunks sees the
 * end of its connection instead.
 */
export class CallerReply {
  readonly #response: ServerResponse
  readonly #dialect: CallerDialect
  readonly #controller = new AbortController()
  /** Monotonic milliseconds at which the head of the request was read. */
  readonly arrivedAtMs: number
  /** Id of the endpoint that the request was last sent to; null before. */
  endpointId: string | null = null
  /** Counts the bytes of the reply that the system has not taken; null when nothing does. */
  #holding: ReplyHolding | null = null
  #requestId: string | null = null
  #isAdmitted = false
  #end: ReplyEnd = 'open'
  #hasStarted = false
  #sentBytes = 0

  constructor (response: ServerResponse, dialect: CallerDialect, arrivedAtMs: number) {
    this.#response = response
    this.#dialect = dialect
    this.arrivedAtMs = arrivedAtMs
    response.on('error', () => {})
    response.once('close', () => this.#handleClose())
  }

  /** Aborts when the caller disconnects before the reply is complete. */
  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** Whether the status and headers were sent. */
  get hasStarted (): boolean {
    return this.#hasStarted
  }

  get end (): ReplyEnd {
    return this.#end
  }

  get sentBytes (): number {
    return this.#sentBytes
  }

  get requestId (): string | null {
    return this.#requestId
  }

  /** Whether all bytes of the reply were handed to the system. */
  get isWritten (): boolean {
    return this.#response.writableFinished
  }

  /** Bytes of the reply that the system has not taken yet. */
  get unwrittenBytes (): number {
    return this.#response.writableLength
  }

  get stage (): ReplyStage {
    if (this.#end === 'whole') return 'delivering'
    if (this.#hasStarted) return 'answering'
    if (this.endpointId !== null) return 'sent'
    return this.#isAdmitted ? 'waiting' : 'reading'
  }

  /** Sets the request id that later refusals carry. */
  setRequestId (requestId: string): void {
    this.#requestId = requestId
  }

  /** Sets what counts the bytes of the reply that the system has not taken, until the reply is closed. */
  setHolding (holding: ReplyHolding): void {
    this.#holding = holding
    this.#response.once('close', () => holding.close())
  }

  /** Records that the request was read and is allowed. */
  recordAdmitted (): void {
    this.#isAdmitted = true
  }

  /** Sends a complete reply. */
  sendComplete (head: ReplyHead, body: Buffer): void {
    if (this.#end !== 'open') return
    this.sendHead(isBodiless(this.#response.req.method ?? '', head.status) ? head : { ...head, headers: [...head.headers, 'Content-Length', String(body.length)] })
    this.#end = 'whole'
    this.#sentBytes += body.length
    this.#response.end(body)
    if (body.length < MIN_COUNTED_BYTES) return
    this.#holding?.setReplyBytes(body.length)
    this.#response.once('finish', () => this.#holding?.setReplyBytes(0))
  }

  /** Sends the refusal as the complete reply, or cuts a reply that has started. */
  refuse (refusal: Refusal): void {
    if (this.#hasStarted) return this.abort()
    const { status, headers, body } = this.#dialect.buildRefusal(refusal, this.#requestId)
    this.sendComplete({ status, headers }, body)
  }

  /** Sends the status and headers of a reply whose body follows in chunks. */
  sendHead (head: ReplyHead): void {
    if (this.#end !== 'open' || this.#hasStarted) return
    this.#hasStarted = true
    this.#response.writeHead(head.status, head.headers)
  }

  /** Sends a chunk. Returns false when the caller reads slowly; `handleDrain` is called once it has caught up. */
  write (bytes: Buffer, handleDrain: () => void): boolean {
    if (this.#end !== 'open') return true
    this.#sentBytes += bytes.length
    const isFlowing = this.#response.write(bytes)
    if (isFlowing) return true
    this.#holding?.setReplyBytes(this.#response.writableLength)
    this.#response.once('drain', () => {
      this.#holding?.setReplyBytes(0)
      handleDrain()
    })
    return false
  }

  /** Ends a reply that was sent in chunks as complete. */
  complete (): void {
    if (this.#end !== 'open') return
    this.#end = 'whole'
    this.#response.end()
  }

  /** Cuts the reply by closing its connection, so that the caller cannot take it for complete. */
  abort (): void {
    if (this.#end !== 'open') return
    this.#end = 'cut'
    // without chunks, an orderly close would look like the end of the body
    if (this.#response.useChunkedEncodingByDefault) this.#response.destroy()
    else this.#response.socket?.resetAndDestroy()
  }

  /** Announces with the reply that its connection is closed after it. */
  setLast (): void {
    this.#response.shouldKeepAlive = false
  }

  /** Cuts a reply that its caller does not read, also one that has ended here. */
  destroyUnread (): void {
    if (this.#end === 'open') this.#end = 'cut'
    // a reply that waits behind another one has no socket of its own
    this.#response.req.socket.resetAndDestroy()
  }

  #handleClose (): void {
    if (this.#end !== 'open') return
    this.#end = 'callerLeft'
    this.#controller.abort()
  }
}
