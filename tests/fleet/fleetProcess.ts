import { ManagedProcess } from '../../standins/shared/managedProcess'

import type { LogFields } from '../../standins/shared/managedProcess'

const TANAGERWICK_BUNDLE = 'dist/tanagerwick.cjs'
const START_TIMEOUT_MS = 10_000
const EXIT_TIMEOUT_MS = 15_000
const POLL_MS = 20

/** A gateway or sidecar process under test and its log lines. */
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

  /** Returns the `host:port` on which the process listens. */
  get address (): string {
    return this.#address
  }

  get url (): string {
    return `http://${this.#address}`
  }

  async waitForReady (): Promise<void> {
    const [address] = await this.#process.waitForAddresses(1, START_TIMEOUT_MS)
    this.#address = address as string
  }

  /** Waits until a past or future log line matches. */
  async waitForLogLine (matches: (line: LogFields) => boolean, timeoutMs: number): Promise<void> {
    const endMs = Date.now() + timeoutMs
    while (!this.lines.some(matches)) {
      if (Date.now() > endMs) throw new Error(`timed out waiting for a log line of ${this.#process.name}:\n${this.#process.logTail}`)
      await new Promise(resolve => setTimeout(resolve, POLL_MS))
    }
  }

  /** Sends a signal; SIGKILL simulates a crash, SIGSTOP and SIGCONT a pause. */
  kill (signal: NodeJS.Signals): void {
    this.#process.sendSignal(signal)
  }

  /** Waits for the exit; returns the exit code, or null if a signal killed the process. */
  async waitForExit (): Promise<number | null> {
    return await this.#process.waitForExit(EXIT_TIMEOUT_MS)
  }

  async stop (): Promise<void> {
    this.kill('SIGCONT')
    this.kill('SIGKILL')
    await this.waitForExit()
  }
}
