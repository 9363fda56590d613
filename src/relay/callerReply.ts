import type { ServerResponse } from 'node:http'
import type { CallerDialect } from './dialects'
import type { HeaderList } from './relayRequest'
import type { Refusal } from '../protocol/errorBody'

/** How a reply ended, as the caller saw it. */
export type ReplyEnd = 'open' | 'whole' | 'cut' | 'callerLeft'

/** The head of a reply whose body an endpoint made. */
export interface ReplyHead {
  status: number
  headers: HeaderList
  /**
   * Whether the endpoint gave the body a length or chunks. One without ends with its connection,
   * and is passed on so: nobody here can vouch that it is whole.
   */
  isFramed: boolean
}

/**
 * The one reply to a request. It ends once: whole, or cut so that the caller can tell that
 * something is missing.
 */
export class CallerReply {
  readonly #response: ServerResponse
  readonly #dialect: CallerDialect
  readonly #controller = new AbortController()
  #requestId: string | null = null
  #end: ReplyEnd = 'open'
  #hasStarted = false
  #sentBytes = 0
  #isFramed = true

  constructor (response: ServerResponse, dialect: CallerDialect) {
    this.#response = response
    this.#dialect = dialect
    response.on('error', () => {})
    response.once('close', () => this.#handleClose())
  }

  /** Fires when the caller has left before the reply was whole. */
  get signal (): AbortSignal {
    return this.#controller.signal
  }

  /** Whether the head of the reply was sent. */
  get hasStarted (): boolean {
    return this.#hasStarted
  }

  get end (): ReplyEnd {
    return this.#end
  }

  get sentBytes (): number {
    return this.#sentBytes
  }

  /** Names the request that later refusals belong to. */
  setRequestId (requestId: string): void {
    this.#requestId = requestId
  }

  /** Sends a whole reply. */
  sendComplete (head: ReplyHead, body: Buffer): void {
    if (this.#end !== 'open') return
    const headers = head.isFramed ? [...head.headers, 'Content-Length', String(body.length)] : head.headers
    this.sendHead({ ...head, headers })
    this.#end = 'whole'
    this.#sentBytes += body.length
    this.#response.end(body)
  }

  /** Sends the refusal as the whole reply, or cuts a reply that has begun. */
  refuse (refusal: Refusal): void {
    if (this.#hasStarted) return this.abort()
    const { status, headers, body } = this.#dialect.buildRefusal(refusal, this.#requestId)
    this.sendComplete({ status, headers, isFramed: true }, body)
  }

  /** Sends the head of a reply whose body follows in parts. */
  sendHead (head: ReplyHead): void {
    if (this.#end !== 'open' || this.#hasStarted) return
    this.#hasStarted = true
    this.#isFramed = head.isFramed
    if (!head.isFramed) {
      this.#response.useChunkedEncodingByDefault = false
      this.#response.shouldKeepAlive = false
    }
    this.#response.writeHead(head.status, head.headers)
  }

  /** Sends a part; false when the caller is slow to read, `handleDrain` tells when it goes on. */
  write (bytes: Buffer, handleDrain: () => void): boolean {
    if (this.#end !== 'open') return true
    this.#sentBytes += bytes.length
    const isFlowing = this.#response.write(bytes)
    if (!isFlowing) this.#response.once('drain', handleDrain)
    return isFlowing
  }

  /** Ends a reply in parts as whole. */
  complete (): void {
    if (this.#end !== 'open') return
    this.#end = 'whole'
    this.#response.end()
  }

  /** Ends the reply by closing its connection, so that it cannot pass for whole. */
  abort (): void {
    if (this.#end !== 'open') return
    this.#end = 'cut'
    // without a length an orderly close would look like the end of the body
    if (this.#isFramed) this.#response.destroy()
    else this.#response.socket?.resetAndDestroy()
  }

  #handleClose (): void {
    if (this.#end !== 'open') return
    this.#end = 'callerLeft'
    this.#controller.abort()
  }
}
