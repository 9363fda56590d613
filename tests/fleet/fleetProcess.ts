import { ManagedProcess } from '../../standins/shared/managedProcess'

import type { LogFields } from '../../standins/shared/managedProcess'

const TANAGERWICK_BUNDLE = 'dist/tanagerwick.cjs'
const START_TIMEOUT_MS = 10_000
const EXIT_TIMEOUT_MS = 15_000
const POLL_MS = 20

/** A process of the product under test, with what it logged. */
export class FleetProcess {
  readonly lines: LogFields[] = []
  readonly #process: ManagedProcess
  #address = ''

  constructor (args: string[], secret: string) {
    this.#process = new ManagedProcess({
      name: args.slice(0, 3).join(' '),
      args: [TANAGERWICK_BUNDLE, ...args],
      env: { TANAGERWICK_FLEET_SECRET: secret },
      handleLog: fields => this.lines.push(fields)
    })
  }

  /** `host:port` at which the process listens. */
  get address (): string {
    return this.#address
  }

  get url (): string {
    return `http://${this.#address}`
  }

  async waitReady (): Promise<void> {
    const [address] = await this.#process.waitForAddresses(1, START_TIMEOUT_MS)
    this.#address = address as string
  }

  /** Waits for a logged line, past or to come. */
  async waitForLogLine (matches: (line: LogFields) => boolean, timeoutMs: number): Promise<void> {
    const endMs = Date.now() + timeoutMs
    while (!this.lines.some(matches)) {
      if (Date.now() > endMs) throw new Error(`timed out waiting for a log line of ${this.#process.name}:\n${this.#process.logTail}`)
      await new Promise(resolve => setTimeout(resolve, POLL_MS))
    }
  }

  /** Sends a signal; SIGKILL, SIGSTOP and SIGCONT provoke failures. */
  kill (signal: NodeJS.Signals): void {
    this.#process.sendSignal(signal)
  }

  /** Resolves with the exit code, null after a signal. */
  async waitExit (): Promise<number | null> {
    return await this.#process.waitForExit(EXIT_TIMEOUT_MS)
  }

  async stop (): Promise<void> {
    this.kill('SIGCONT')
    this.kill('SIGKILL')
    await this.waitExit()
  }
}
