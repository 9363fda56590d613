import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { createInterface } from 'node:readline'

import { Progress } from '../../src/base/progress'

import type { ChildProcess } from 'node:child_process'
import type { WriteStream } from 'node:fs'

const MAX_TAIL_LINES = 30

/** Fields of one JSON log line. */
export type LogFields = Record<string, unknown>

export interface ManagedProcessOptions {
  /** Name in messages. */
  name: string
  /** Bundle and arguments that follow `node`. */
  args: string[]
  env?: Record<string, string>
  /** File to which every line that the process writes is copied. */
  logFile?: string
  /** Called with each JSON line that the process logs. */
  handleLog?: (fields: LogFields) => void
}

/** A process of a run: started, watched by its log, and ended by its id. */
export class ManagedProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #exit: Promise<number | null>
  readonly #tailLines: string[] = []
  readonly #handleLog: (fields: LogFields) => void
  #logFile: WriteStream | null = null
  readonly #listeners: Array<(address: string) => void> = []
  readonly addresses: string[] = []

  constructor (options: ManagedProcessOptions) {
    this.name = options.name
    this.#handleLog = options.handleLog ?? (() => {})
    this.#child = spawn(process.execPath, options.args, { env: { ...process.env, ...options.env }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#exit = once(this.#child, 'close').then(([code]) => code as number | null)
    if (options.logFile !== undefined) this.#logFile = createWriteStream(options.logFile)
    createInterface({ input: this.#child.stdout! }).on('line', line => this.#handleLine(line))
    createInterface({ input: this.#child.stderr! }).on('line', line => this.#appendLine(line))
  }

  get pid (): number {
    return this.#child.pid!
  }

  /** Last lines that the process wrote. */
  get logTail (): string {
    return this.#tailLines.join('\n')
  }

  /**
   * Waits until the process has logged `count` addresses that it listens on.
   *
   * @throws TimeoutError with the last lines of the process
   */
  async waitForAddresses (count: number, timeoutMs: number): Promise<string[]> {
    const progress = new Progress({ title: `starting ${this.name}`, timeoutMs })
    const exited = this.#exit.then(code => { throw new Error(`${this.name} ended with ${code} before it listened:\n${this.logTail}`) })
    while (this.addresses.length < count) {
      const next = new Promise<string>(resolve => this.#listeners.push(resolve))
      await progress.wait(`${count} addresses of ${this.name}`, Promise.race([next, exited]))
    }
    exited.catch(() => {})
    return this.addresses
  }

  /** Waits for the end; the exit code is null when a signal ended the process. */
  async waitForExit (timeoutMs: number): Promise<number | null> {
    const progress = new Progress({ title: `ending ${this.name}`, timeoutMs })
    return await progress.wait(`${this.name} to exit`, this.#exit)
  }

  sendSignal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  #handleLine (line: string): void {
    this.#appendLine(line)
    const fields = parseFields(line)
    if (fields === null) return
    if (typeof fields.listening === 'string') this.#addAddress(fields.listening)
    this.#handleLog(fields)
  }

  #addAddress (address: string): void {
    this.addresses.push(address)
    for (const notify of this.#listeners.splice(0)) notify(address)
  }

  #appendLine (line: string): void {
    this.#logFile?.write(`${line}\n`)
    this.#tailLines.push(line)
    if (this.#tailLines.length > MAX_TAIL_LINES) this.#tailLines.shift()
  }
}

/** Parses one log line; fields that a logger nests under argument positions come to the top. */
function parseFields (line: string): LogFields | null {
  if (!line.startsWith('{')) return null
  try {
    const parsed = JSON.parse(line) as LogFields
    const nested = Object.entries(parsed).filter(([key, value]) => /^\d+$/.test(key) && typeof value === 'object')
    return Object.assign({}, parsed, ...nested.map(([, value]) => value))
  } catch {
    return null
  }
}
