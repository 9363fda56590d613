import { Progress } from '../base/progress'
import { formatFindings } from '../config/finding'
import { loadFleetFolder } from '../config/loadFleetFolder'
import { HttpObjectService } from '../store/httpObjectService'
import { EXIT_CODES } from './exitCodes'

import type { Options } from 'yargs'
import type { FleetTree } from '../config/fleetSchema'

const MAX_CALLS_PER_SECOND = 200
const MAX_CALL_BURST = 400
const MAX_TIMEOUT_SECONDS = 3_600

/** Flags of the commands that access the object service. */
export interface PlatformFlags {
  platform: string
  timeout: number
}

/** Options for the URL of the object service and the timeout. */
export const PLATFORM_OPTIONS = {
  platform: { type: 'string', demandOption: true, describe: 'base URL of the object service' },
  timeout: { type: 'number', default: 20, describe: 'seconds after which the command times out' }
} as const satisfies Record<string, Options>

/** Loads and checks `folder`. Prints findings, sets the exit code and returns null when there are any. */
export function loadFolderOrReport (folder: string): FleetTree | null {
  const tree = loadFleetFolder(folder)
  if (tree.isOk) return tree.value
  process.stderr.write(`${formatFindings(tree.error)}\n`)
  failCommand(EXIT_CODES.findings, `${tree.error.length} findings; nothing was changed.`)
  return null
}

/** Prints an error message and sets the exit code. */
export function failCommand (exitCode: number, message: string): void {
  process.stderr.write(`${message}\n`)
  process.exitCode = exitCode
}

/** Runs `action` with a client of the object service and a deadline. */
export async function withPlatform (flags: PlatformFlags, title: string, action: (service: HttpObjectService, progress: Progress) => Promise<void>): Promise<void> {
  if (!URL.canParse(flags.platform)) return failCommand(EXIT_CODES.usage, `--platform: '${flags.platform}' is not a URL; use one such as http://127.0.0.1:7000.`)
  if (!(flags.timeout > 0 && flags.timeout <= MAX_TIMEOUT_SECONDS)) return failCommand(EXIT_CODES.usage, `--timeout: must be above 0 and at most ${MAX_TIMEOUT_SECONDS} seconds.`)
  const service = new HttpObjectService({ baseUrl: flags.platform, callsPerSecond: MAX_CALLS_PER_SECOND, callBurst: MAX_CALL_BURST })
  try {
    await action(service, new Progress({ title, timeoutMs: flags.timeout * 1_000 }))
  } finally {
    service.close()
  }
}

/** Parses comma-separated addresses. */
export function parseAddresses (text: string): string[] {
  return text.split(',').map(address => address.trim()).filter(address => address !== '')
}
