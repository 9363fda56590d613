import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'

import type { ChildProcess } from 'node:child_process'

const START_TIMEOUT_MS = 20_000
const STOP_TIMEOUT_MS = 10_000
const MAX_ERROR_CHARACTERS = 4_000

/** A process of the product or a stand-in, started by a bench. */
export interface RunningProcess {
  pid: number
  /** Addresses that it reported, in order. */
  addresses: string[]
  stop (): Promise<void>
}

/** Command to start and the number of `listening` lines to wait for. */
export interface ProcessCommand {
  /** Arguments of `node`. */
  args: string[]
  addressCount?: number
  environment?: Record<string, string>
}

/** Starts processes and stops all of them at the end. */
export class ChildProcesses {
  readonly #running: RunningProcess[] = []

  /**
   * Starts a process and waits for its `listening` lines.
   *
   * @throws Error with the process's error output when it exits or reports no address within 20 s
   */
  async start (command: ProcessCommand): Promise<RunningProcess> {
    const child = spawn(process.execPath, command.args, {
      env: { ...process.env, ...command.environment },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    const running: RunningProcess = { pid: child.pid!, addresses: [], stop: async () => await stopChild(child) }
    this.#running.push(running)
    running.addresses = await readAddresses(child, command)
    return running
  }

  /** Stops all processes, in reverse order of their start. */
  async stopAll (): Promise<void> {
    for (const running of this.#running.reverse()) await running.stop()
  }
}

/** Runs a command until it exits and returns its exit code and output. */
export async function runCommand (command: ProcessCommand): Promise<{ code: number, output: string }> {
  return await new Promise(resolve => {
    const child = spawn(process.execPath, command.args, { env: { ...process.env, ...command.environment }, stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    const append = (part: Buffer) => { output += part.toString() }
    child.stdout.on('data', append)
    child.stderr.on('data', append)
    child.on('close', code => resolve({ code: code ?? 1, output }))
  })
}

async function readAddresses (child: ChildProcess, command: ProcessCommand): Promise<string[]> {
  return await new Promise((resolve, reject) => {
    const addresses: string[] = []
    let errors = ''
    const fail = (reason: string) => reject(new Error(`${command.args.join(' ')}: ${reason}\n${errors}`))
    const timer = setTimeout(() => fail('reported no address before the start timeout'), START_TIMEOUT_MS)
    child.stderr!.on('data', part => { errors = `${errors}${String(part)}`.slice(-MAX_ERROR_CHARACTERS) })
    child.on('exit', code => fail(`exited with code ${code}`))
    createInterface({ input: child.stdout! }).on('line', line => {
      const address = /"listening":"([^"]+)"/.exec(line)?.[1]
      if (address === undefined) return
      addresses.push(address)
      if (addresses.length < (command.addressCount ?? 1)) return
      clearTimeout(timer)
      resolve(addresses)
    })
  })
}

async function stopChild (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return
  await new Promise<void>(resolve => {
    const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS)
    child.once('exit', () => {
      clearTimeout(timer)
      resolve()
    })
    child.kill('SIGTERM')
  })
}
