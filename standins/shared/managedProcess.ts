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
  /** Name of the process in error messages. */
  name: string
  /** Path of the bundle and its arguments, after `node`. */
  args: string[]
  env?: Record<string, string>
  /** File that receives every output line of the process. */
  logFile?: string
  /** Called with each JSON log line of the process. */
  handleLog?: (fields: LogFields) => void
}

/** Starts a child process, reads its log lines and sends it signals. */
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

  /** Returns the last output lines of the process. */
  get logTail (): string {
    return this.#tailLines.join('\n')
  }

  /**
   * Waits until the process has logged `count` listening addresses.
   *
   * @throws TimeoutError when the process does not listen in time
   * @throws Error with the last output lines when the process exits first
   */
  async waitForAddresses (count: number, timeoutMs: number): Promise<string[]> {
    const progress = new Progress({ title: `starting ${this.name}`, timeoutMs })
    const exited = this.#exit.then(code => { throw new Error(`${this.name} exited with code ${code} before it listened:\n${this.logTail}`) })
    while (this.addresses.length < count) {
      const next = new Promise<string>(resolve => this.#listeners.push(resolve))
      await progress.wait(`${count} addresses of ${this.name}`, Promise.race([next, exited]))
    }
    exited.catch(() => {})
    return this.addresses
  }

  /** Waits for the process to exit; returns its exit code, or null if a signal killed it. */
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

/** Parses one log line. Fields nested under an argument position of the logger move to the top level. */
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
