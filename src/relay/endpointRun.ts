import { EventSplitter } from './eventSplitter'
import { findHeader } from './headerList'

import type { CallerReply, ReplyHead } from './callerReply'
import type { AnswerHead, EndpointDialect } from './dialects'
import type { AnswerSink, ExchangeEnd, HeadDecision } from './endpointExchange'
import type { HeaderList, RelayRequest } from './relayRequest'

/** Bytes of a collected body that count as progress; an endpoint that stalls may still send a byte now and then. */
const PROGRESS_BYTES = 64
/** Headers that say where an answer's body ends. */
const FRAMING_HEADERS = ['content-length', 'transfer-encoding']

/** Where a stream stands that may go on at another endpoint. */
export interface StreamPosition {
  /** Id of the last event that the caller has; null before the first. */
  lastEventId: number | null
}

/** Why an answer was not taken. */
export type RejectReason = 'wrongRequest' | 'unsigned' | 'encoded' | 'eventOrder' | 'eventTooLarge'

export interface EndpointRunOptions {
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
  handleFirst: () => void
  /** Told of whole events that were sent to the caller. */
  handleEvents: (count: number) => void
  /** Ends the exchange early, since what comes is no answer to the request. */
  abort: (reason: RejectReason) => void
}

/**
 * One answer of an endpoint on its way to the caller. Bytes go out only once it is certain that
 * they belong to this request; of a stream, only whole events.
 */
export class EndpointRun implements AnswerSink {
  readonly #options: EndpointRunOptions
  readonly #splitter = new EventSplitter()
  #head: AnswerHead | null = null
  #rejected: RejectReason | null = null
  #hasFirst = false
  #isFramed = true
  /** Bytes of a collected body since it last counted as moving on. */
  #unmovedBytes = 0

  constructor (options: EndpointRunOptions) {
    this.#options = options
  }

  /** Head of the answer; null before it came. */
  get head (): AnswerHead | null {
    return this.#head
  }

  /** Why the answer was not taken; null while it is good. */
  get rejected (): RejectReason | null {
    return this.#rejected
  }

  handleHead (status: number, headers: HeaderList): HeadDecision {
    const head = this.#options.dialect.readAnswer(status, headers)
    this.#options.handleBytes()
    this.#options.handleProgress()
    this.#head = head
    this.#isFramed = FRAMING_HEADERS.some(name => findHeader(headers, name) !== null)
    this.#rejected = this.#checkHead(head)
    if (this.#rejected !== null) return 'reject'
    this.#options.handleHead(head)
    return isSuccess(status) && head.isEventStream ? 'pass' : 'collect'
  }

  handlePart (bytes: Buffer): void {
    this.#options.handleBytes()
    this.#unmovedBytes += bytes.length
    if (this.#unmovedBytes < PROGRESS_BYTES) return
    this.#unmovedBytes = 0
    this.#options.handleProgress()
  }

  handleData (bytes: Buffer, resume: () => void): boolean {
    this.#options.handleBytes()
    const whole = this.#splitter.push(bytes)
    if (this.#splitter.isOverfull) {
      this.#stop('eventTooLarge')
      return true
    }
    if (whole === null) return true
    if (!this.#recordIds(whole.ids)) {
      this.#stop('eventOrder')
      return true
    }
    if (whole.hasData) this.#options.handleProgress()
    this.#markFirst()
    this.#beginReply()
    this.#options.handleEvents(Math.max(1, whole.ids.length))
    return this.#options.reply.write(whole.bytes, resume)
  }

  /** Sends the caller what a whole answer still holds. */
  completeReply (end: Extract<ExchangeEnd, { kind: 'collected' | 'passed' }>): void {
    const { reply } = this.#options
    this.#markFirst()
    if (end.kind === 'collected') {
      reply.sendWhole(this.#buildReplyHead(), end.body)
      return
    }
    this.#beginReply()
    const rest = this.#splitter.takeRest()
    if (rest.length > 0) reply.write(rest, () => {})
    reply.complete()
  }

  #checkHead (head: AnswerHead): RejectReason | null {
    const { traits } = this.#options.request
    if (head.requestId === null ? !head.isNotRun : head.requestId !== traits.requestId) return 'wrongRequest'
    if (isSuccess(head.status) && !head.isSigned) return 'unsigned'
    return head.headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-encoding') ? 'encoded' : null
  }

  /** Moves the position on; false when an event comes again. */
  #recordIds (ids: number[]): boolean {
    const { position } = this.#options
    for (const id of ids) {
      if (position.lastEventId !== null && id <= position.lastEventId) return false
      position.lastEventId = id
    }
    return true
  }

  #beginReply (): void {
    this.#options.reply.begin(this.#buildReplyHead())
  }

  #buildReplyHead (): ReplyHead {
    const { status, headers } = this.#head as AnswerHead
    return { status, headers, isFramed: this.#isFramed }
  }

  #markFirst (): void {
    if (this.#hasFirst) return
    this.#hasFirst = true
    this.#options.handleFirst()
  }

  #stop (reason: RejectReason): void {
    this.#rejected = reason
    this.#options.abort(reason)
  }
}

export function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}
