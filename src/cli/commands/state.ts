import { request } from 'node:http'

import { err, ok } from 'true-myth/result'

import { STATE_PATH } from '../../base/adminRoutes'
import { Progress } from '../../base/progress'
import { formatState } from '../../base/stateDump'
import { SECRET_VARIABLE } from '../../config/loadProcessSettings'
import { EXIT_CODES } from '../exitCodes'

import type { Result } from 'true-myth'
import type { CommandModule } from 'yargs'
import type { StateSections } from '../../base/stateDump'

const TIMEOUT_MS = 5_000
const MAX_DUMP_BYTES = 64 * 1024 * 1024

interface StateFlags {
  address: string
  json: boolean
}

/** `tanagerwick state ADDRESS`: prints the state of one process. */
export const stateCommand: CommandModule<object, StateFlags> = {
  command: 'state <address>',
  describe: 'Print the state of the gateway or sidecar at ADDRESS',
  builder: argv => argv
    .positional('address', { type: 'string', demandOption: true, describe: 'IP:PORT of the process' })
    .option('json', { type: 'boolean', default: false, describe: 'print JSON instead of readable text' })
    .epilogue(`The fleet's secret comes from the environment variable ${SECRET_VARIABLE}.`),
  handler: async flags => {
    const state = await fetchState(flags.address, process.env[SECRET_VARIABLE] ?? '')
    if (state.isErr) {
      process.stderr.write(`${state.error}\n`)
      process.exitCode = EXIT_CODES.unavailable
      return
    }
    process.stdout.write(flags.json ? `${JSON.stringify(state.value, null, 2)}\n` : formatState(state.value))
  }
}

/**
 * Fetches the state dump of the process at `address`.
 *
 * @example
 * await fetchState('127.0.0.1:7100', secret)
 */
export async function fetchState (address: string, fleetSecret: string): Promise<Result<StateSections, string>> {
  const progress = new Progress({ title: `reading the state of ${address}`, timeoutMs: TIMEOUT_MS })
  try {
    const { status, text } = await progress.wait('the process to answer', sendRequest(address, fleetSecret, progress.signal))
    if (status === 401) return err(`${address} rejected the fleet's secret; set ${SECRET_VARIABLE}.`)
    if (status !== 200) return err(`${address} responded with status ${status}; expected a gateway or sidecar.`)
    return ok(JSON.parse(text) as StateSections)
  } catch (error) {
    return err(`${(error as Error).message}; check that a gateway or sidecar listens at ${address}.`)
  }
}

async function sendRequest (address: string, fleetSecret: string, signal: AbortSignal): Promise<{ status: number, text: string }> {
  return await new Promise((resolve, reject) => {
    const headers = { authorization: `Bearer ${fleetSecret}`, accept: 'application/json' }
    const call = request(`http://${address}${STATE_PATH}`, { headers, signal, agent: false }, response => {
      let text = ''
      response.setEncoding('utf8')
      response.on('data', (part: string) => {
        text += part
        if (text.length > MAX_DUMP_BYTES) call.destroy(new Error('the state dump exceeds the size limit of this command'))
      })
      response.on('end', () => resolve({ status: response.statusCode ?? 0, text }))
      response.on('error', reject)
    })
    call.on('error', reject)
    call.end()
  })
}
