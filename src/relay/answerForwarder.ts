import { isFinalStatus } from '../protocol/answerStatus'
import { CHUNK_OVERHEAD_BYTES } from './byteBudget'
import { EventSplitter, selectEventsBefore } from './eventSplitter'

import type { ByteBudget } from './byteBudget'
import type { CallerReply, ReplyHead } from './callerReply'
import type { AnswerHead, EndpointDialect } from './dialects'
import type { CompleteEvents, StreamRemainder } from './eventSplitter'
import type { AnswerSink, ExchangeResult, HeadDecision } from './endpointExchange'
import type { HeaderList, RelayRequest } from './relayRequest'

/** Minimum bytes of a collected body that count as progress; a stalled endpoint may still send a byte now and then. */
const MIN_PROGRESS_BYTES = 64
/**
 * Maximum bytes of complete events that bring no data, such as comments and empty lines, between two that do.
 * A comment that keeps the connection open has a few bytes and comes every few seconds.
 */
const MAX_BYTES_WITHOUT_DATA = 65_536

/** Position at which another endpoint can resume a stream. */
export interface StreamPosition {
  /** Id of the last event that the caller has, from this reply or from the stream that it resumes; null before the first. */
  lastEventId: number | null
  /** Version of the endpoint software that wrote the events that the caller has; null when unknown, or before the first. */
  version: string | null
}

/** Why an answer was rejected. */
export type RejectReason = 'invalidStatus' | 'wrongRequest' | 'unsigned' | 'encoded' | 'eventOrder' | 'eventTooLarge' | 'noData' | 'notContinued'

export interface AnswerForwarderOptions {
  request: RelayRequest
  reply: CallerReply
  dialect: EndpointDialect
  position: StreamPosition
  /** Limits the bytes that the incomplete events of all answers hold together. */
  budget: ByteBudget
  /** Called with the head of an answer that belongs to the request. */
  handleHead: (head: AnswerHead) => void
  /** Called whenever bytes arrive from the endpoint. */
  handleBytes: () => void
  /** Called when the answer makes progress: its head, complete events with data, or enough bytes of a collected body. */
  handleProgress: () => void
  /** Called once, when the first events or the complete answer have arrived. */
  handleFirstEvent: () => void
  /** Called when complete events are sent to the caller, with the number of their ids, or 1 if none has an id. */
  handleEvents: (count: number) => void
  /** Ends the exchange early, because the bytes received are no valid answer to the request. */
  abort: (reason: RejectReason) => void
}

/**
 * Forwards one answer of an endpoint to the caller. Sends bytes only once it is certain that they
 * belong to this request. Of a stream, sends only complete events, and what is left once it has ended.
 */
export class AnswerForwarder implements AnswerSink {
  readonly #options: AnswerForwarderOptions
  readonly #splitter = new EventSplitter()
  #head: AnswerHead | null = null
  #rejectReason: RejectReason | null = null
  /** Whether the caller already has a part of the answer, from an earlier attempt. */
  readonly #isContinuation: boolean
  #hasFirstEvent = false
  /** Bytes of a collected body received since the last progress. */
  #bytesSinceProgress = 0
  /** Bytes and overhead of the complete events since the last one with data. */
  #bytesWithoutData = 0
  /** Bytes of the budget that the incomplete event holds. */
  #heldBytes = 0

  constructor (options: AnswerForwarderOptions) {
    this.#options = options
    this.#isContinuation = options.reply.hasStarted
  }

  /** Head of the answer; null before it arrives. */
  get head (): AnswerHead | null {
    return this.#head
  }

  /** Why the answer was rejected; null while it is valid. */
  get rejectReason (): RejectReason | null {
    return this.#rejectReason
  }

