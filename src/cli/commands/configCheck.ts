import { loadFolderOrReport } from '../configCommandInput'

import type { CommandModule } from 'yargs'

interface CheckFlags {
  folder: string
}

/** `tanagerwick config check FOLDER`: reports every finding of a configuration folder. */
export const configCheckCommand: CommandModule<object, CheckFlags> = {
  command: 'check <folder>',
  describe: 'Check the configuration in FOLDER and report all findings',
  builder: argv => argv.positional('folder', { type: 'string', demandOption: true, describe: 'folder of YAML files' }),
  handler: flags => {
    const tree = loadFolderOrReport(flags.folder)
    if (tree === null) return
    const counts = (['classes', 'workspaces', 'services', 'endpoints'] as const).map(section => `${Object.keys(tree[section]).length} ${section}`)
    process.stdout.write(`${flags.folder}: no findings; ${counts.join(', ')}.\n`)
  }
}
