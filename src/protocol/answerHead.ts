import type { Socket } from 'node:net'

/** How far an answer's head has been read: more is to come, it is whole, or it is not valid. */
export type HeadProgress = 'partial' | 'whole' | 'invalid'

type HeadState = 'statusLine' | 'lineStart' | 'name' | 'value' | 'lineFeed' | 'lastLineFeed' | 'whole' | 'invalid'

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
const ZERO = 0x30
/** Position of the status code in a status line, `HTTP/1.1 200 OK`. */
const STATUS_START = 9
const STATUS_END = 12
const HTTP_SWITCHING_PROTOCOLS = 101
const HTTP_OK = 200
/** Whether a byte may stand in the name of a field (RFC 9110, section 5.6.2). */
const IS_TOKEN = Uint8Array.from({ length: 256 }, (_, byte) => /[!#$%&'*+\-.^_`|~0-9A-Za-z]/.test(String.fromCharCode(byte)) ? 1 : 0)

/**
 * Checks the lines of an answer's head as they arrive, and of the interim heads before it: each ends with CRLF, and each
 * field has a name of valid characters. HTTP parsers differ in what they accept instead, and with it in where the body begins.
 *
 * @example
 * new AnswerHeadChecker().push(Buffer.from('HTTP/1.1 200 OK\r\nContent-Length : 5\r\n')) // 'invalid'
 */
export class AnswerHeadChecker {
  #state: HeadState = 'statusLine'
  #lineBytes = 0
  #status = 0

  push (bytes: Uint8Array): HeadProgress {
    for (let index = 0; index < bytes.length; index++) {
      this.#state = this.#read(bytes[index]!)
      if (this.#state === 'whole' || this.#state === 'invalid') return this.#state
    }
    return 'partial'
  }

  #read (byte: number): HeadState {
    switch (this.#state) {
      case 'statusLine':
        if (this.#lineBytes >= STATUS_START && this.#lineBytes < STATUS_END) this.#status = 10 * this.#status + byte - ZERO
        this.#lineBytes += 1
        return this.#readText(byte)
      case 'lineStart': return byte === CARRIAGE_RETURN ? 'lastLineFeed' : this.#readName(byte)
      case 'name': return byte === COLON ? 'value' : this.#readName(byte)
      case 'value': return this.#readText(byte)
      case 'lineFeed': return byte === LINE_FEED ? 'lineStart' : 'invalid'
      case 'lastLineFeed': return byte === LINE_FEED ? this.#endHead() : 'invalid'
      case 'whole':
      case 'invalid': return this.#state
    }
  }

  #readName (byte: number): HeadState {
    return IS_TOKEN[byte] === 1 ? 'name' : 'invalid'
  }

  #readText (byte: number): HeadState {
    if (byte === CARRIAGE_RETURN) return 'lineFeed'
    return byte === LINE_FEED ? 'invalid' : this.#state
  }

  #endHead (): HeadState {
    const isInterim = this.#status < HTTP_OK && this.#status !== HTTP_SWITCHING_PROTOCOLS
    this.#status = 0
    this.#lineBytes = 0
    return isInterim ? 'statusLine' : 'whole'
  }
}

/**
 * Checks the head of the next answer on a connection before the HTTP parser reads it. Calls `handleInvalid` at the first byte that
 * is not valid. Returns a function that ends the check.
 */
export function watchAnswerHead (socket: Socket, handleInvalid: () => void): () => void {
  const head = new AnswerHeadChecker()
  const stop = () => { socket.off('data', handleBytes) }
  const handleBytes = (bytes: Buffer) => {
    const progress = head.push(bytes)
    if (progress !== 'partial') stop()
    if (progress === 'invalid') handleInvalid()
  }
  socket.prependListener('data', handleBytes)
  return stop
}
