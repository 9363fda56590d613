import { EventSplitter } from './eventSplitter'
import { findHeader } from './headerList'

import type { CallerReply, ReplyHead } from './callerReply'
import type { AnswerHead, EndpointDialect } from './dialects'
import type { AnswerSink, ExchangeResult, HeadDecision } from './endpointExchange'
import type { HeaderList, RelayRequest } from './relayRequest'

/** Bytes of a collected body that count as progress; an endpoint that stalls may still send a byte now and then. */
const MIN_PROGRESS_BYTES = 64
/** Headers that say where an answer's body ends. */
const FRAMING_HEADERS = ['content-length', 'transfer-encoding']

/** Where a stream stands that may go on at another endpoint. */
export interface StreamPosition {
  /** Id of the last event that the caller has; null before the first. */
  lastEventId: number | null
}

/** Why an answer was not taken. */
export type RejectReason = 'wrongRequest' | 'unsigned' | 'encoded' | 'eventOrder' | 'eventTooLarge'

export interface AnswerForwarderOptions {
  request: RelayRequest
  reply: CallerReply
  dialect: EndpointDialect
  position: StreamPosition
  /** Told of the head of an answer that belongs to the request. */
  handleHead: (head: AnswerHead) => void
  /** Told of each sign that the endpoint is there. */
  handleBytes: () => void
  /** Told when the answer has moved on: its head, whole events with data, or enough of a collected body. */
  handleProgress: () => void
  /** Told once, when the first bytes of the body or the whole answer came. */
  handleFirstBytes: () => void
  /** Told of whole events that were sent to the caller. */
  handleEvents: (count: number) => void
  /** Ends the exchange early, since what comes is no answer to the request. */
  abort: (reason: RejectReason) => void
}

/**
 * One answer of an endpoint on its way to the caller. Bytes go out only once it is certain that
 * they belong to this request; of a stream, only whole events.
 */
export class AnswerForwarder implements AnswerSink {
  readonly #options: AnswerForwarderOptions
  readonly #splitter = new EventSplitter()
  #head: AnswerHead | null = null
  #rejectReason: RejectReason | null = null
  #hasFirstBytes = false
  #isFramed = true
  /** Bytes of a collected body since it last counted as moving on. */
  #bytesSinceProgress = 0

  constructor (options: AnswerForwarderOptions) {
    this.#options = options
  }

  /** Head of the answer; null before it came. */
  get head (): AnswerHead | null {
    return this.#head
  }

  /** Why the answer was not taken; null while it is good. */
  get rejectReason (): RejectReason | null {
    return this.#rejectReason
  }

  handleHead (status: number, headers: HeaderList): HeadDecision {
    const head = this.#options.dialect.readAnswer(status, headers)
    this.#options.handleBytes()
    this.#options.handleProgress()
    this.#head = head
    this.#isFramed = FRAMING_HEADERS.some(name => findHeader(headers, name) !== null)
    this.#rejectReason = this.#checkHead(head)
    if (this.#rejectReason !== null) return 'reject'
    this.#options.handleHead(head)
    return isSuccess(status) && head.isEventStream ? 'pass' : 'collect'
  }

  handleCollectedChunk (bytes: Buffer): void {
    this.#options.handleBytes()
    this.#bytesSinceProgress += bytes.length
    if (this.#bytesSinceProgress < MIN_PROGRESS_BYTES) return
    this.#bytesSinceProgress = 0
    this.#options.handleProgress()
  }

  handleRelayedChunk (bytes: Buffer, resume: () => void): boolean {
    this.#options.handleBytes()
    const events = this.#splitter.push(bytes)
    if (this.#splitter.isOverLimit) {
      this.#rejectAnswer('eventTooLarge')
      return true
    }
    if (events === null) return true
    if (!this.#advancePosition(events.ids)) {
      this.#rejectAnswer('eventOrder')
      return true
    }
    if (events.hasData) this.#options.handleProgress()
    this.#markFirstBytes()
    this.#sendReplyHead()
    this.#options.handleEvents(Math.max(1, events.ids.length))
    return this.#options.reply.write(events.bytes, resume)
  }

  /** Sends the caller what a whole answer still holds. */
  completeReply (end: Extract<ExchangeResult, { kind: 'collected' | 'passed' }>): void {
    const { reply } = this.#options
    this.#markFirstBytes()
    if (end.kind === 'collected') {
      reply.sendComplete(this.#buildReplyHead(), end.body)
      return
    }
    this.#sendReplyHead()
    const remainder = this.#splitter.takeRemainder()
    if (remainder.length > 0) reply.write(remainder, () => {})
    reply.complete()
  }

  #checkHead (head: AnswerHead): RejectReason | null {
    const { traits } = this.#options.request
    if (head.requestId === null ? !head.isNotRun : head.requestId !== traits.requestId) return 'wrongRequest'
    if (isSuccess(head.status) && !head.isSigned) return 'unsigned'
    return head.headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-encoding') ? 'encoded' : null
  }

  /** Moves the position on; false when an event comes again. */
  #advancePosition (ids: number[]): boolean {
    const { position } = this.#options
    for (const id of ids) {
      if (position.lastEventId !== null && id <= position.lastEventId) return false
      position.lastEventId = id
    }
    return true
  }

  #sendReplyHead (): void {
    this.#options.reply.sendHead(this.#buildReplyHead())
  }

  #buildReplyHead (): ReplyHead {
    const { status, headers } = this.#head as AnswerHead
    return { status, headers, isFramed: this.#isFramed }
  }

  #markFirstBytes (): void {
    if (this.#hasFirstBytes) return
    this.#hasFirstBytes = true
    this.#options.handleFirstBytes()
  }

  #rejectAnswer (reason: RejectReason): void {
    this.#rejectReason = reason
    this.#options.abort(reason)
  }
}

export function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}