  handleHead (status: number, headers: HeaderList, isReused: boolean): HeadDecision {
    const head = this.#options.dialect.readAnswer(status, headers)
    this.#options.handleBytes()
    this.#options.handleProgress()
    this.#head = head
    this.#rejectReason = this.#checkHead(head, isReused)
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
    const sound = events === null ? null : this.#selectSound(events)
    const isFlowing = sound === null || this.#forwardEvents(sound, resume)
    if (sound !== events) this.#rejectAnswer('eventOrder')
    else if (!this.#reserveRemainder()) this.#rejectAnswer('eventTooLarge')
    else if (this.#bytesWithoutData > MAX_BYTES_WITHOUT_DATA) this.#rejectAnswer('noData')
    return isFlowing
  }

  /** Releases what the answer holds in memory. */
  close (): void {
    this.#options.budget.release(this.#heldBytes)
    this.#heldBytes = 0
  }

  /** What follows the last complete event of a stream. */
  get streamRemainder (): StreamRemainder {
    return this.#splitter.remainder
  }

  /** Sends the rest of a complete answer to the caller. */
  completeReply (end: Extract<ExchangeResult, { kind: 'collected' | 'passed' }>): void {
    const { reply } = this.#options
    this.#markFirstEvent()
    if (end.kind === 'collected') {
      reply.sendComplete(this.#buildReplyHead(), end.body)
      return
    }
    this.#sendReplyHead()
    const remainder = this.#splitter.takeRemainder()
    if (remainder.length > 0) reply.write(remainder, () => {})
    reply.complete()
  }

  #checkHead (head: AnswerHead, isReused: boolean): RejectReason | null {
    const { traits } = this.#options.request
    if (!isFinalStatus(head.status)) return 'invalidStatus'
    // on a reused connection, a refusal without an id may be that of an earlier request
    const isOwn = head.requestId === null ? head.isNotRun && !isReused : head.requestId === traits.requestId
    if (!isOwn) return 'wrongRequest'
    if (isSuccess(head.status) && !head.isSigned) return 'unsigned'
    if (isSuccess(head.status) && this.#isContinuation && !this.#canContinue(head)) return 'notContinued'
    return head.headers.some((name, index) => index % 2 === 0 && name.toLowerCase() === 'content-encoding') ? 'encoded' : null
  }

  /** Returns whether an answer can go on with what the caller already has: as a stream from a known position. */
  #canContinue (head: AnswerHead): boolean {
    return head.isEventStream && this.#options.position.lastEventId !== null
  }

  /** Returns the events up to the first one that is out of order; null when none comes before that. */
  #selectSound (events: CompleteEvents): CompleteEvents | null {
    const { ids } = events
    // without ids nobody can tell where in the stream the events belong
    if (this.#isContinuation && events.hasData && ids.length === 0) return null
    const badIndex = ids.findIndex((id, index) => id <= (ids[index - 1] ?? this.#options.position.lastEventId ?? -Infinity))
    return badIndex === -1 ? events : selectEventsBefore(events, badIndex)
  }

  /** Sends events to the caller, and moves the position behind them. */
  #forwardEvents ({ bytes, ids, hasData }: CompleteEvents, resume: () => void): boolean {
    const { reply, position, handleProgress, handleEvents } = this.#options
    this.#bytesWithoutData = hasData ? 0 : this.#bytesWithoutData + bytes.length + CHUNK_OVERHEAD_BYTES
    if (hasData) handleProgress()
    this.#markFirstEvent()
    this.#sendReplyHead()
    handleEvents(Math.max(1, ids.length))
    const isFlowing = reply.write(bytes, resume)
    position.lastEventId = ids.at(-1) ?? position.lastEventId
    return isFlowing
  }

  /** Accounts for the incomplete event. Returns false when it is too large, or all answers hold too much. */
  #reserveRemainder (): boolean {
    const { heldBytes, isOverLimit } = this.#splitter
    if (isOverLimit || !this.#options.budget.update(this.#heldBytes, heldBytes)) return false
    this.#heldBytes = heldBytes
    return true
  }

  #sendReplyHead (): void {
    this.#options.reply.sendHead(this.#buildReplyHead())
  }

  #buildReplyHead (): ReplyHead {
    const { status, headers } = this.#head as AnswerHead
    return { status, headers }
  }

  #markFirstEvent (): void {
    if (this.#hasFirstEvent) return
    this.#hasFirstEvent = true
    this.#options.handleFirstEvent()
  }

  #rejectAnswer (reason: RejectReason): void {
    this.#rejectReason = reason
    this.#options.abort(reason)
  }
}

export function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}
