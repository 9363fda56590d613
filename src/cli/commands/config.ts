import { configApplyCommand } from './configApply'
import { configCheckCommand } from './configCheck'
import { configDiffCommand } from './configDiff'
import { configStatusCommand } from './configStatus'

import type { CommandModule } from 'yargs'

/** `tanagerwick config`: the operator's commands around the configuration. */
export const configCommand: CommandModule = {
  command: 'config',
  describe: 'Check, compare, apply and follow the fleet\'s configuration',
  builder: argv => argv
    .command(configCheckCommand)
    .command(configDiffCommand)
    .command(configApplyCommand)
    .command(configStatusCommand)
    .demandCommand(1, 'Name one of check, diff, apply or status; --help describes them.'),
  handler: () => {}
}
