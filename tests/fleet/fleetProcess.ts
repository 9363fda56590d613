import { spawn } from 'node:child_process'

import type { ChildProcess } from 'node:child_process'

const BINARY = 'dist/tanagerwick.cjs'
const START_TIMEOUT_MS = 10_000

/** One line that a process logged. */
export type LogLine = Record<string, unknown> & { event?: string }

/** A process of the product under test, with what it logged. */
export class FleetProcess {
  readonly lines: LogLine[] = []
  readonly #child: ChildProcess
  readonly #exit: Promise<number | null>
  #rest = ''
  #address = ''
  #notify: () => void = () => {}

  constructor (args: string[], secret: string) {
    this.#child = spawn(process.execPath, [BINARY, ...args], {
      env: { ...process.env, TANAGERWICK_FLEET_SECRET: secret },
      stdio: ['ignore', 'pipe', 'inherit']
    })
    this.#child.stdout?.on('data', (bytes: Buffer) => this.#receive(bytes.toString('utf8')))
    this.#exit = new Promise(resolve => this.#child.on('exit', code => resolve(code)))
  }

  /** `host:port` at which the process listens. */
  get address (): string {
    return this.#address
  }

  get url (): string {
    return `http://${this.#address}`
  }

  async waitReady (): Promise<void> {
    const ready = await this.waitLine(line => line.event === 'ready', START_TIMEOUT_MS)
    this.#address = String(ready.listening)
  }

  /** Waits for a logged line, past or to come. */
  async waitLine (matches: (line: LogLine) => boolean, timeoutMs: number): Promise<LogLine> {
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error('the awaited log line did not come')), timeoutMs)
      const check = () => {
        const line = this.lines.find(matches)
        if (line === undefined) return
        clearTimeout(timer)
        resolve(line)
      }
      this.#notify = check
      check()
    })
  }

  /** Sends a signal; SIGKILL, SIGSTOP and SIGCONT provoke failures. */
  kill (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /** Resolves with the exit code, null after a signal. */
  async waitExit (): Promise<number | null> {
    return await this.#exit
  }

  async stop (): Promise<void> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      this.#child.kill('SIGCONT')
      this.#child.kill('SIGKILL')
    }
    await this.#exit
  }

  #receive (text: string): void {
    const lines = (this.#rest + text).split('\n')
    this.#rest = lines.pop() ?? ''
    for (const line of lines) this.lines.push(parseLine(line))
    this.#notify()
  }
}

function parseLine (line: string): LogLine {
  try {
    return JSON.parse(line) as LogLine
  } catch {
    return { text: line }
  }
}
