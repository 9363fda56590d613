import { configApplyCommand } from './configApply'
import { configCheckCommand } from './configCheck'
import { configDiffCommand } from './configDiff'
import { configStatusCommand } from './configStatus'

import type { CommandModule } from 'yargs'

/** `tanagerwick config`: operator commands for the configuration. */
export const configCommand: CommandModule = {
  command: 'config',
  describe: 'Check, compare and apply the fleet\'s configuration, or show its status',
  builder: argv => argv
    .command(configCheckCommand)
    .command(configDiffCommand)
    .command(configApplyCommand)
    .command(configStatusCommand)
    .demandCommand(1, 'Name one of check, diff, apply or status; --help describes them.'),
  handler: () => {}
}
