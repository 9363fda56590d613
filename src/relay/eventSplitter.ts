import { CHUNK_OVERHEAD_BYTES } from './byteBudget'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const MAX_EVENT_BYTES = 1_048_576
const COLON = 0x3a
/** Line ends of event streams: CRLF, LF and CR. */
const LINE_END = /\r\n|\n|\r/
/** Bytes before a line end that decide whether its line is empty. */
const EMPTY_LINE_LOOKBACK_BYTES = 2

/** Complete events of a stream, byte for byte as received. */
export interface CompleteEvents {
  bytes: Buffer
  /** Ids of the events in `bytes`, in order. */
  ids: number[]
  /** Whether any of them carries data; a comment keeps a connection open but is no progress. */
  hasData: boolean
}

/** What follows the last complete event: nothing but complete comments, a comment whose line has not ended, or a part of an event. */
export type StreamRemainder = 'none' | 'comment' | 'event'

/**
 * Splits the bytes of an event stream (WHATWG HTML, server-sent events) after complete events. A
 * stream that breaks off within an event can then be resumed at another endpoint after the last
 * complete event. The bytes themselves are not changed.
 *
 * @example
 * const splitter = new EventSplitter()
 * splitter.push(Buffer.from('id: 4\ndata: a\n\nid: 5\nda')) // { bytes: 'id: 4\ndata: a\n\n', ids: [4], hasData: true }
 */
export class EventSplitter {
  /** Bytes of the incomplete event, as they arrived; joined only once it is complete. */
  #chunks: Buffer[] = []
  #pendingBytes = 0
  /** Last bytes received, with which the next ones may form an empty line. */
  #tail: Buffer = Buffer.alloc(0)

  /** Whether the incomplete event exceeds the size limit of an event. */
  get isOverLimit (): boolean {
    return this.#pendingBytes > MAX_EVENT_BYTES
  }

  /** What the bytes since the last complete event hold. */
  get remainder (): StreamRemainder {
    return readRemainder(Buffer.concat(this.#chunks))
  }

  /** Bytes of memory that the incomplete event takes. */
  get heldBytes (): number {
    return this.#pendingBytes + CHUNK_OVERHEAD_BYTES * this.#chunks.length
  }

  /** Adds bytes and returns the events that they complete; null when none is complete. */
  push (bytes: Buffer): CompleteEvents | null {
    const seen = this.#tail.length === 0 ? bytes : Buffer.concat([this.#tail, bytes])
    const end = findLastEventEnd(seen, this.#tail.length)
    const isComplete = end > 0
    this.#tail = seen.subarray(-EMPTY_LINE_LOOKBACK_BYTES)
    this.#chunks.push(bytes)
    this.#pendingBytes += bytes.length
    if (!isComplete) return null
    const all = this.takeRemainder()
    const remainder = all.subarray(all.length - (seen.length - end))
    if (remainder.length > 0) {
      this.#chunks = [remainder]
      this.#pendingBytes = remainder.length
    }
    return parseEvents(all.subarray(0, all.length - remainder.length))
  }

  /** Removes and returns the incomplete event that is left when the stream has ended. */
  takeRemainder (): Buffer {
    const remainder = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks)
    this.#chunks = []
    this.#pendingBytes = 0
    return remainder
  }
}

/**
 * Returns the events before the one that has the id at `idIndex`; null when that is the first one.
 *
 * @example
 * selectEventsBefore({ bytes: Buffer.from('id: 4\ndata: a\n\nid: 4\ndata: a\n\n'), ids: [4, 4], hasData: true }, 1) // the first event
 */
export function selectEventsBefore ({ bytes }: CompleteEvents, idIndex: number): CompleteEvents | null {
  let ids = 0
  let eventStart = 0
  for (let lineStart = 0; lineStart < bytes.length;) {
    const lineEnd = findLineEnd(bytes, lineStart)
    if (parseId(bytes.toString('latin1', lineStart, lineEnd)) !== null) {
      if (ids === idIndex) break
      ids += 1
    }
    const isEmpty = lineEnd === lineStart
    lineStart = findNextLine(bytes, lineEnd)
    if (isEmpty) eventStart = lineStart
  }
  return eventStart === 0 ? null : parseEvents(bytes.subarray(0, eventStart))
}

function parseEvents (bytes: Buffer): CompleteEvents {
  const lines = bytes.toString('latin1').split(LINE_END)
  return { bytes, ids: parseIds(lines), hasData: lines.some(line => line.startsWith('data')) }
}

function parseIds (lines: readonly string[]): number[] {
  const ids: number[] = []
  for (const line of lines) {
    const id = parseId(line)
    if (id !== null) ids.push(id)
  }
  return ids
}

function parseId (line: string): number | null {
  const match = /^id: ?(\d+)$/.exec(line)
  return match === null ? null : Number(match[1])
}

function readRemainder (bytes: Buffer): StreamRemainder {
  for (let lineStart = 0; lineStart < bytes.length;) {
    const lineEnd = findLineEnd(bytes, lineStart)
    const isField = lineEnd > lineStart && bytes[lineStart] !== COLON
    if (isField) return 'event'
    if (lineEnd === bytes.length) return 'comment'
    lineStart = findNextLine(bytes, lineEnd)
  }
  return 'none'
}

/** Returns the index of the first byte of the line's end; the length where the line has not ended. */
function findLineEnd (bytes: Buffer, lineStart: number): number {
  let index = lineStart
  while (index < bytes.length && bytes[index] !== LINE_FEED && bytes[index] !== CARRIAGE_RETURN) index++
  return index
}

function findNextLine (bytes: Buffer, lineEnd: number): number {
  return bytes[lineEnd] === CARRIAGE_RETURN && bytes[lineEnd + 1] === LINE_FEED ? lineEnd + 2 : lineEnd + 1
}

/** Returns the index behind the last byte, at or behind `start`, that ends an event; 0 when there is none. */
function findLastEventEnd (bytes: Buffer, start: number): number {
  for (let index = bytes.length - 1; index >= start; index--) {
    if (isEmptyLineEnd(bytes, index)) return index + 1
  }
  return 0
}

/** Returns whether the byte ends an empty line. Of a CRLF, both bytes do, because the LF may not have arrived yet. */
function isEmptyLineEnd (bytes: Buffer, index: number): boolean {
  const before = bytes[index - 1]
  switch (bytes[index]) {
    case CARRIAGE_RETURN: return isLineEnd(before)
    case LINE_FEED: return before === LINE_FEED || (before === CARRIAGE_RETURN && isLineEnd(bytes[index - 2]))
    default: return false
  }
}

function isLineEnd (byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN
}
