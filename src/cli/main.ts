// must precede all other imports
import { earlySignals } from './earlySignals'

import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { configCommand } from './commands/config'
import { explainCommand } from './commands/explain'
import { gatewayCommand } from './commands/gateway'
import { sidecarCommand } from './commands/sidecar'
import { stateCommand } from './commands/state'
import { EXIT_CODES } from './exitCodes'
import { VERSION } from './version'

/** Commands that run until a signal stops them. */
const SERVICE_COMMANDS: readonly unknown[] = ['gateway', 'sidecar']

/** Thrown when the command line has no command or invalid flags. */
class UsageError extends Error {
  override name = 'UsageError'
}

/** Runs the command line with `argv`, the arguments after the program's name. */
export async function runMain (argv: string[]): Promise<void> {
  await yargs(argv)
    .scriptName('tanagerwick')
    .version(VERSION)
    .command(gatewayCommand)
    .command(sidecarCommand)
    .command(configCommand)
    .command(stateCommand)
    .command(explainCommand)
    .middleware(({ _: [command] }) => { if (!SERVICE_COMMANDS.includes(command)) earlySignals.release() })
    .strict()
    .demandCommand(1, 'Missing command; --help lists the commands.')
    .fail((message, error) => { throw error ?? new UsageError(message) })
    .help()
    .parseAsync()
}

runMain(hideBin(process.argv)).catch((error: Error) => {
  process.stderr.write(`${error.message}\n`)
  process.exitCode = error instanceof UsageError ? EXIT_CODES.usage : EXIT_CODES.unavailable
})
