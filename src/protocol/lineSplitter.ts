/**
 * Splits a byte stream into lines. Keeps an incomplete last line for the next call.
 *
 * @example
 * const splitter = new LineSplitter({ maxLineLength: 1000 })
 * splitter.push(Buffer.from('{"a":1}\n{"b"')) // ['{"a":1}']
 * splitter.push(Buffer.from(':2}\n')) // ['{"b":2}']
 */
export class LineSplitter {
  readonly #decoder = new TextDecoder()
  readonly #maxLineLength: number
  #rest = ''

  constructor (options: { maxLineLength: number }) {
    this.#maxLineLength = options.maxLineLength
  }

  /**
   * Adds the next bytes and returns the lines that they complete, without line ends. Skips empty lines.
   *
   * @throws RangeError when a line is longer than `maxLineLength` characters
   */
  push (bytes: Buffer): string[] {
    const lines = (this.#rest + this.#decoder.decode(bytes, { stream: true })).split('\n')
    this.#rest = lines.pop() ?? ''
    const longest = Math.max(this.#rest.length, ...lines.map(line => line.length))
    if (longest > this.#maxLineLength) throw new RangeError(`a line is longer than ${this.#maxLineLength} characters`)
    return lines.filter(line => line !== '')
  }
}
