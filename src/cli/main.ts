import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { VERSION } from './version'

/** Exit codes of the command line; docs/OPERATIONS.md lists them. */
export const EXIT_CODES = { ok: 0, findings: 1, usage: 2, unavailable: 3, conflict: 4 } as const

/** Runs the command line with `argv`, the words after the program's name. */
export async function runMain (argv: string[]): Promise<void> {
  await yargs(argv)
    .scriptName('tanagerwick')
    .version(VERSION)
    .strict()
    .demandCommand(1, 'Name a command; --help lists them.')
    .help()
    .parseAsync()
}

runMain(hideBin(process.argv)).catch((error: Error) => {
  process.stderr.write(`${error.message}\n`)
  process.exitCode = EXIT_CODES.unavailable
})
